import { createShareFirstPolicy } from '../plugins/shareFirstPolicy.js';
import { createWaitingTimeFirstPolicy } from '../plugins/waitingTimeFirstPolicy.js';
import type { QueueOrderName, QueueOrderPolicy } from '../types/taskQueue.js';

/** Creates the policy for a queue order of the configuration. */
export function createQueueOrderPolicy(name: QueueOrderName): QueueOrderPolicy {
  return name === 'share-first' ? createShareFirstPolicy() : createWaitingTimeFirstPolicy();
}
