import type { OrderingKey, WaitingWork, WorkDigest } from '@chicorybend/decisions';

import type { JobQueueSettings } from '../types/configuration.js';
import type { JobRecord, StepRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { chargedResources } from './endpointTable.js';

interface WaitingStep {
  readonly step: StepRecord;
  readonly queue: JobQueueSettings;
  readonly order: OrderingKey;
}

/** @returns maximum number of processors of a job's team; Infinity if there is no limit */
export function limitProcessorsOf({ settings }: TermContext, job: JobRecord): number {
  return settings.teamLimitOf(job)?.processors || Infinity;
}

function sumProcessors({ evacuations, table }: TermContext): Map<string, number> {
  const processors = new Map<string, number>();
  for (const { entry, isListed, usedForLongRunning } of table.all()) {
    const free = Math.max(0, entry.capacity.processors - usedForLongRunning.processors);
    if (isListed && evacuations.isInService(entry.dataCentre)) {
      processors.set(entry.service, (processors.get(entry.service) ?? 0) + free);
    }
  }
  return processors;
}

/** Sums up the released steps that wait. Work without an end, and that of queues with too few runs, counts as none. */
export function createWorkDigest(context: TermContext, steps: readonly WaitingStep[]): WorkDigest {
  const waiting = new Map<string, WaitingWork>();
  steps.forEach(({ step, queue, order }) => {
    const { job, specification } = step;
    if (specification.isLongRunning || !context.estimates.isLearnt(job.queue)) return;
    const pending = step.tasks.filter(({ phase }) => phase === 'pending').length;
    const work =
      pending *
      chargedResources(specification).processors *
      context.estimates.expectedMilliseconds(step);
    const overdueWork = order.punctuality === 'overdue' ? work : 0;
    const key = `${queue.service}/${queue.priority}/${job.team}`;
    const known = waiting.get(key);
    waiting.set(key, {
      service: queue.service,
      priority: queue.priority,
      team: job.team,
      weight: context.settings.weightOf(job),
      limitProcessors: limitProcessorsOf(context, job),
      work: (known?.work ?? 0) + work,
      overdueWork: (known?.overdueWork ?? 0) + overdueWork,
    });
  });
  return {
    takenAt: context.clock.monotonicMilliseconds(),
    waiting: [...waiting.values()],
    processors: sumProcessors(context),
  };
}
