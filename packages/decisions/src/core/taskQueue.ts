import type {
  WorkItem,
  QueueOrderPolicy,
  TaskQueue,
  TaskQueueOptions,
} from '../types/taskQueue.js';
import { createIdTable } from '../utils/idTable.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import { createActiveTeamQueues } from './activeTeamQueues.js';
import type { IsEligible } from './activeTeamQueues.js';
import { createTeamUsage } from './teamUsage.js';
import { createQueueEntry, createTeamQueue } from './teamQueue.js';
import type { QueueEntry, TeamQueue } from './teamQueue.js';

/** Bounds the time of one `take` after a wave of deferrals that end together. */
const MAXIMUM_RELEASES_PER_TAKE = 64;

const isDueEarlier = (left: QueueEntry, right: QueueEntry): boolean =>
  left.item.notBefore < right.item.notBefore;

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
  const teamQueues = new Map<string, TeamQueue>();
  const activeQueues = createActiveTeamQueues(policy, options.agingMilliseconds);
  const entries = createIdTable<QueueEntry>(({ item: work }) => work.workId);
  const deferred = createIndexedHeap<QueueEntry>(isDueEarlier);
  let nextSequence = 0;
  let latestNow = -Infinity;

  function teamQueueOf({ team, priority }: WorkItem): TeamQueue {
    const key = `${priority}/${team}`;
    const teamQueue = teamQueues.get(key) ?? createTeamQueue(usage.stateOf(team), priority);
    teamQueues.set(key, teamQueue);
    return teamQueue;
  }

  function markDue(entry: QueueEntry): void {
    entry.isDue = true;
    entry.heapNode = entry.teamQueue.dueEntries.push(entry);
    activeQueues.refresh(entry.teamQueue);
  }

  function defer(entry: QueueEntry): void {
    entry.isDue = false;
    entry.heapNode = deferred.push(entry);
  }

  function releaseDeferred(now: number): number {
    let released = 0;
    let next = deferred.peek();
    while (next && next.item.notBefore <= now && released < MAXIMUM_RELEASES_PER_TAKE) {
      deferred.pop();
      markDue(next);
      released += 1;
      next = deferred.peek();
    }
    return released;
  }

  function detachEntry({ isDue, teamQueue: line, heapNode: node }: QueueEntry): void {
    if (node) (isDue ? line.dueEntries : deferred).remove(node);
    line.team.waitingCount -= 1;
    if (isDue) activeQueues.refresh(line);
  }

  function remove(workId: string): boolean {
    const entry = entries.remove(workId);
    if (entry) detachEntry(entry);
    return entry !== null;
  }

  function chooseTeamQueue(now: number, isEligible: IsEligible): TeamQueue | null {
    let released: number;
    let teamQueue: TeamQueue | null;
    do {
      released = releaseDeferred(now);
      teamQueue = activeQueues.choose(now, isEligible);
    } while (!teamQueue && released > 0);
    return teamQueue;
  }

  return {
    add(work) {
      remove(work.workId);
      const teamQueue = teamQueueOf(work);
      const entry = createQueueEntry(work, nextSequence, teamQueue);
      entries.add(entry);
      nextSequence += 1;
      teamQueue.team.waitingCount += 1;
      const isDue = work.notBefore <= Math.max(latestNow, work.enqueuedAt);
      if (isDue) markDue(entry);
      else defer(entry);
    },
    remove,
    take(now, isEligible) {
      latestNow = Math.max(latestNow, now);
      const teamQueue = chooseTeamQueue(now, isEligible);
      if (!teamQueue) return null;
      const entry = teamQueue.dueEntries.peek()!;
      teamQueue.lastServedAt = now;
      remove(entry.item.workId);
      return entry.item;
    },
    setPolicy: (next, { agingMilliseconds }) => activeQueues.setPolicy(next, agingMilliseconds),
    setShares: usage.setShares,
    setUsage: usage.setUsage,
    setCapacity: usage.setCapacity,
    recordStart: (work) => usage.charge(work.team, work.resources, work.taskCount),
    size: entries.size,
    waitingCountByTeam: () =>
      Object.fromEntries(
        [...usage.all()]
          .filter((team) => team.waitingCount > 0)
          .map((team) => [team.name, team.waitingCount]),
      ),
  };
}
