import { createSystemClock, sleep } from '@chicorybend/common';

const POLL_MILLISECONDS = 50;

/**
 * Polls a condition until it holds or the limit passes.
 *
 * @param limitMilliseconds how long to wait, in milliseconds
 * @returns whether the condition held within the limit
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  limitMilliseconds: number,
): Promise<boolean> {
  const clock = createSystemClock();
  const until = clock.monotonicMilliseconds() + limitMilliseconds;
  for (;;) {
    if (await condition()) return true;
    if (clock.monotonicMilliseconds() >= until) return false;
    await sleep(clock, POLL_MILLISECONDS);
  }
}
