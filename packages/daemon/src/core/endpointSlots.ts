import { assertInvariant } from '@chicorybend/common';
import type { CancelTimer, Clock } from '@chicorybend/common';

import { MAXIMUM_REQUEST_MILLISECONDS } from '../utils/interactiveTimes.js';

/** An occupied slot of an endpoint. */
export interface Slot {
  readonly team: string;
  /** Called when the request is sent: its longest run time counts from now. */
  markSent(): void;
  /** Records that the request was not answered in time, so that it is unknown when the slot becomes free. */
  markUnanswered(): void;
  /** @returns monotonic time in milliseconds by which the request has ended at the latest */
  endsBy(): number;
}

/** Counts the requests at one endpoint exactly. */
export interface EndpointSlots {
  /** Takes a free slot; without one, the invariant `slots` fails. */
  take(team: string): Slot;
  /** Occupies a slot for a request that the former owner sent, until the latest time at which it can end. */
  adopt(team: string, remainingMilliseconds: number): void;
  release(slot: Slot): void;
  setLimit(limit: number): void;
  limit(): number;
  free(): number;
  /** @returns slots that are free or become free when their requests are answered */
  usable(): number;
  inUse(): readonly Slot[];
  /** Cancels the timers of adopted slots. */
  stop(): void;
}

export interface EndpointSlotsOptions {
  readonly clock: Clock;
  readonly limit: number;
  /** Called when the slot of a request that the former owner sent becomes free. */
  readonly onAdoptedSlotFree: (team: string) => void;
}

export function createEndpointSlots(options: EndpointSlotsOptions): EndpointSlots {
  const { clock } = options;
  const slots = new Set<Slot>();
  const unanswered = new Set<Slot>();
  const timers = new Set<CancelTimer>();
  let { limit } = options;

  function free(): number {
    return Math.max(0, limit - slots.size);
  }

  function add(team: string, milliseconds: number): Slot {
    let endsBy = clock.monotonicMilliseconds() + milliseconds;
    const slot: Slot = {
      team,
      endsBy: () => endsBy,
      markUnanswered() {
        unanswered.add(slot);
      },
      markSent() {
        endsBy = clock.monotonicMilliseconds() + MAXIMUM_REQUEST_MILLISECONDS;
      },
    };
    slots.add(slot);
    return slot;
  }

  function remove(slot: Slot): void {
    slots.delete(slot);
    unanswered.delete(slot);
  }

  return {
    free,
    limit: () => limit,
    usable: () => Math.max(0, limit - unanswered.size),
    inUse: () => [...slots],
    setLimit(next) {
      limit = next;
    },
    take(team) {
      assertInvariant(
        slots.size < limit,
        'slots',
        () => `${slots.size} of ${limit} slots are in use`,
      );
      return add(team, MAXIMUM_REQUEST_MILLISECONDS);
    },
    adopt(team, remainingMilliseconds) {
      const slot = add(team, remainingMilliseconds);
      slot.markUnanswered();
      const cancel = clock.setTimer(() => {
        remove(slot);
        timers.delete(cancel);
        options.onAdoptedSlotFree(team);
      }, remainingMilliseconds);
      timers.add(cancel);
    },
    release: remove,
    stop() {
      timers.forEach((cancel) => cancel());
    },
  };
}
