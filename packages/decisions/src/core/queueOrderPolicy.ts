import { createShareFirstPolicy } from '../plugins/shareFirstPolicy.js';
import { createWaitingTimeFirstPolicy } from '../plugins/waitingTimeFirstPolicy.js';
import type { QueueOrderName, QueueOrderPolicy } from '../types/taskQueue.js';

/**
 * Creates the order that the configuration names.
 *
 * @param name name of the order
 * @returns policy
 */
export function createQueueOrderPolicy(name: QueueOrderName): QueueOrderPolicy {
  return name === 'share-first' ? createShareFirstPolicy() : createWaitingTimeFirstPolicy();
}
