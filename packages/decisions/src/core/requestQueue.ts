import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode } from '../utils/indexedHeap.js';
import type { QueuedRequest, RequestQueue } from '../types/requestQueue.js';

const DEFAULT_SHARE = 1;

/** Settings of {@link createRequestQueue}. */
export interface RequestQueueOptions {
  /** Longest queue of one team. */
  readonly maximumPerTeam: number;
  /** Expected service time in milliseconds, as learnt by the admission. */
  readonly expectedServiceMilliseconds: () => number;
}

interface WaitingRequest<Item> {
  readonly request: QueuedRequest<Item>;
  readonly team: TeamRequestQueue<Item>;
}

interface TeamRequestQueue<Item> {
  readonly name: string;
  /** In order of arrival; a `Set` allows removal from the middle in constant time. */
  readonly requests: Set<WaitingRequest<Item>>;
  deficit: number;
}

/**
 * Creates an empty queue, served by deficit round robin.
 *
 * The share of a team over the largest share among the waiting teams is its quantum, so that every
 * round serves at least one request and no team is served twice in a row within a round.
 *
 * @param options settings
 * @returns queue
 */
export function createRequestQueue<Item>(options: RequestQueueOptions): RequestQueue<Item> {
  const teams = new Map<string, TeamRequestQueue<Item>>();
  const byDeadline = createIndexedHeap<WaitingRequest<Item>>(
    (left, right) => left.request.deadlineAt < right.request.deadlineAt,
  );
  const deadlineNodes = new Map<WaitingRequest<Item>, HeapNode<WaitingRequest<Item>>>();
  let round: TeamRequestQueue<Item>[] = [];
  let cursor = 0;
  let largestShare = DEFAULT_SHARE;
  let expiredRequests: QueuedRequest<Item>[] = [];
  let shares: Readonly<Record<string, number>> = {};

  const shareOf = (team: TeamRequestQueue<Item>): number => shares[team.name] ?? DEFAULT_SHARE;

  function getOrCreateTeam(name: string): TeamRequestQueue<Item> {
    let team = teams.get(name);
    if (!team) {
      team = { name, requests: new Set(), deficit: 0 };
      teams.set(name, team);
    }
    return team;
  }

  function removeRequest(waiting: WaitingRequest<Item>): void {
    const { team } = waiting;
    team.requests.delete(waiting);
    const node = deadlineNodes.get(waiting);
    if (node) byDeadline.remove(node);
    deadlineNodes.delete(waiting);
    // An idle team saves up no credit.
    if (team.requests.size === 0) teams.delete(team.name);
  }

  function collectExpired(now: number): void {
    const latest = now + options.expectedServiceMilliseconds();
    let next = byDeadline.peek();
    while (next && next.request.deadlineAt < latest) {
      removeRequest(next);
      expiredRequests.push(next.request);
      next = byDeadline.peek();
    }
  }

  function beginRound(): void {
    round = [...teams.values()];
    cursor = 0;
    largestShare = round.reduce((largest, team) => Math.max(largest, shareOf(team)), 0);
  }

  function chooseTeam(): TeamRequestQueue<Item> {
    for (;;) {
      if (cursor >= round.length) beginRound();
      const team = round[cursor]!;
      cursor += 1;
      if (team.requests.size > 0) {
        team.deficit += shareOf(team) / largestShare;
        if (team.deficit >= 1) {
          team.deficit -= 1;
          return team;
        }
      }
    }
  }

  return {
    push(request) {
      const team = getOrCreateTeam(request.team);
      if (team.requests.size >= options.maximumPerTeam) return false;
      const waiting = { request, team };
      team.requests.add(waiting);
      deadlineNodes.set(waiting, byDeadline.push(waiting));
      return true;
    },
    shift(now) {
      collectExpired(now);
      if (byDeadline.size() === 0) return null;
      const [waiting] = chooseTeam().requests;
      removeRequest(waiting!);
      return waiting!.request;
    },
    removeExpired(now) {
      collectExpired(now);
      const outcome = expiredRequests;
      expiredRequests = [];
      return outcome;
    },
    setShares(next) {
      shares = next;
      round = [];
      cursor = 0;
    },
    size: () => byDeadline.size(),
    sizeOf: (team) => teams.get(team)?.requests.size ?? 0,
  };
}
