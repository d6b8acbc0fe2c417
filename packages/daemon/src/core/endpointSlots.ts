import { assertInvariant } from '@chicorybend/common';
import type { CancelTimer, Clock } from '@chicorybend/common';

import { MAXIMUM_REQUEST_MILLISECONDS } from '../utils/interactiveTimes.js';

/** A slot of an endpoint that holds a request. */
export interface Slot {
  readonly team: string;
  /** Starts the time that the request may stay, when it is sent. */
  markSent(): void;
  /** Records that the request got no answer in time, so that nobody knows when it ends. */
  markUnanswered(): void;
  /** @returns monotonic time in milliseconds by which the request has ended at the latest */
  endsBy(): number;
}

/** Exact count of the requests at one endpoint. */
export interface EndpointSlots {
  /** Takes a free slot. */
  take(team: string): Slot;
  /** Takes a slot for a request that the former owner sent, until it has ended at the latest. */
  adopt(team: string, remainingMilliseconds: number): void;
  release(slot: Slot): void;
  setLimit(limit: number): void;
  limit(): number;
  free(): number;
  /** @returns slots that are free or become free when their requests are answered */
  usable(): number;
  inUse(): readonly Slot[];
  /** Stops waiting for the ends of a former owner's requests. */
  stop(): void;
}

/** What the slots of an endpoint need. */
export interface EndpointSlotsOptions {
  readonly clock: Clock;
  readonly limit: number;
  /** Called when a slot of a former owner's request becomes free. */
  readonly onAdoptedSlotFree: (team: string) => void;
}

/**
 * Creates the slots of one endpoint.
 *
 * @param options clock and number of slots
 * @returns the slots
 */
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
      assertInvariant(slots.size < limit, 'slots', () => `${slots.size} of ${limit} are in use`);
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
