import type { PolicySection } from '@chicorybend/common';
import { createQueueOrderPolicy } from '@chicorybend/decisions';
import type { TaskQueue } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';

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
