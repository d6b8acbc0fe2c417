import { sleep } from '@chicorybend/common';

import type { SchedulerCell } from './schedulerCell.js';

/** Makes calls end with their time-out if the process has not read the answer by then, as those over a network do. */
export function limitCalls({ clock, fleet }: SchedulerCell): void {
  const { hold, start } = fleet.client;
  Object.assign(fleet.client, {
    hold: (...[target, order, timeout]: Parameters<typeof hold>) =>
      Promise.race([
        hold(target, order, timeout),
        sleep(clock, order.waitMilliseconds + timeout).then(() => ({
          kind: 'failed',
          reason: 'timed out',
          isDisconnected: false,
        })),
      ]),
    start: (...[target, order, timeout]: Parameters<typeof start>) =>
      Promise.race([
        start(target, order, timeout),
        sleep(clock, timeout).then(() => ({ kind: 'unknown', reason: 'timed out' })),
      ]),
  });
}
