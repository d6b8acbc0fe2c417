import { createFailure } from '@chicorybend/common';
import type { Failure } from '@chicorybend/common';
import type { RequestQueue } from '@chicorybend/decisions';

import type { TrackedRequest } from './trackedRequest.js';

/** Waiting requests of one partition: queued for a slot or, if their team is at its upper limit, parked. */
export interface RequestBacklog {
  /** @returns false if the team has reached its limit of queued requests */
  push(tracked: TrackedRequest): boolean;
  /** Removes and returns the next request that can be answered in time. */
  shift(now: number): TrackedRequest | null;
  /** Parks a request of a team at its upper limit; `failure` is reported if the request expires. */
  park(tracked: TrackedRequest, failure: Failure): void;
  /** Moves a team's parked requests back to the queue. */
  unpark(team: string): void;
  unparkAll(): void;
  /** Refuses requests that can no longer be answered in time. */
  refuseExpired(now: number): void;
  refuseAll(failure: () => Failure): void;
  /**
   * @param team team of a new request
   * @returns number of requests that are expected to be served before it under fair shares
   */
  countAheadOf(team: string): number;
  size(): number;
  setShares(shares: Readonly<Record<string, number>>): void;
}

export interface RequestBacklogOptions {
  readonly queue: RequestQueue<TrackedRequest>;
  readonly maximumPerTeam: () => number;
}

const DEFAULT_SHARE = 1;

export function createRequestBacklog(options: RequestBacklogOptions): RequestBacklog {
  const { queue } = options;
  const parked = new Map<string, TrackedRequest[]>();
  /** Why each request was parked; reported if it expires. */
  const parkFailures = new WeakMap<TrackedRequest, Failure>();
  const waitingTeams = new Set<string>();
  let shares: Readonly<Record<string, number>> = {};

  function parkedOf(team: string): readonly TrackedRequest[] {
    return parked.get(team) ?? [];
  }

  function enqueue(tracked: TrackedRequest): boolean {
    const { team } = tracked.request;
    waitingTeams.add(team);
    return queue.push({ team, item: tracked, deadlineAt: tracked.answerTargetAt });
  }

  function unpark(team: string): void {
    const waiting = parkedOf(team);
    parked.delete(team);
    const rejected = waiting.filter((tracked) => !enqueue(tracked));
    if (rejected.length > 0) parked.set(team, rejected);
  }

  function shareOf(team: string): number {
    return shares[team] ?? DEFAULT_SHARE;
  }

  function removeParked(matches: (tracked: TrackedRequest) => boolean): TrackedRequest[] {
    return [...parked.entries()].flatMap(([team, waiting]) => {
      const remaining = waiting.filter((tracked) => !matches(tracked));
      if (remaining.length > 0) parked.set(team, remaining);
      else parked.delete(team);
      return waiting.filter(matches);
    });
  }

  function countParked(): number {
    return [...parked.values()].reduce((sum, waiting) => sum + waiting.length, 0);
  }

  return {
    push(tracked) {
      const { team } = tracked.request;
      const waiting = queue.sizeOf(team) + parkedOf(team).length;
      return waiting < options.maximumPerTeam() && enqueue(tracked);
    },
    shift: (now) => queue.shift(now)?.item ?? null,
    park(tracked, failure) {
      const { team } = tracked.request;
      parkFailures.set(tracked, failure);
      parked.set(team, [...parkedOf(team), tracked]);
    },
    unpark,
    unparkAll() {
      [...parked.keys()].forEach(unpark);
    },
    refuseExpired(now) {
      const expired = [
        ...queue.removeExpired(now).map(({ item }) => item),
        ...removeParked((tracked) => tracked.answerTargetAt <= now),
      ];
      expired.forEach((tracked) =>
        tracked.refuse(parkFailures.get(tracked) ?? createFailure('deadline-passed')),
      );
    },
    refuseAll(failure) {
      queue.removeExpired(Number.POSITIVE_INFINITY).forEach(({ item }) => item.refuse(failure()));
      removeParked(() => true).forEach((tracked) => tracked.refuse(failure()));
    },
    countAheadOf(team) {
      [...waitingTeams]
        .filter((name) => queue.sizeOf(name) === 0)
        .forEach((name) => {
          waitingTeams.delete(name);
        });
      const others = [...waitingTeams].filter((name) => name !== team);
      const own = queue.sizeOf(team);
      const fromOthers = others.reduce((sum, name) => {
        const served = Math.ceil(((own + 1) * shareOf(name)) / shareOf(team));
        return sum + Math.min(queue.sizeOf(name), served);
      }, 0);
      return own + fromOthers;
    },
    size: () => queue.size() + countParked(),
    setShares(next) {
      shares = next;
      queue.setShares(next);
    },
  };
}
