/**
 * Handles the peer calls on jobs for the partitions that this daemon owns, and opens and closes these partitions.
 */
import { createFailure, Err, Ok } from '@chicorybend/common';
import type { Clock, Counters, Failure, JobView, Log, Result } from '@chicorybend/common';
import type { Quarantine, TaskQueue } from '@chicorybend/decisions';

import type { Allotments } from '../types/allotment.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type {
  PartitionLoadView,
  PartitionDirectory,
  PartitionOpening,
  PartitionService,
} from '../types/partition.js';
import type { PeerCallContext, PeerLink } from '../types/peer.js';
import type { PeerMethods } from '../types/peerMethods.js';
import type { VmDirectory } from '../types/vmDirectory.js';
import { createPartitionCalls } from '../utils/partitionCalls.js';

import { createJobPartition } from './jobPartition.js';
import type { JobPartition } from './jobPartition.js';
import { applyRecord, createJobsState, createSnapshotRecords } from './jobState.js';
import type { Job } from './jobState.js';
import { viewJob } from './jobView.js';
import { explainNeverFits, explainOverLimit } from './neverFits.js';
import { createPlacementLoop } from './placementLoop.js';
import type { PlacementLoop } from './placementLoop.js';
import { applyPolicy } from './queuePolicy.js';
import { createRunningUsageReader } from './runningUsage.js';
import type { RunningUsageReader } from './runningUsage.js';
import { stateOfJob } from './taskRules.js';
import { startUsageCheckpoints } from './usageCheckpoints.js';
import type { UsageCheckpoints } from './usageCheckpoints.js';

/** Leaves time for the answer to reach the caller within its deadline. */
const ANSWER_MARGIN_MILLISECONDS = 50;

export interface JobServiceOptions {
  readonly daemonId: string;
  readonly link: PeerLink;
  readonly directory: PartitionDirectory;
  readonly loadBoard: PartitionLoadView;
  readonly vmDirectory: VmDirectory;
  readonly configuration: ConfigurationView;
  readonly allotments: Allotments;
  /** Creates the queue of one partition, ordered by the policy in effect. The service applies later changes. */
  readonly createQueue: () => TaskQueue;
  readonly createQuarantine: () => Quarantine;
  readonly clock: Clock;
  readonly random: () => number;
  readonly counters: Counters;
  readonly log: Log;
}

interface OpenPartition {
  readonly jobs: JobPartition;
  readonly loop: PlacementLoop;
  readonly queue: TaskQueue;
  readonly usage: RunningUsageReader;
  readonly checkpoints: UsageCheckpoints;
  isReleased: boolean;
}

interface FoundJob {
  readonly openPartition: OpenPartition;
  readonly job: Job;
}

/**
 * Creates the service and registers its handlers at the link.
 */
