import type {
  QueuedWork,
  QueueOrderPolicy,
  TaskQueue,
  TaskQueueOptions,
} from '../types/taskQueue.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode, IndexedHeap } from '../utils/indexedHeap.js';
import { createShardedMap } from '../utils/shardedMap.js';
import { createActiveLines } from './activeLines.js';
import type { IsEligible } from './activeLines.js';
import { createTeamUsage } from './teamUsage.js';
import { createWorkLine } from './workLine.js';
import type { WorkEntry, WorkLine } from './workLine.js';

/** Bounds the time of one `take` after a wave of deferrals that end together. */
const MOST_RELEASES_PER_TAKE = 64;

interface Placed {
  readonly heap: IndexedHeap<WorkEntry>;
  readonly node: HeapNode<WorkEntry>;
}

const isDueEarlier = (left: WorkEntry, right: WorkEntry): boolean =>
  left.work.notBefore < right.work.notBefore;

/**
 * Creates an empty queue.
 *
 * Order: priority, then the policy's rank of the teams, then age. The head of a line (team and
 * priority) that was passed over for `agingMilliseconds` since the line was last served is overdue.
 * Overdue heads go ahead of everything, the longest overdue first, but take turns with urgent work,
 * so that a long backlog of aged work neither starves urgent work nor turns the order into plain
 * age. An overdue head thus waits for at most two takes per line that became overdue earlier.
 *
 * @param policy order of the teams
 * @param options settings
 * @returns queue
 */
export function createTaskQueue(policy: QueueOrderPolicy, options: TaskQueueOptions): TaskQueue {
  const usage = createTeamUsage();
  const lines = new Map<string, WorkLine>();
  const active = createActiveLines(policy, options.agingMilliseconds);
  const entries = createShardedMap<Placed>();
  const deferred = createIndexedHeap<WorkEntry>(isDueEarlier);
  let nextSequence = 0;
  let latestNow = -Infinity;

  function lineOf({ team, priority }: QueuedWork): WorkLine {
    const key = `${priority}/${team}`;
    const line = lines.get(key) ?? createWorkLine(usage.stateOf(team), priority);
    lines.set(key, line);
    return line;
  }

  function makeDue(entry: WorkEntry): void {
    const { line, work } = entry;
    entries.set(work.workId, { heap: line.due, node: line.due.push(entry) });
    active.refresh(line);
  }

  function defer(entry: WorkEntry): void {
    entries.set(entry.work.workId, { heap: deferred, node: deferred.push(entry) });
  }

  function releaseDeferred(now: number): number {
    let released = 0;
    let next = deferred.peek();
    while (next && next.work.notBefore <= now && released < MOST_RELEASES_PER_TAKE) {
      deferred.pop();
      makeDue(next);
      released += 1;
      next = deferred.peek();
    }
    return released;
  }

  function takeOut(entry: WorkEntry): void {
    const { line, work } = entry;
    const { heap, node } = entries.get(work.workId)!;
    heap.remove(node);
    entries.delete(work.workId);
    line.team.waiting -= 1;
    active.refresh(line);
  }

  function remove(workId: string): boolean {
    const placed = entries.get(workId);
    if (!placed) return false;
    takeOut(placed.node.value);
    return true;
  }

  function chooseLine(now: number, isEligible: IsEligible): WorkLine | null {
    let released: number;
    let line: WorkLine | null;
    do {
      released = releaseDeferred(now);
      line = active.choose(now, isEligible);
    } while (!line && released > 0);
    return line;
  }

  return {
    add(work) {
      remove(work.workId);
      const line = lineOf(work);
      const entry = { work, sequence: nextSequence, line };
      nextSequence += 1;
      line.team.waiting += 1;
      const isDue = work.notBefore <= Math.max(latestNow, work.enqueuedAt);
      if (isDue) makeDue(entry);
      else defer(entry);
    },
    remove,
    take(now, isEligible) {
      latestNow = Math.max(latestNow, now);
      const line = chooseLine(now, isEligible);
      if (!line) return null;
      const entry = line.due.peek()!;
      line.servedAt = now;
      takeOut(entry);
      return entry.work;
    },
    setPolicy: (next, { agingMilliseconds }) => active.setPolicy(next, agingMilliseconds),
    setShares: usage.setShares,
    setUsage: usage.setUsage,
    setCapacity: usage.setCapacity,
    recordStart: (work) => usage.charge(work.team, work.resources, work.tasks),
    size: entries.size,
    waitingByTeam: () =>
      Object.fromEntries(
        [...usage.all()]
          .filter((team) => team.waiting > 0)
          .map((team) => [team.name, team.waiting]),
      ),
  };
}
