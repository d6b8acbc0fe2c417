import type { JobQueueSettings } from '../types/configuration.js';
import type { StepRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';

/** Advice is requested this long, plus the duration of the call, before the expected release of a step. */
const PREFETCH_LEAD_MILLISECONDS = 300;

/** @returns expected time until all tasks of a step are done, in milliseconds; null if some of them are not running */
function remainingTime({ clock, estimates }: TermContext, step: StepRecord): number | null {
  let latestStart = -Infinity;
  for (const { phase, startedAt } of step.tasks) {
    if (phase === 'running') latestStart = Math.max(latestStart, startedAt);
    else if (phase !== 'done') return null;
  }
  if (latestStart === -Infinity) return 0;
  const age = clock.monotonicMilliseconds() - latestStart;
  return Math.max(0, estimates.expectedMilliseconds(step) - age);
}

function isUpcoming(context: TermContext, step: StepRecord, queue: JobQueueSettings): boolean {
  if (step.isReleased || !queue.advice) return false;
  const steps = step.job.occurrences.get(step.occurrence)?.steps ?? [];
  const lead = queue.advice.callMilliseconds + PREFETCH_LEAD_MILLISECONDS;
  return step.specification.after.every((index) => {
    const earlier = steps[index];
    const remaining = earlier ? remainingTime(context, earlier) : null;
    return remaining !== null && remaining <= lead;
  });
}

/** @returns steps that need advice and are expected to be released soon */
export function findUpcomingSteps(context: TermContext): StepRecord[] {
  return [...context.jobs.values()].flatMap((job) => {
    const queue = context.settings.queueOf(job);
    if (!queue?.advice || job.phase !== 'open') return [];
    return [...job.occurrences.values()].flatMap(({ steps }) =>
      steps.filter((step) => isUpcoming(context, step, queue)),
    );
  });
}
