import { createFailure } from '@chicorybend/common';
import type { Failure } from '@chicorybend/common';
import type { RequestQueue } from '@chicorybend/decisions';

import type { TrackedWork } from './endpointWork.js';

/** Requests of one partition that wait: for a slot, or for a unit of their team's upper limit. */
export interface RequestBacklog {
  /** @returns false if the team has too many requests waiting */
  push(tracked: TrackedWork): boolean;
  /** Takes the next request that can be served in time. */
  shift(now: number): TrackedWork | null;
  /** Sets a request aside until its team is below its upper limit. */
  park(tracked: TrackedWork, failure: Failure): void;
  /** Lets parked requests of a team wait for a slot again. */
  unpark(team: string): void;
  unparkAll(): void;
  /** Refuses requests that can no longer be served in time. */
  expire(now: number): void;
  /** Refuses all requests. */
  clear(failure: () => Failure): void;
  /**
   * @param team team of a new request
   * @returns requests that are served before it when all teams get their shares
   */
  aheadOf(team: string): number;
  size(): number;
  setShares(shares: Readonly<Record<string, number>>): void;
}

/** What a backlog needs. */
export interface RequestBacklogOptions {
  readonly queue: RequestQueue<TrackedWork>;
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
  const parked = new Map<string, TrackedWork[]>();
  /** Why requests were parked, for those that are not served in time. */
  const reasons = new WeakMap<TrackedWork, Failure>();
  const waitingTeams = new Set<string>();
  let shares: Readonly<Record<string, number>> = {};

  function parkedOf(team: string): readonly TrackedWork[] {
    return parked.get(team) ?? [];
  }

  function enqueue(tracked: TrackedWork): boolean {
    const { team } = tracked.work;
    waitingTeams.add(team);
    return queue.push({ team, item: tracked, deadlineAt: tracked.expectedBy });
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

  function takeParked(isTaken: (tracked: TrackedWork) => boolean): TrackedWork[] {
    return [...parked.entries()].flatMap(([team, waiting]) => {
      const kept = waiting.filter((tracked) => !isTaken(tracked));
      if (kept.length > 0) parked.set(team, kept);
      else parked.delete(team);
      return waiting.filter(isTaken);
    });
  }

  function parkedCount(): number {
    return [...parked.values()].reduce((sum, waiting) => sum + waiting.length, 0);
  }

  return {
    push(tracked) {
      const { team } = tracked.work;
      const waiting = queue.sizeOf(team) + parkedOf(team).length;
      return waiting < options.maximumPerTeam() && enqueue(tracked);
    },
    shift: (now) => queue.shift(now)?.item ?? null,
    park(tracked, failure) {
      const { team } = tracked.work;
      reasons.set(tracked, failure);
      parked.set(team, [...parkedOf(team), tracked]);
    },
    unpark,
    unparkAll() {
      [...parked.keys()].forEach(unpark);
    },
    expire(now) {
      const expired = [
        ...queue.removeExpired(now).map(({ item }) => item),
        ...takeParked((tracked) => tracked.expectedBy <= now),
      ];
      expired.forEach((tracked) =>
        tracked.refuse(reasons.get(tracked) ?? createFailure('deadline-passed')),
      );
    },
    clear(failure) {
      queue.removeExpired(Number.POSITIVE_INFINITY).forEach(({ item }) => item.refuse(failure()));
      takeParked(() => true).forEach((tracked) => tracked.refuse(failure()));
    },
    aheadOf(team) {
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
    size: () => queue.size() + parkedCount(),
    setShares(next) {
      shares = next;
      queue.setShares(next);
    },
  };
}
