import type { PolicySection } from '@chicorybend/common';
import { createQueueOrderPolicy } from '@chicorybend/decisions';
import type { QueuePriority, TaskQueue } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';
import type { ReclaimTerms } from '../types/peerMethods.js';

import type { Job } from './jobState.js';
import { mayRunAgain } from './taskRules.js';

/** In effect until the first configuration has been read. */
const DEFAULT_POLICY: PolicySection = {
  order: 'waiting-time-first',
  agingMilliseconds: 60_000,
};

/**
 * @returns order of the queue, and the time for which an entry may be overtaken, in milliseconds
 */
export function readPolicy(configuration: ConfigurationView): PolicySection {
  return configuration.current()?.policy ?? DEFAULT_POLICY;
}

/**
 * Applies the policy in effect to the queue of an open partition.
 */
export function applyPolicy(queue: TaskQueue, configuration: ConfigurationView): void {
  const { order, agingMilliseconds } = readPolicy(configuration);
  queue.setPolicy(createQueueOrderPolicy(order), { agingMilliseconds });
}

/**
 * @returns `urgent` for an urgent job, otherwise the priority of its queue
 */
export function priorityOf(job: Job, configuration: ConfigurationView): QueuePriority {
  if (job.request.urgent) return 'urgent';
  return configuration.current()?.queues[job.request.queue]?.priority ?? 'normal';
}

/**
 * Tells the owner of a worker whether it may reclaim the capacity of running tasks of a job. It may only stop
 * tasks of batches: a gang would have to stop as a whole to free the capacity of one task, and the replicas of a
 * service are meant to run all the time.
 */
export function reclaimTermsOf(job: Job, configuration: ConfigurationView): ReclaimTerms {
  const isStoppable = job.request.kind === 'batch' && mayRunAgain(job);
  return { priority: priorityOf(job, configuration), isStoppable };
}
