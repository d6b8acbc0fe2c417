import { createFailure } from '@chicorybend/common';
import type { Failure } from '@chicorybend/common';
import type { RequestQueue } from '@chicorybend/decisions';

import type { TrackedRequest } from './trackedRequest.js';

/** Requests of one partition that wait: for a slot, or for a unit of their team's upper limit. */
export interface RequestBacklog {
  /** @returns false if the team has too many requests waiting */
  push(tracked: TrackedRequest): boolean;
  /** Takes the next request that can be served in time. */
  shift(now: number): TrackedRequest | null;
  /** Sets a request aside until its team is below its upper limit. */
  park(tracked: TrackedRequest, failure: Failure): void;
  /** Lets parked requests of a team wait for a slot again. */
  unpark(team: string): void;
  unparkAll(): void;
  /** Refuses requests that can no longer be served in time. */
  refuseExpired(now: number): void;
  /** Refuses all requests. */
  refuseAll(failure: () => Failure): void;
  /**
   * @param team team of a new request
   * @returns requests that are served before it when all teams get their shares
   */
  countAheadOf(team: string): number;
  size(): number;
  setShares(shares: Readonly<Record<string, number>>): void;
}

/** What a backlog needs. */
export interface RequestBacklogOptions {
  readonly queue: RequestQueue<TrackedRequest>;
  readonly maximumPerTeam: () => number;
}

const DEFAULT_SHARE = 1;

/**
 * Creates the backlog of one partition.
 *
 * @param options fair queue and its bound
 * @returns the backlog
 */
export function createRequestBacklog(options: RequestBacklogOptions): RequestBacklog {
  const { queue } = options;
  const parked = new Map<string, TrackedRequest[]>();
  /** Why requests were parked, for those that are not served in time. */
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
