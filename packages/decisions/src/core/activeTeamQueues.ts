import type { QueueOrderPolicy, QueuePriority } from '../types/taskQueue.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { QueueEntry, TeamQueue } from './teamQueue.js';

/** Tells whether a team may start work now. */
export type IsEligible = (team: string) => boolean;

/** Lines with due work, and the choice among them. */
export interface ActiveTeamQueues {
  /** Takes notice of a line whose due work or time of service changed. */
  refresh(line: TeamQueue): void;
  /** Changes the order of the choices that follow. */
  setPolicy(policy: QueueOrderPolicy, agingMilliseconds: number): void;
  /** @returns line whose head goes next, or null */
  choose(now: number, isEligible: IsEligible): TeamQueue | null;
}

const PRIORITIES: readonly QueuePriority[] = ['urgent', 'normal', 'overnight'];

function updateHeadFields(line: TeamQueue, { item: work, sequence }: QueueEntry): void {
  line.headEnqueuedAt = work.enqueuedAt;
  line.headSequence = sequence;
  line.passedOverSince = Math.max(work.enqueuedAt, work.notBefore, line.lastServedAt);
}

/**
 * Creates an empty set of lines.
 *
 * @param initialPolicy order of the teams
 * @param initialAgingMilliseconds how long a head may be passed over before it is overdue
 * @returns lines
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

  function activate(line: TeamQueue): void {
    const lines = queuesByPriority[line.priority];
    Object.assign(line, { activeIndex: lines.length, agingHeapNode: agingHeap.push(line) });
    lines.push(line);
  }

  function deactivate(line: TeamQueue): void {
    const lines = queuesByPriority[line.priority];
    const last = lines.pop()!;
    if (last !== line) {
      lines[line.activeIndex] = last;
      last.activeIndex = line.activeIndex;
    }
    if (line.agingHeapNode) agingHeap.remove(line.agingHeapNode);
    Object.assign(line, { activeIndex: -1, agingHeapNode: null });
  }

  function refresh(line: TeamQueue): void {
    const head = line.dueEntries.peek();
    if (!head) {
      if (line.activeIndex >= 0) deactivate(line);
      return;
    }
    updateHeadFields(line, head);
    if (line.agingHeapNode) agingHeap.update(line.agingHeapNode);
    else activate(line);
  }

  const isHeadOlder = (left: TeamQueue, right: TeamQueue): boolean =>
    left.headEnqueuedAt < right.headEnqueuedAt ||
    (left.headEnqueuedAt === right.headEnqueuedAt && left.headSequence < right.headSequence);

  function chooseByPolicy(
    priority: QueuePriority,
    now: number,
    isEligible: IsEligible,
  ): TeamQueue | null {
    const lines = queuesByPriority[priority];
    let best: TeamQueue | null = null;
    let bestRank = Infinity;
    for (let index = 0; index < lines.length; index += 1) {
      const line = lines[index]!;
      const rank = policy.rank(line.team.weightedShare, now - line.headEnqueuedAt);
      const isFirst =
        best === null || rank < bestRank || (rank === bestRank && isHeadOlder(line, best));
      // Eligibility is asked only for a line that would win, because it is the dearer question.
      if (isFirst && isEligible(line.team.name)) {
        best = line;
        bestRank = rank;
      }
    }
    return best;
  }

  /** The longest passed over of the overdue lines. Lines of barred teams are put aside meanwhile. */
  function chooseOverdue(now: number, isEligible: IsEligible): TeamQueue | null {
    const ineligible: TeamQueue[] = [];
    let line = agingHeap.peek();
    while (line && now - line.passedOverSince >= agingMilliseconds && !isEligible(line.team.name)) {
      ineligible.push(line);
      agingHeap.pop();
      line = agingHeap.peek();
    }
    const isOverdue = line !== null && now - line.passedOverSince >= agingMilliseconds;
    ineligible.forEach((other) => {
      other.agingHeapNode = agingHeap.push(other);
    });
    return isOverdue ? line : null;
  }

  return {
    refresh,
    // Nothing that is kept depends on the policy: ranks are computed with each choice.
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
