import type { Resources } from '@chicorybend/common';

import { addResources, computeDominantShare, NO_RESOURCES } from '../utils/dominantShare.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode, IndexedHeap } from '../utils/indexedHeap.js';
import type { QueuedWork, QueueOrderPolicy, QueuePriority, TaskQueue } from '../types/taskQueue.js';

const DEFAULT_SHARE = 1;
const PRIORITIES: readonly QueuePriority[] = ['urgent', 'normal', 'overnight'];

/** Settings of {@link createTaskQueue}. */
export interface TaskQueueOptions {
  /** How long the head of a team's queue may be passed over, in milliseconds. */
  readonly agingMilliseconds: number;
}

interface Entry {
  readonly work: QueuedWork;
  readonly sequence: number;
  readonly line: Line;
}

/** Due work of one team in one priority, oldest first. */
interface Line {
  readonly team: TeamState;
  readonly priority: QueuePriority;
  readonly due: IndexedHeap<Entry>;
  /** When the line was last served, in monotonic milliseconds. */
  servedAt: number;
}

interface TeamState {
  readonly name: string;
  readonly lines: Map<QueuePriority, Line>;
  used: Resources;
  weightedShare: number;
  waiting: number;
}

interface Placed {
  readonly heap: IndexedHeap<Entry>;
  readonly node: HeapNode<Entry>;
}

const isOlder = (left: Entry, right: Entry): boolean =>
  left.work.enqueuedAt < right.work.enqueuedAt ||
  (left.work.enqueuedAt === right.work.enqueuedAt && left.sequence < right.sequence);

const isDueEarlier = (left: Entry, right: Entry): boolean =>
  left.work.notBefore < right.work.notBefore;

/**
 * Creates an empty queue.
 *
 * Order: priority, then the policy's rank of the teams, then age. The head of a line (team and
 * priority) that was passed over for `agingMilliseconds` since the line was last served is overdue.
 * Overdue heads go ahead of everything, the longest overdue first, but take turns with urgent work,
 * so that a long backlog of aged work neither starves urgent work nor turns the order into plain
 * age.
 *
 * @param policy order of the teams
 * @param options settings
 * @returns queue
 */