export function createJobService(options: JobServiceOptions): PartitionService {
  const { daemonId, link, directory, vmDirectory, configuration, clock, counters, log } = options;
  const callPartition = createPartitionCalls(link, directory);
  const partitions = new Map<number, OpenPartition>();

  function findPartition(partition: number): Result<OpenPartition, Failure> {
    const openPartition = partitions.get(partition);
    const isServing =
      openPartition &&
      !openPartition.isReleased &&
      !openPartition.jobs.isClosed() &&
      openPartition.jobs.lease.mayAct();
    return isServing ? Ok(openPartition) : Err(createFailure('not-owner', { daemonId, partition }));
  }

  /** @param team team of the caller, or null for an operator */
  function findJob(jobId: string, team: string | null): Result<FoundJob, Failure> {
    const partition = Number.parseInt(jobId, 10);
    if (!(partition >= 0 && partition < directory.partitionCount)) {
      return Err(createFailure('unknown-job', { jobId }));
    }
    return findPartition(partition).andThen((openPartition) => {
      const job = openPartition.jobs.state.jobs.get(jobId);
      // A job of another team gets the same answer as a job that does not exist.
      const isVisible = job !== undefined && (team === null || job.team === team);
      return isVisible ? Ok({ openPartition, job }) : Err(createFailure('unknown-job', { jobId }));
    });
  }

  function view({ openPartition, job }: FoundJob): JobView {
    return viewJob(job, (taskId) => openPartition.loop.explainWait(taskId));
  }

  function explainRefusal({ team, request }: PeerMethods['job.submit']['params']): Failure | null {
    const limit = configuration.current()?.teams[team]?.limits.tasks;
    return explainNeverFits(vmDirectory.workers(), request) ?? explainOverLimit(limit, request);
  }

  async function submit(
    params: PeerMethods['job.submit']['params'],
    context: PeerCallContext,
  ): Promise<Result<{ jobId: string }, Failure>> {
    const openPartition = findPartition(params.partition);
    if (openPartition.isErr()) return openPartition;
    // A repeated submission was accepted before and may have run, so that it must not be refused as not run,
    // whatever the workers and limits are now.
    const refusal = openPartition.value.jobs.isDuplicate(params) ? null : explainRefusal(params);
    if (refusal) return Err(refusal);
    const deadline = Math.max(0, context.remainingMilliseconds - ANSWER_MARGIN_MILLISECONDS);
    const outcome = await openPartition.value.jobs.submit(params, deadline);
    return outcome.map((jobId) => ({ jobId }));
  }

  async function wait(
    params: PeerMethods['job.wait']['params'],
    context: PeerCallContext,
  ): Promise<Result<JobView, Failure>> {
    const { jobId, team, waitMilliseconds } = params;
    const found = findJob(jobId, team);
    if (found.isErr()) return found;
    const remaining = Math.max(0, context.remainingMilliseconds - ANSWER_MARGIN_MILLISECONDS);
    await found.value.openPartition.jobs.waitForEnd(
      found.value.job,
      Math.min(waitMilliseconds, remaining),
    );
    return findJob(jobId, team).map(view);
  }

  async function cancel({
    jobId,
    team,
  }: PeerMethods['job.cancel']['params']): Promise<Result<JobView, Failure>> {
    const found = findJob(jobId, team);
    if (found.isErr()) return found;
    const { openPartition, job } = found.value;
    if (job.isCancelled) return Ok(view(found.value));
    if (job.endedAt !== null) {
      return Err(createFailure('not-cancellable', { jobId, state: stateOfJob(job) }));
    }
    const outcome = await openPartition.jobs.cancel(job);
    return outcome.map(() => view(found.value));
  }

  async function release({
    jobId,
  }: PeerMethods['job.release']['params']): Promise<Result<JobView, Failure>> {
    const found = findJob(jobId, null);
    if (found.isErr()) return found;
    const { openPartition, job } = found.value;
    const state = stateOfJob(job);
    if (state !== 'held') return Err(createFailure('not-held', { jobId, state }));
    const outcome = await openPartition.jobs.release(job);
    return outcome.map(() => view(found.value));
  }

  function list(openPartition: OpenPartition, team: string | null): readonly JobView[] {
    return [...openPartition.jobs.state.jobs.values()]
      .filter((job) => team === null || job.team === team)
      .map((job) => view({ openPartition, job }));
  }

  async function open(opening: PartitionOpening): Promise<Result<void, Failure>> {
    const { lease, records } = opening;
    close(lease.partition);
    const state = createJobsState();
    records.forEach((record) => applyRecord(state, record));
    const jobs = createJobPartition({ lease, state, clock, counters, log });
    const queue = options.createQueue();
    const loop = createPlacementLoop({
      ...options,
      context: { ...options, partition: jobs, callPartition },
      queue,
      quarantine: options.createQuarantine(),
    });
    jobs.setListener(loop);
    const usage = createRunningUsageReader(jobs, callPartition);
    const checkpoints = startUsageCheckpoints({ partition: jobs, usage, clock, log });
    partitions.set(lease.partition, { jobs, loop, queue, usage, checkpoints, isReleased: false });
    loop.start();
    return Ok(undefined);
  }

  function close(partition: number): void {
    const openPartition = partitions.get(partition);
    partitions.delete(partition);
    openPartition?.jobs.close();
    openPartition?.loop.close();
    openPartition?.checkpoints.close();
  }

  options.configuration.onChange(() => {
    partitions.forEach(({ queue }) => applyPolicy(queue, options.configuration));
  });
  link.handle('job.submit', submit);
  link.handle('job.read', async ({ jobId, team }) => findJob(jobId, team).map(view));
  link.handle('job.wait', wait);
  link.handle('job.cancel', cancel);
  link.handle('job.release', release);
  link.handle('job.list', async ({ partition, team }) =>
    findPartition(partition).map((openPartition) => list(openPartition, team)),
  );
  link.handle('usage.report', async ({ partition }) => {
    const openPartition = findPartition(partition);
    if (openPartition.isErr()) return openPartition;
    const usage = await openPartition.value.usage.readUsage();
    return findPartition(partition).map(() => usage);
  });
  link.handle('task.event', async (event) => {
    const openPartition = findPartition(event.jobPartition);
    if (openPartition.isErr()) return openPartition;
    return (await openPartition.value.jobs.recordTaskEvent(event)).map(() => ({}));
  });

  return {
    name: 'jobs',
    open,
    async release(partition) {
      const openPartition = partitions.get(partition);
      if (!openPartition) return null;
      openPartition.isReleased = true;
      openPartition.loop.close();
      openPartition.checkpoints.close();
      // The journal holds the whole state. The next owner looks up starts that were not answered.
      await openPartition.jobs.finishAppends();
      return null;
    },
    close,
    snapshot(partition) {
      const openPartition = partitions.get(partition);
      return openPartition
        ? createSnapshotRecords(openPartition.jobs.state, clock.wallMilliseconds())
        : [];
    },
  };
}
