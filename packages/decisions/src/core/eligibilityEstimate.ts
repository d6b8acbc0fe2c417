/** Fraction of eligible endpoints that is assumed before any answer is known. */
const INITIAL_FRACTION = 0.5;
/** Number of answers that the initial fraction counts for. */
const INITIAL_ANSWERS = 20;
/** Answers about this many endpoints ago have lost most of their weight. */
const MEMORY_ANSWERS = 2_000;

/** Learns, for each queue, how likely an endpoint is eligible for a step about which nothing is known. */
export interface EligibilityEstimate {
  /**
   * Records an answer about endpoints whose eligibility was not known.
   *
   * @param asked number of these endpoints in the call
   * @param eligible number of those that are eligible
   */
  record(queue: string, asked: number, eligible: number): void;
  /** @returns probability that an endpoint is eligible, in (0, 1] */
  probability(queue: string): number;
}

/** Creates an estimate without answers. */
export function createEligibilityEstimate(): EligibilityEstimate {
  const answersByQueue = new Map<string, { asked: number; eligible: number }>();

  return {
    record(queue, asked, eligible) {
      const past = answersByQueue.get(queue) ?? {
        asked: INITIAL_ANSWERS,
        eligible: INITIAL_FRACTION * INITIAL_ANSWERS,
      };
      const weight = Math.max(0, 1 - asked / MEMORY_ANSWERS);
      answersByQueue.set(queue, {
        asked: weight * past.asked + asked,
        eligible: weight * past.eligible + eligible,
      });
    },
    probability(queue) {
      const answers = answersByQueue.get(queue);
      if (!answers) return INITIAL_FRACTION;
      return Math.max(1, answers.eligible) / Math.max(1, answers.asked);
    },
  };
}
