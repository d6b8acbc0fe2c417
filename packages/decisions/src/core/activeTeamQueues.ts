import type { QueueOrderPolicy, QueuePriority } from '../types/taskQueue.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { QueueEntry, TeamQueue } from './teamQueue.js';

/** Tells whether a team may start work now. */
export type IsEligible = (team: string) => boolean;

/** Team queues with due items, and the choice of the one to serve next. */
export interface ActiveTeamQueues {
  /** Updates the position of a team queue after its due items or `lastServedAt` changed. */
  refresh(queue: TeamQueue): void;
  /** Changes the policy and the aging time of all later choices. */
  setPolicy(policy: QueueOrderPolicy, agingMilliseconds: number): void;
  /** @returns the team queue whose head goes next, or null if no eligible team has due items */
  choose(now: number, isEligible: IsEligible): TeamQueue | null;
}

const PRIORITIES: readonly QueuePriority[] = ['urgent', 'normal', 'overnight'];

function updateHeadFields(queue: TeamQueue, { item, sequence }: QueueEntry): void {
  queue.headEnqueuedAt = item.enqueuedAt;
  queue.headSequence = sequence;
  queue.passedOverSince = Math.max(item.enqueuedAt, item.notBefore, queue.lastServedAt);
}

/**
 * Creates an empty set of team queues.
 *
 * @param initialPolicy order of the teams
 * @param initialAgingMilliseconds how long a head may be passed over before it is overdue
 */
export function createActiveTeamQueues(
  initialPolicy: QueueOrderPolicy,
  initialAgingMilliseconds: number,
): ActiveTeamQueues {
  let policy = initialPolicy;
  let agingMilliseconds = initialAgingMilliseconds;
  const queuesByPriority: Readonly<Record<QueuePriority, TeamQueue[]>> = {
    urgent: [],
    normal: [],
    overnight: [],
  };
  const agingHeap = createIndexedHeap<TeamQueue>(
    (left, right) => left.passedOverSince < right.passedOverSince,
  );
  let isUrgentTurn = false;

  function activate(queue: TeamQueue): void {
    const queues = queuesByPriority[queue.priority];
    Object.assign(queue, { activeIndex: queues.length, agingHeapNode: agingHeap.push(queue) });
    queues.push(queue);
  }

  function deactivate(queue: TeamQueue): void {
    const queues = queuesByPriority[queue.priority];
    const last = queues.pop()!;
    if (last !== queue) {
      queues[queue.activeIndex] = last;
      last.activeIndex = queue.activeIndex;
    }
    if (queue.agingHeapNode) agingHeap.remove(queue.agingHeapNode);
    Object.assign(queue, { activeIndex: -1, agingHeapNode: null });
  }

  function refresh(queue: TeamQueue): void {
    const head = queue.dueEntries.peek();
    if (!head) {
      if (queue.activeIndex >= 0) deactivate(queue);
      return;
    }
    updateHeadFields(queue, head);
    if (queue.agingHeapNode) agingHeap.update(queue.agingHeapNode);
    else activate(queue);
  }

  const isHeadOlder = (left: TeamQueue, right: TeamQueue): boolean =>
    left.headEnqueuedAt < right.headEnqueuedAt ||
    (left.headEnqueuedAt === right.headEnqueuedAt && left.headSequence < right.headSequence);

  function chooseByPolicy(
    priority: QueuePriority,
    now: number,
    isEligible: IsEligible,
  ): TeamQueue | null {
    const queues = queuesByPriority[priority];
    let best: TeamQueue | null = null;
    let bestRank = Infinity;
    for (let index = 0; index < queues.length; index += 1) {
      const queue = queues[index]!;
      const rank = policy.rank(queue.team.weightedShare, now - queue.headEnqueuedAt);
      const isFirst =
        best === null || rank < bestRank || (rank === bestRank && isHeadOlder(queue, best));
      // Checked last, and only for a queue that would win, because the check costs more than the rank.
      if (isFirst && isEligible(queue.team.name)) {
        best = queue;
        bestRank = rank;
      }
    }
    return best;
  }

  /** The queue whose head is overdue the longest. Ineligible queues leave the heap during the search. */
  function chooseOverdue(now: number, isEligible: IsEligible): TeamQueue | null {
    const ineligible: TeamQueue[] = [];
    let queue = agingHeap.peek();
    while (
      queue &&
      now - queue.passedOverSince >= agingMilliseconds &&
      !isEligible(queue.team.name)
    ) {
      ineligible.push(queue);
      agingHeap.pop();
      queue = agingHeap.peek();
    }
    const isOverdue = queue !== null && now - queue.passedOverSince >= agingMilliseconds;
    ineligible.forEach((other) => {
      other.agingHeapNode = agingHeap.push(other);
    });
    return isOverdue ? queue : null;
  }

  return {
    refresh,
    // No stored state depends on the policy: each choice computes the ranks anew.
    setPolicy(nextPolicy, nextAgingMilliseconds) {
      policy = nextPolicy;
      agingMilliseconds = nextAgingMilliseconds;
    },
    choose(now, isEligible) {
      const overdue = chooseOverdue(now, isEligible);
      const urgent = chooseByPolicy('urgent', now, isEligible);
      if (overdue && urgent) {
        isUrgentTurn = !isUrgentTurn;
        return isUrgentTurn ? urgent : overdue;
      }
      if (overdue ?? urgent) return overdue ?? urgent;
      return PRIORITIES.slice(1).reduce<TeamQueue | null>(
        (found, priority) => found ?? chooseByPolicy(priority, now, isEligible),
        null,
      );
    },
  };
}