export function createTaskQueue(policy: QueueOrderPolicy, options: TaskQueueOptions): TaskQueue {
  const teams = new Map<string, TeamState>();
  const entries = new Map<string, Placed>();
  const deferred = createIndexedHeap<Entry>(isDueEarlier);
  const activeLines = new Map<QueuePriority, Set<Line>>(
    PRIORITIES.map((priority) => [priority, new Set()]),
  );
  let shares: Readonly<Record<string, number>> = {};
  let capacity: Resources = NO_RESOURCES;
  let nextSequence = 0;
  let isUrgentTurn = false;

  function refreshShare(team: TeamState): void {
    const weight = shares[team.name] ?? DEFAULT_SHARE;
    // eslint-disable-next-line no-param-reassign
    team.weightedShare = computeDominantShare(team.used, capacity) / weight;
  }

  function teamOf(name: string): TeamState {
    let team = teams.get(name);
    if (!team) {
      team = { name, lines: new Map(), used: NO_RESOURCES, weightedShare: 0, waiting: 0 };
      teams.set(name, team);
    }
    return team;
  }

  function lineOf(work: QueuedWork): Line {
    const team = teamOf(work.team);
    let line = team.lines.get(work.priority);
    if (!line) {
      line = {
        team,
        priority: work.priority,
        due: createIndexedHeap(isOlder),
        servedAt: -Infinity,
      };
      team.lines.set(work.priority, line);
    }
    return line;
  }

  function makeDue(entry: Entry): void {
    const { line, work } = entry;
    if (line.due.size() === 0) activeLines.get(line.priority)!.add(line);
    const node = line.due.push(entry);
    entries.set(work.workId, { heap: line.due, node });
  }

  function takeOut(entry: Entry): void {
    const { line, work } = entry;
    const placed = entries.get(work.workId)!;
    placed.heap.remove(placed.node);
    entries.delete(work.workId);
    line.team.waiting -= 1;
    if (line.due.size() === 0) activeLines.get(line.priority)!.delete(line);
  }

  function releaseDeferred(now: number): void {
    let next = deferred.peek();
    while (next && next.work.notBefore <= now) {
      deferred.pop();
      makeDue(next);
      next = deferred.peek();
    }
  }

  const passedOverSince = (line: Line): number => {
    const { enqueuedAt, notBefore } = line.due.peek()!.work;
    return Math.max(enqueuedAt, notBefore, line.servedAt);
  };

  function chooseLine(
    lines: Iterable<Line>,
    isEligible: (team: string) => boolean,
    rankOf: (line: Line) => number,
  ): Line | null {
    let best: Line | null = null;
    let bestRank = Infinity;
    for (const line of lines) {
      const rank = rankOf(line);
      const isFirst =
        best === null ||
        rank < bestRank ||
        (rank === bestRank && isOlder(line.due.peek()!, best.due.peek()!));
      // Eligibility is asked only for a line that would win, because it is the dearer question.
      if (isFirst && isEligible(line.team.name)) {
        best = line;
        bestRank = rank;
      }
    }
    return best;
  }

  function chooseOverdue(now: number, isEligible: (team: string) => boolean): Line | null {
    const overdue = PRIORITIES.flatMap((priority) =>
      [...activeLines.get(priority)!].filter(
        (line) => now - passedOverSince(line) >= options.agingMilliseconds,
      ),
    );
    return chooseLine(overdue, isEligible, passedOverSince);
  }

  function chooseByPolicy(
    priority: QueuePriority,
    now: number,
    isEligible: (team: string) => boolean,
  ): Line | null {
    return chooseLine(activeLines.get(priority)!, isEligible, (line) =>
      policy.rank(line.team.weightedShare, now - line.due.peek()!.work.enqueuedAt),
    );
  }

  function choose(now: number, isEligible: (team: string) => boolean): Line | null {
    const overdue = chooseOverdue(now, isEligible);
    const urgent = chooseByPolicy('urgent', now, isEligible);
    if (overdue && urgent) {
      isUrgentTurn = !isUrgentTurn;
      return isUrgentTurn ? urgent : overdue;
    }
    return (
      overdue ??
      urgent ??
      chooseByPolicy('normal', now, isEligible) ??
      chooseByPolicy('overnight', now, isEligible)
    );
  }

  function remove(workId: string): boolean {
    const placed = entries.get(workId);
    if (!placed) return false;
    takeOut(placed.node.value);
    return true;
  }

  return {
    add(work) {
      remove(work.workId);
      const line = lineOf(work);
      const entry = { work, sequence: nextSequence, line };
      nextSequence += 1;
      line.team.waiting += 1;
      entries.set(work.workId, { heap: deferred, node: deferred.push(entry) });
    },
    remove,
    take(now, isEligible) {
      releaseDeferred(now);
      const line = choose(now, isEligible);
      if (!line) return null;
      const entry = line.due.peek()!;
      takeOut(entry);
      line.servedAt = now;
      return entry.work;
    },
    setShares(next) {
      shares = next;
      teams.forEach(refreshShare);
    },
    setUsage(usage) {
      Object.keys(usage).forEach(teamOf);
      teams.forEach((team) => {
        // eslint-disable-next-line no-param-reassign
        team.used = usage[team.name] ?? NO_RESOURCES;
        refreshShare(team);
      });
    },
    setCapacity(next) {
      capacity = next;
      teams.forEach(refreshShare);
    },
    recordStart(work) {
      const team = teamOf(work.team);
      team.used = addResources(team.used, work.resources, work.tasks);
      refreshShare(team);
    },
    size: () => entries.size,
    waitingByTeam: () =>
      Object.fromEntries(
        [...teams.values()]
          .filter((team) => team.waiting > 0)
          .map((team) => [team.name, team.waiting]),
      ),
  };
}
