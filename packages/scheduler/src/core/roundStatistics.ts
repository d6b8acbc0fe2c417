import type { SchedulerMetrics } from './schedulerMetrics.js';

/** Rounds of placement within an interval. */
export interface RoundSummary {
  readonly roundCount: number;
  /** In milliseconds. */
  readonly longestRound: number;
  /** Longest time from the request of a round until it began, in milliseconds. */
  readonly longestGap: number;
}

/** Records the rounds of a dispatcher in the metrics, and summarizes those of an interval for the log. */
export interface RoundStatistics {
  /**
   * @param milliseconds duration of the round
   * @param gapMilliseconds time from the request of the round until it began
   */
  record(milliseconds: number, gapMilliseconds: number): void;
  /** @returns rounds since the last call of this function */
  takeSummary(): RoundSummary;
}

const NO_ROUNDS: RoundSummary = { roundCount: 0, longestRound: 0, longestGap: 0 };

/** Creates statistics without rounds. */
export function createRoundStatistics(metrics: SchedulerMetrics): RoundStatistics {
  let summary = NO_ROUNDS;

  return {
    record(milliseconds, gapMilliseconds) {
      metrics.count('rounds');
      metrics.record('round_milliseconds', milliseconds);
      metrics.record('round_gap_milliseconds', gapMilliseconds);
      summary = {
        roundCount: summary.roundCount + 1,
        longestRound: Math.max(summary.longestRound, Math.round(milliseconds)),
        longestGap: Math.max(summary.longestGap, Math.round(gapMilliseconds)),
      };
    },
    takeSummary() {
      const taken = summary;
      summary = NO_ROUNDS;
      return taken;
    },
  };
}
