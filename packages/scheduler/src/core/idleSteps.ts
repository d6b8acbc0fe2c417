import type { StepRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { AdviceCache } from './adviceCache.js';
import { hasActiveRun } from './jobRecords.js';
import type { BlockingReason } from './waitingTasks.js';

/** A step is logged once it has waited this long while nothing of its job runs. */
const IDLE_MILLISECONDS = 2_000;
/** Maximum number of steps that are logged at a time. */
const MAXIMUM_LINES = 5;

interface IdleStep {
  /** Start of the wait, in monotonic milliseconds. */
  readonly since: number;
  reason: BlockingReason;
}

/** Watches for steps that stand still: they wait while nothing of their job runs. */
export interface IdleSteps {
  /**
   * Records the outcome of a round for a released step.
   *
   * @param reason why tasks of the step wait; null if none do
   */
  record(step: StepRecord, reason: BlockingReason | null): void;
  /** Logs the steps that have waited longest, with what they wait for and the state of their advice. */
  logLongest(): void;
}

function isJobRunning({ job }: StepRecord): boolean {
  return [...job.occurrences.values()].some(({ steps }) =>
    steps.some(({ tasks }) => tasks.some(hasActiveRun)),
  );
}

function isWaiting({ job, tasks, isReleased }: StepRecord): boolean {
  return isReleased && job.phase === 'open' && tasks.some(({ phase }) => phase === 'pending');
}

export function createIdleSteps(
  { clock, log }: Pick<TermContext, 'clock' | 'log'>,
  adviceCache: Pick<AdviceCache, 'describeStep'>,
): IdleSteps {
  const waiting = new Map<StepRecord, IdleStep>();

  return {
    record(step, reason) {
      const known = waiting.get(step);
      if (reason === null) waiting.delete(step);
      else if (known) known.reason = reason;
      else waiting.set(step, { since: clock.monotonicMilliseconds(), reason });
    },
    logLongest() {
      const now = clock.monotonicMilliseconds();
      const overdue = [...waiting].filter(([, { since }]) => now - since >= IDLE_MILLISECONDS);
      const idle = overdue
        .filter(([step]) => isWaiting(step) && !isJobRunning(step))
        .sort(([, left], [, right]) => left.since - right.since);
      overdue.forEach((entry) => {
        if (!idle.includes(entry)) waiting.delete(entry[0]);
      });
      idle.slice(0, MAXIMUM_LINES).forEach(([{ stepId }, { since, reason }]) => {
        log.info('step idle', {
          step: stepId,
          waited: Math.round(now - since),
          reason,
          advice: adviceCache.describeStep(stepId),
          others: idle.length - 1,
        });
      });
    },
  };
}
