import type {
  QueuedWork,
  QueueOrderPolicy,
  TaskQueue,
  TaskQueueOptions,
} from '../types/taskQueue.js';
import { createIdTable } from '../utils/idTable.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import { createActiveLines } from './activeLines.js';
import type { IsEligible } from './activeLines.js';
import { createTeamUsage } from './teamUsage.js';
import { createWorkEntry, createWorkLine } from './workLine.js';
import type { WorkEntry, WorkLine } from './workLine.js';

/** Bounds the time of one `take` after a wave of deferrals that end together. */
const MOST_RELEASES_PER_TAKE = 64;

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
  const entries = createIdTable<WorkEntry>(({ work }) => work.workId);
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
    entry.isDue = true;
    entry.node = entry.line.due.push(entry);
    active.refresh(entry.line);
  }

  function defer(entry: WorkEntry): void {
    entry.isDue = false;
    entry.node = deferred.push(entry);
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

  function takeOut({ isDue, line, node }: WorkEntry): void {
    if (node) (isDue ? line.due : deferred).remove(node);
    line.team.waiting -= 1;
    if (isDue) active.refresh(line);
  }

  function remove(workId: string): boolean {
    const entry = entries.remove(workId);
    if (entry) takeOut(entry);
    return entry !== null;
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
      const entry = createWorkEntry(work, nextSequence, line);
      entries.add(entry);
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
      remove(entry.work.workId);
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
