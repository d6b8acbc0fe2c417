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

/** Bounds the time of one `take` when many deferred items become due at once. */
const MAXIMUM_RELEASES_PER_TAKE = 64;

const isDueEarlier = (left: QueueEntry, right: QueueEntry): boolean =>
  left.item.notBefore < right.item.notBefore;

/**
 * Creates an empty queue.
 *
 * Items are ordered by priority, then by the policy's rank of their teams, then by age. There is one
 * team queue per team and priority. Its head is overdue once it has been passed over for
 * `agingMilliseconds` since that team queue was last served. Overdue heads precede all other items,
 * the longest overdue first, but alternate with urgent items. A long backlog of overdue items
 * therefore neither starves urgent items nor reduces the order to plain age, and an overdue head
 * waits for at most two takes per team queue that became overdue earlier.
 *
 * @param policy order of the teams
 */
export function createTaskQueue(policy: QueueOrderPolicy, options: TaskQueueOptions): TaskQueue {
  const usage = createTeamUsage();
  const teamQueues = new Map<string, TeamQueue>();
  const activeQueues = createActiveTeamQueues(policy, options.agingMilliseconds);
  const entries = createIdTable<QueueEntry>(({ item }) => item.workId);
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

  function detachEntry({ isDue, teamQueue, heapNode }: QueueEntry): void {
    if (heapNode) (isDue ? teamQueue.dueEntries : deferred).remove(heapNode);
    teamQueue.team.waitingCount -= 1;
    if (isDue) activeQueues.refresh(teamQueue);
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
    add(item) {
      remove(item.workId);
      const teamQueue = teamQueueOf(item);
      const entry = createQueueEntry(item, nextSequence, teamQueue);
      entries.add(entry);
      nextSequence += 1;
      teamQueue.team.waitingCount += 1;
      const isDue = item.notBefore <= Math.max(latestNow, item.enqueuedAt);
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
    setPolicy: (newPolicy, { agingMilliseconds }) =>
      activeQueues.setPolicy(newPolicy, agingMilliseconds),
    setShares: usage.setShares,
    setUsage: usage.setUsage,
    setCapacity: usage.setCapacity,
    recordStart: (item) => usage.charge(item.team, item.resources, item.taskCount),
    size: entries.size,
    waitingCountByTeam: () =>
      Object.fromEntries(
        [...usage.all()]
          .filter((team) => team.waitingCount > 0)
          .map((team) => [team.name, team.waitingCount]),
      ),
  };
}
