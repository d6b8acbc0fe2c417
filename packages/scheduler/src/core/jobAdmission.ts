import { createFailure, hashText } from '@chicorybend/common';
import type { Failure } from '@chicorybend/common';
import { decideAdmission } from '@chicorybend/decisions';
import type { WorkDigest } from '@chicorybend/decisions';

import type { JobQueueSettings } from '../types/configuration.js';
import type { JobRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { limitProcessorsOf } from './workDigest.js';

/** Everything is accepted for this long from the start of a term on, in which the backlog is not known yet. */
const LEARNING_MILLISECONDS = 5_000;
const HASH_RANGE = 2 ** 32;

/** Refuses, on their arrival, jobs that would end too late to be of use to their callers. */
export interface JobAdmission {
  /** @returns the refusal of a job that is not staged yet; null if it is accepted */
  refusalOf(job: JobRecord, queue: JobQueueSettings): Failure | null;
}

/** @param digest work that waited after the last round of placement; null before the first one */
export function createJobAdmission(
  context: TermContext,
  digest: () => WorkDigest | null,
): JobAdmission {
  const { clock, estimates, log, metrics, settings } = context;
  const acceptsAllUntil = clock.monotonicMilliseconds() + LEARNING_MILLISECONDS;

  function isExempt({ queue: name, specification }: JobRecord, queue: JobQueueSettings): boolean {
    return (
      clock.monotonicMilliseconds() < acceptsAllUntil ||
      queue.stretch <= 0 ||
      queue.targetCompletionMilliseconds <= 0 ||
      specification.schedule !== null ||
      specification.steps.some(({ isLongRunning }) => isLongRunning) ||
      !estimates.isLearnt(name)
    );
  }

  return {
    refusalOf(job, queue) {
      if (isExempt(job, queue)) return null;
      const { longest } = estimates.criticalPathOf(job, queue);
      estimates.forgetJob(job.jobId);
      const objectiveMilliseconds = queue.stretch * longest + queue.targetCompletionMilliseconds;
      const limitProcessors = limitProcessorsOf(context, job);
      const arriving = {
        service: queue.service,
        priority: queue.priority,
        team: job.team,
        weight: settings.weightOf(job),
        limitProcessors,
        objectiveMilliseconds,
        chainMilliseconds: longest,
        work: estimates.workOf(job),
        spread: hashText(job.jobId) / HASH_RANGE,
      };
      const verdict = decideAdmission(arriving, digest(), clock.monotonicMilliseconds());
      metrics.setGauge('predicted_wait_milliseconds', Math.round(verdict.waitMilliseconds));
      if (verdict.kind === 'accept') return null;
      const { reason, retryAfterMilliseconds } = verdict;
      const isLimit = reason === 'team-limit';
      metrics.count(isLimit ? 'jobs_refused_for_limit' : 'jobs_refused_for_capacity');
      log.info('job refused', {
        job: job.jobId,
        reason: isLimit ? 'work of its team uses up its limit' : 'no capacity in time',
        queue: job.queue,
        team: job.team,
        objective: Math.round(objectiveMilliseconds),
        chain: Math.round(longest),
        work: Math.round(arriving.work),
        workAhead: Math.round(verdict.workAhead),
        processors: Math.round(verdict.processors),
        expectedWait: Math.round(verdict.waitMilliseconds),
        retryAfter: retryAfterMilliseconds,
      });
      return isLimit
        ? createFailure(
            'over-limit',
            { team: job.team, limit: limitProcessors, dimension: 'processors' },
            { retryAfterMilliseconds },
          )
        : createFailure('overloaded', {}, { retryAfterMilliseconds });
    },
  };
}
