/**
 * Asks the owners of workers to reclaim capacity from running tasks (preemption), for urgent jobs and for teams
 * below their fair share whose tasks found no capacity.
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
/** Capacity often becomes free by itself within this time. */
const DELAY_MILLISECONDS: Readonly<Record<QueuePriority, number>> = {
  urgent: 250,
  normal: 2_000,
  overnight: 10_000,
};
/** Bounds the rate at which one job partition makes running tasks lose their progress. */
const REQUEST_INTERVAL_MILLISECONDS = 500;
/** A stopped task is reported with the next lease renewal, after at most 1 s; the next placement follows that. */
const RECLAIM_COMPLETION_MILLISECONDS = 2_000;
const MAXIMUM_TASKS_PER_REQUEST = 4;
const MAXIMUM_PARTITIONS_PER_REQUEST = 8;

/** Requests to reclaim capacity from running tasks. */
export interface ReclaimRequests {
  /** Requests capacity for tasks that found none, if their job is urgent or their team below its fair share. */
  requestIfEntitled(demand: CapacityDemand): void;
}

export interface ReclaimRequestsOptions {
  readonly context: JobPartitionContext;
  readonly targets: TargetPartitions;
  readonly capacityHolds: CapacityHolds;
  readonly teamShares: TeamShares;
  readonly configuration: ConfigurationView;
}

export function createReclaimRequests(options: ReclaimRequestsOptions): ReclaimRequests {
  const { context, targets, capacityHolds, teamShares, configuration } = options;
  const { partition, callPartition, clock, random, counters, log } = context;
  /** Monotonic times by which the capacity reclaimed for a job should be free, in milliseconds, by job id. */
  const reclaimCompletesAt = new Map<string, number>();
  let nextRequestAt = Number.NEGATIVE_INFINITY;

  /** Capacity is reclaimed only from these teams, so that no request is sent if there are none. */
  function listTeamsAboveShare(): readonly (readonly [string, TeamShare])[] {
    return Object.entries(teamShares.byTeam()).filter(
      ([, { dominantShare, fairShare }]) => dominantShare > fairShare,
    );
  }

  /** @returns number of tasks for which the job may reclaim capacity */
  function countEntitledTasks({ job, count }: CapacityDemand, priority: QueuePriority): number {
    const maximum = Math.min(count, MAXIMUM_TASKS_PER_REQUEST);
    if (priority === 'urgent') return maximum;
    const teamShare = teamShares.byTeam()[job.team];
    const gap = teamShare ? teamShare.fairShare - teamShare.dominantShare : 0;
    if (gap <= 0) return 0;
    const taskShare = teamShares.dominantShareOf(job.request.resources);
    return Math.max(1, Math.min(maximum, Math.floor(gap / taskShare)));
  }

  function choosePartitions(): readonly number[] {
    const all = targets.responsive();
    const first = Math.floor(random() * all.length);
    return [...all.slice(first), ...all.slice(0, first)].slice(0, MAXIMUM_PARTITIONS_PER_REQUEST);
  }

  async function requestFromPartition(
    workerPartition: number,
    demand: CapacityDemand,
    count: number,
  ): Promise<number> {
    if (!maySend(context)) return 0;
    const { job } = demand;
    const outcome = await callPartition(
      workerPartition,
      'worker.reclaim',
      {
        ...createHoldRequest(workerPartition, demand, count, clock.monotonicMilliseconds()),
        team: job.team,
        priority: priorityOf(job, configuration),
        teams: Object.fromEntries(listTeamsAboveShare()),
        capacity: teamShares.cellCapacity(),
      },
      RECLAIM_DEADLINE_MILLISECONDS,
    );
    if (outcome.isOk()) return outcome.value.helped;
    if (outcome.error.kind === 'lost') targets.recordNoAnswer(workerPartition);
    return 0;
  }

  async function requestReclaim(demand: CapacityDemand, count: number): Promise<void> {
    let remaining = count;
    for (const workerPartition of choosePartitions()) {
      if (remaining === 0 || partition.isClosed() || isTerminating(demand.job)) break;
      const helped = await requestFromPartition(workerPartition, demand, remaining);
      if (helped > 0) {
        capacityHolds.recordHold(demand, workerPartition);
        reclaimCompletesAt.set(
          demand.job.jobId,
          clock.monotonicMilliseconds() + RECLAIM_COMPLETION_MILLISECONDS,
        );
      }
      remaining -= helped;
    }
  }

  function removeCompleted(now: number): void {
    reclaimCompletesAt.forEach((at, jobId) => {
      if (at <= now) reclaimCompletesAt.delete(jobId);
    });
  }

  return {
    requestIfEntitled(demand) {
      const now = clock.monotonicMilliseconds();
      const priority = priorityOf(demand.job, configuration);
      if (now < nextRequestAt || now - demand.waitingSince < DELAY_MILLISECONDS[priority]) return;
      if (demand.job.request.kind === 'gang') return;
      removeCompleted(now);
      if (reclaimCompletesAt.has(demand.job.jobId)) return;
      const count = countEntitledTasks(demand, priority);
      if (count === 0 || listTeamsAboveShare().length === 0) return;
      nextRequestAt = now + REQUEST_INTERVAL_MILLISECONDS;
      counters.increment('reclaims.asked');
      requestReclaim(demand, count).catch(
        createFaultHandler(log, 'request to reclaim capacity failed'),
      );
    },
  };
}
