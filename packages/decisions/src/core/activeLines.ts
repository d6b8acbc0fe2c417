import type { QueueOrderPolicy, QueuePriority } from '../types/taskQueue.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { WorkEntry, WorkLine } from './workLine.js';

/** Tells whether a team may start work now. */
export type IsEligible = (team: string) => boolean;

/** Lines with due work, and the choice among them. */
export interface ActiveLines {
  /** Takes notice of a line whose due work or time of service changed. */
  refresh(line: WorkLine): void;
  /** Changes the order of the choices that follow. */
  setPolicy(policy: QueueOrderPolicy, agingMilliseconds: number): void;
  /** @returns line whose head goes next, or null */
  choose(now: number, isEligible: IsEligible): WorkLine | null;
}

const PRIORITIES: readonly QueuePriority[] = ['urgent', 'normal', 'overnight'];

function readHead(line: WorkLine, { work, sequence }: WorkEntry): void {
  line.headEnqueuedAt = work.enqueuedAt;
  line.headSequence = sequence;
  line.passedOverSince = Math.max(work.enqueuedAt, work.notBefore, line.servedAt);
}

/**
 * Creates an empty set of lines.
 *
 * @param initialPolicy order of the teams
 * @param initialAgingMilliseconds how long a head may be passed over before it is overdue
 * @returns lines
 */
export function createActiveLines(
  initialPolicy: QueueOrderPolicy,
  initialAgingMilliseconds: number,
): ActiveLines {
  let policy = initialPolicy;
  let agingMilliseconds = initialAgingMilliseconds;
  const active: Readonly<Record<QueuePriority, WorkLine[]>> = {
    urgent: [],
    normal: [],
    overnight: [],
  };
  const byPassedOver = createIndexedHeap<WorkLine>(
    (left, right) => left.passedOverSince < right.passedOverSince,
  );
  let isUrgentTurn = false;

  function activate(line: WorkLine): void {
    const lines = active[line.priority];
    Object.assign(line, { position: lines.length, agingNode: byPassedOver.push(line) });
    lines.push(line);
  }

  function deactivate(line: WorkLine): void {
    const lines = active[line.priority];
    const last = lines.pop()!;
    if (last !== line) {
      lines[line.position] = last;
      last.position = line.position;
    }
    if (line.agingNode) byPassedOver.remove(line.agingNode);
    Object.assign(line, { position: -1, agingNode: null });
  }

  function refresh(line: WorkLine): void {
    const head = line.due.peek();
    if (!head) {
      if (line.position >= 0) deactivate(line);
      return;
    }
    readHead(line, head);
    if (line.agingNode) byPassedOver.update(line.agingNode);
    else activate(line);
  }

  const isHeadOlder = (left: WorkLine, right: WorkLine): boolean =>
    left.headEnqueuedAt < right.headEnqueuedAt ||
    (left.headEnqueuedAt === right.headEnqueuedAt && left.headSequence < right.headSequence);

  function chooseByPolicy(
    priority: QueuePriority,
    now: number,
    isEligible: IsEligible,
  ): WorkLine | null {
    const lines = active[priority];
    let best: WorkLine | null = null;
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
  function chooseOverdue(now: number, isEligible: IsEligible): WorkLine | null {
    const barred: WorkLine[] = [];
    let line = byPassedOver.peek();
    while (line && now - line.passedOverSince >= agingMilliseconds && !isEligible(line.team.name)) {
      barred.push(line);
      byPassedOver.pop();
      line = byPassedOver.peek();
    }
    const isOverdue = line !== null && now - line.passedOverSince >= agingMilliseconds;
    barred.forEach((other) => {
      other.agingNode = byPassedOver.push(other);
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
      return PRIORITIES.slice(1).reduce<WorkLine | null>(
        (found, priority) => found ?? chooseByPolicy(priority, now, isEligible),
        null,
      );
    },
  };
}
