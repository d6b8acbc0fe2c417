/** Fraction of eligible endpoints that is assumed before any answer is known. */
const INITIAL_FRACTION = 0.5;
/** Number of answers that the initial fraction counts for. */
const INITIAL_WEIGHT = 20;
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

interface Answers {
  readonly asked: number;
  readonly eligible: number;
}

const INITIAL_ANSWERS: Answers = {
  asked: INITIAL_WEIGHT,
  eligible: INITIAL_FRACTION * INITIAL_WEIGHT,
};

/** Creates an estimate without answers. */
export function createEligibilityEstimate(): EligibilityEstimate {
  const answersByQueue = new Map<string, Answers>();

  function answersOf(queue: string): Answers {
    return answersByQueue.get(queue) ?? INITIAL_ANSWERS;
  }

  return {
    record(queue, asked, eligible) {
      const past = answersOf(queue);
      const weight = Math.max(0, 1 - asked / MEMORY_ANSWERS);
      answersByQueue.set(queue, {
        asked: weight * past.asked + asked,
        eligible: weight * past.eligible + eligible,
      });
    },
    probability(queue) {
      const { asked, eligible } = answersOf(queue);
      return Math.max(1, eligible) / asked;
    },
  };
}
