/**
 * Asks the owners of workers to take room back from running tasks, for urgent work and for teams below their
 * share that found no room.
 */
import type { QueuePriority, TeamShare } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';
import { createFaultHandler } from '../utils/faults.js';

import { maySend } from './jobPartitionContext.js';
import type { JobPartitionContext } from './jobPartitionContext.js';
import type { TeamShares } from './teamShares.js';
import { priorityOf } from './queuePolicy.js';
import { createHoldRequest } from './capacityHolds.js';
import type { CapacityHolds, CapacityDemand } from './capacityHolds.js';
import { isTerminating } from './taskRules.js';
import type { TargetPartitions } from './targetPartitions.js';

const RECLAIM_DEADLINE_MILLISECONDS = 500;
/** Room often becomes free by itself within this time. */
const DELAY_MILLISECONDS: Readonly<Record<QueuePriority, number>> = {
  urgent: 250,
  normal: 2_000,
  overnight: 10_000,
};
/** Bounds the work lost to one job partition. */
const INTERVAL_MILLISECONDS = 500;
/** A stopped task is reported with the next renewal, after at most one second; then the work is tried. */
const SETTLE_MILLISECONDS = 2_000;
const MOST_TASKS = 4;
const MOST_PARTITIONS = 8;

/** Requests for room of running tasks. */
export interface ReclaimRequests {
  /** Asks for a job that found no room, if it is entitled to the room of others. */
  requestIfEntitled(need: CapacityDemand): void;
}

/** What the requests need. */
export interface ReclaimRequestsOptions {
  readonly context: JobPartitionContext;
  readonly targets: TargetPartitions;
  readonly capacityHolds: CapacityHolds;
  readonly teamShares: TeamShares;
  readonly configuration: ConfigurationView;
}

/**
 * Creates the requests of one job partition.
 *
 * @param options parts of the partition
 * @returns the requests
 */
export function createReclaimRequests(options: ReclaimRequestsOptions): ReclaimRequests {
  const { context, targets, capacityHolds: holds, teamShares: shares, configuration } = options;
  const { partition, callPartition, clock, random, counters, log } = context;
  /** Monotonic times at which the room for a job should be free, in milliseconds. */
  const settledAt = new Map<string, number>();
  let nextRequestAt = Number.NEGATIVE_INFINITY;

  /** Only these teams give room, so that nothing is asked when there are none. */
  function listTeamsAbove(): readonly (readonly [string, TeamShare])[] {
    return Object.entries(shares.byTeam()).filter(
      ([, { dominantShare, fairShare }]) => dominantShare > fairShare,
    );
  }

  /** @returns tasks that the job may get at the cost of others */
  function countEntitled({ job, count }: CapacityDemand, priority: QueuePriority): number {
    const most = Math.min(count, MOST_TASKS);
    if (priority === 'urgent') return most;
    const position = shares.byTeam()[job.team];
    const gap = position ? position.fairShare - position.dominantShare : 0;
    if (gap <= 0) return 0;
    const taskShare = shares.dominantShareOf(job.request.resources);
    return Math.max(1, Math.min(most, Math.floor(gap / taskShare)));
  }

  function orderOfPartitions(): readonly number[] {
    const all = targets.responsive();
    const first = Math.floor(random() * all.length);
    return [...all.slice(first), ...all.slice(0, first)].slice(0, MOST_PARTITIONS);
  }

  async function askAt(
    workerPartition: number,
    need: CapacityDemand,
    count: number,
  ): Promise<number> {
    if (!maySend(context)) return 0;
    const { job } = need;
    const outcome = await callPartition(
      workerPartition,
      'worker.reclaim',
      {
        ...createHoldRequest(workerPartition, need, count, clock.monotonicMilliseconds()),
        team: job.team,
        priority: priorityOf(job, configuration),
        teams: Object.fromEntries(listTeamsAbove()),
        capacity: shares.cellCapacity(),
      },
      RECLAIM_DEADLINE_MILLISECONDS,
    );
    if (outcome.isOk()) return outcome.value.helped;
    if (outcome.error.kind === 'lost') targets.recordNoAnswer(workerPartition);
    return 0;
  }

  async function ask(need: CapacityDemand, count: number): Promise<void> {
    let missing = count;
    for (const number of orderOfPartitions()) {
      if (missing === 0 || partition.isClosed() || isTerminating(need.job)) break;
      const helped = await askAt(number, need, missing);
      if (helped > 0) {
        holds.recordHold(need, number);
        settledAt.set(need.job.jobId, clock.monotonicMilliseconds() + SETTLE_MILLISECONDS);
      }
      missing -= helped;
    }
  }

  function forgetSettled(now: number): void {
    settledAt.forEach((at, jobId) => {
      if (at <= now) settledAt.delete(jobId);
    });
  }

  return {
    requestIfEntitled(need) {
      const now = clock.monotonicMilliseconds();
      const priority = priorityOf(need.job, configuration);
      if (now < nextRequestAt || now - need.waitingSince < DELAY_MILLISECONDS[priority]) return;
      if (need.job.request.kind === 'gang') return;
      forgetSettled(now);
      if (settledAt.has(need.job.jobId)) return;
      const count = countEntitled(need, priority);
      if (count === 0 || listTeamsAbove().length === 0) return;
      nextRequestAt = now + INTERVAL_MILLISECONDS;
      counters.increment('reclaims.asked');
      ask(need, count).catch(createFaultHandler(log, 'a reclaim failed'));
    },
  };
}
