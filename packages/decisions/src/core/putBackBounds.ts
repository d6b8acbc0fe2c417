import type { OrderingKey } from './stepOrder.js';

/** Longest time for which the steps of a group are put back between two of its placements, in milliseconds. */
export const MAXIMUM_PUT_BACK_MILLISECONDS = 5_000;
/** Past use takes at most this part of the time that a step can spare; the rest is left for other waits. */
const SLACK_FRACTION = 0.5;

/**
 * Bounds how long past use puts back the waiting steps of one team in one queue (a group). From its last placement, or
 * from when it was first seen waiting, a group is put back for at most {@link MAXIMUM_PUT_BACK_MILLISECONDS}, and for
 * at most half the time that any of its steps that can be on time has to spare. Then it is ordered as without past use
 * until its next placement.
 */
export interface PutBackBounds {
  /**
   * Notes the steps that wait in this round; a group without any begins anew.
   *
   * @param now monotonic time in milliseconds
   */
  observe(now: number, orders: readonly OrderingKey[]): void;
  /** Notes that a task of a group was placed. */
  recordPlacement(groupId: string): void;
  /** @returns whether the group may be put back; `now` is the monotonic time in milliseconds */
  mayPutBack(groupId: string, now: number): boolean;
}

function putBackMilliseconds(now: number, order: OrderingKey): number {
  if (order.punctuality !== 'on-time') return MAXIMUM_PUT_BACK_MILLISECONDS;
  const slack = order.objectiveAt - order.remainingMilliseconds - now;
  return Math.min(MAXIMUM_PUT_BACK_MILLISECONDS, Math.max(0, slack * SLACK_FRACTION));
}

/** Creates bounds without waiting groups. */
export function createPutBackBounds(): PutBackBounds {
  /** When the put-back of each waiting group ends, in monotonic milliseconds. */
  let endsAt = new Map<string, number>();

  return {
    observe(now, orders) {
      const next = new Map<string, number>();
      orders.forEach((order) => {
        const { groupId } = order;
        const known = next.get(groupId) ?? endsAt.get(groupId) ?? Infinity;
        next.set(groupId, Math.min(known, now + putBackMilliseconds(now, order)));
      });
      endsAt = next;
    },
    recordPlacement(groupId) {
      endsAt.delete(groupId);
    },
    mayPutBack: (groupId, now) => now < (endsAt.get(groupId) ?? Infinity),
  };
}
