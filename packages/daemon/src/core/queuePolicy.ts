import type { PolicySection } from '@chicorybend/common';
import { createQueueOrderPolicy } from '@chicorybend/decisions';
import type { QueuePriority, TaskQueue } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';
import type { ReclaimTerms } from '../types/peerMethods.js';

import type { Job } from './jobState.js';
import { mayRunAgain } from './taskRules.js';

/** In effect before the first configuration was read. */
const DEFAULT_POLICY: PolicySection = {
  order: 'waiting-time-first',
  agingMilliseconds: 60_000,
};

/**
 * @param configuration configuration in effect
 * @returns order of waiting work, and how long it may be passed over
 */
export function readPolicy(configuration: ConfigurationView): PolicySection {
  return configuration.current()?.policy ?? DEFAULT_POLICY;
}

/**
 * Orders the work in a queue by the policy in effect.
 *
 * @param queue queue of an open partition
 * @param configuration configuration in effect
 */
export function applyPolicy(queue: TaskQueue, configuration: ConfigurationView): void {
  const { order, agingMilliseconds } = readPolicy(configuration);
  queue.setPolicy(createQueueOrderPolicy(order), { agingMilliseconds });
}

/**
 * @param job job to place
 * @param configuration priorities of the queues
 * @returns its priority
 */
export function priorityOf(job: Job, configuration: ConfigurationView): QueuePriority {
  if (job.request.urgent) return 'urgent';
  return configuration.current()?.queues[job.request.queue]?.priority ?? 'normal';
}

/**
 * Tells whether running tasks of a job may have to give way. Only batches do: a gang would stop as a whole for
 * the room of one task, and a replica of a service is to run all the time.
 *
 * @param job job of the tasks
 * @param configuration priorities of the queues
 * @returns terms for the owner of the worker
 */
export function reclaimTermsOf(job: Job, configuration: ConfigurationView): ReclaimTerms {
  const isStoppable = job.request.kind === 'batch' && mayRunAgain(job);
  return { priority: priorityOf(job, configuration), isStoppable };
}
