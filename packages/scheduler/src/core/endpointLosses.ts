import {
  classifyLoss,
  discardOutlivedLosses,
  hasCommonCause,
  isRecentStart,
} from '@chicorybend/decisions';
import type { EndpointLoss, LostEndpoint } from '@chicorybend/decisions';

import type { JobRecord, StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { EndpointState } from './endpointTable.js';
import { forEachTask, hasActiveRun } from './jobRecords.js';

/** How long a loss makes the address of its endpoint unreliable, in milliseconds. */
const UNRELIABLE_MILLISECONDS = 60_000;
/** Number of runs of a loss that its log line names. */
const LOGGED_RUNS = 5;

/** Losses of the tasks that had runs in one incarnation of an endpoint. */
interface RecordedLosses {
  /** Start of the incarnation, in milliseconds since the Unix epoch. */
  readonly bornAt: number;
  readonly rows: readonly { readonly task: TaskRecord; readonly loss: EndpointLoss }[];
}

/**
 * How an endpoint was lost:
 *
 * - `replaced`: another incarnation or endpoint answered in its place, so that its runs have ended
 * - `expired`: the leases there expired while it did not answer; it may only be cut off
 */
export type LossKind = 'replaced' | 'expired';

/** Attributes the losses of endpoints to the tasks that had runs there. */
export interface EndpointLosses {
  /** Calls to an endpoint began to fail at `silentSince`. */
  recordSilence(state: EndpointState): void;
  /** An endpoint answered in the same incarnation, so that it was not lost. @returns tasks with a withdrawn loss */
  recordAnswer(state: EndpointState): TaskRecord[];
  /** Records, before the runs are dropped, that the incarnation in which they were executed is over. */
  recordLoss(state: EndpointState, tasks: readonly TaskRecord[], kind: LossKind): void;
  /** A task was found guilty, which explains the losses under it. */
  recordVerdict(task: TaskRecord): void;
}

/** @returns whether the current run of a task is on trial at a time, in monotonic milliseconds */
export function isOnTrial(
  { trialMilliseconds, phase, startedAt }: TaskRecord,
  at: number,
): boolean {
  if (trialMilliseconds === 0) return false;
  return phase === 'placed' || (phase === 'running' && at - startedAt <= trialMilliseconds);
}

/** Creates the attribution for one term. */
export function createEndpointLosses(context: TermContext): EndpointLosses {
  const { clock, log, metrics } = context;
  /** By endpoint id: endpoints that do not answer, or were lost within the time that makes an address unreliable. */
  const silent = new Map<string, LostEndpoint & { readonly address: string }>();
  /** By endpoint id: the last losses recorded, to be withdrawn if their incarnation answers after all. */
  const recorded = new Map<string, RecordedLosses>();
  /** Number of the last run of a task with a recorded loss. */
  const lostRuns = new WeakMap<TaskRecord, number>();

  /**
   * If the endpoint has not answered in this term, the time of its loss is unknown; nothing can have begun there
   * afterwards, so the last placement is the best estimate.
   */
  function estimateLossTime(state: EndpointState, tasks: readonly TaskRecord[]): number {
    if (state.clockOffset !== null) return state.silentSince ?? clock.monotonicMilliseconds();
    return tasks.reduce((latest, { placedAt }) => Math.max(latest, placedAt), 0);
  }

  function runAge(task: TaskRecord, at: number): number {
    const isStartKnown = task.isStartTimeKnown && task.phase !== 'placed';
    return Math.max(0, at - (isStartKnown ? task.startedAt : task.placedAt));
  }

  function hasJustBegun(task: TaskRecord, at: number): boolean {
    return hasActiveRun(task) && isRecentStart(runAge(task, at));
  }

  /** @returns number of endpoints on which tasks of a job have just begun */
  function countRecentEndpoints(job: JobRecord, at: number): number {
    const endpointIds = new Set<string | null>();
    forEachTask(job, (task) => {
      if (hasJustBegun(task, at)) endpointIds.add(task.endpointId);
    });
    return endpointIds.size;
  }

  function describeLoss(state: EndpointState, at: number, tasks: readonly TaskRecord[]) {
    const { endpointId, rack, address } = state.entry;
    const recent = tasks.filter((task) => hasJustBegun(task, at));
    const jobs = new Set(recent.map(({ step }) => step.job));
    return {
      endpointId,
      rack,
      address,
      at,
      isExplained: tasks.some((task) => isOnTrial(task, at)),
      recentJobs: new Map([...jobs].map((job) => [job.jobId, countRecentEndpoints(job, at)])),
    };
  }

  function stepsInDoubt({ runs }: EndpointState, at: number): Set<StepRecord> {
    const recent = [...runs.values()].filter((task) => hasJustBegun(task, at));
    return new Set(recent.map(({ step }) => step));
  }

  function forgetOldLosses(now: number): void {
    silent.forEach(({ at }, endpointId) => {
      if (now - at <= UNRELIABLE_MILLISECONDS) return;
      silent.delete(endpointId);
      recorded.delete(endpointId);
    });
  }

  /** An endpoint that only stored runs name may have been lost; whether it was draining is unknown. */
  function hasLeft({ entry }: EndpointState): boolean {
    return entry.isDraining && entry.address !== '';
  }

  function isUnreliable({ entry }: EndpointState): boolean {
    return [...silent.values()].some(
      ({ address, endpointId, isExplained }) =>
        !isExplained && address === entry.address && endpointId !== entry.endpointId,
    );
  }

  function logLoss(
    state: EndpointState,
    lossTime: number,
    rows: readonly { task: TaskRecord; loss: EndpointLoss }[],
  ): void {
    const latest = [...rows].sort(
      (left, right) => left.loss.ageMilliseconds - right.loss.ageMilliseconds,
    );
    log.info('endpoint lost', {
      endpoint: state.entry.endpointId,
      rack: state.entry.rack,
      silentMilliseconds: Math.round(clock.monotonicMilliseconds() - lossTime),
      runs: rows.length,
      latest: latest
        .slice(0, LOGGED_RUNS)
        .map(({ task, loss }) => [task.taskId, loss.role, Math.round(loss.ageMilliseconds)]),
    });
  }

  return {
    recordSilence(state) {
      const at = state.silentSince ?? clock.monotonicMilliseconds();
      const { endpointId } = state.entry;
      const loss = describeLoss(state, at, [...state.runs.values()]);
      // An endpoint that was silent from the start of the term was lost at an unknown earlier time.
      if (state.clockOffset !== null) silent.set(endpointId, loss);
      stepsInDoubt(state, at).forEach((step) => step.silentEndpoints.add(endpointId));
    },
    recordAnswer({ entry, runs, bornAt }) {
      silent.delete(entry.endpointId);
      runs.forEach(({ step }) => step.silentEndpoints.delete(entry.endpointId));
      const withdrawn = recorded.get(entry.endpointId);
      if (withdrawn?.bornAt !== bornAt) return [];
      recorded.delete(entry.endpointId);
      return withdrawn.rows.map(({ task, loss }) => {
        task.losses = task.losses.filter((known) => known !== loss);
        return task;
      });
    },
    recordLoss(state, allTasks, kind) {
      // A run remains at its endpoint after its loss while a stop must rule out that it starts late.
      const tasks = allTasks.filter((task) => lostRuns.get(task) !== task.run);
      if (hasLeft(state) || tasks.length === 0) return;
      const lossTime = estimateLossTime(state, tasks);
      forgetOldLosses(clock.monotonicMilliseconds());
      const lost = silent.get(state.entry.endpointId) ?? describeLoss(state, lossTime, tasks);
      const circumstances = {
        hasTrial: lost.isExplained,
        isCommon: hasCommonCause(lost, [...silent.values()]),
        isUnreliable: isUnreliable(state),
      };
      silent.set(state.entry.endpointId, { ...lost, address: state.entry.address });
      const wallDifference = clock.wallMilliseconds() - clock.monotonicMilliseconds();
      tasks.forEach(({ step }) => step.silentEndpoints.delete(state.entry.endpointId));
      const rows = tasks.map((task) => {
        const ageMilliseconds = runAge(task, lossTime);
        const run = { ageMilliseconds, isOnTrial: isOnTrial(task, lossTime) };
        const role = classifyLoss(run, circumstances);
        const isAlone = role === 'sole' || role === 'unreliable';
        const isProven = kind === 'replaced' && (isAlone || task.phase !== 'placed');
        const loss = { role, ageMilliseconds, isProven, at: lossTime + wallDifference };
        task.losses = [...discardOutlivedLosses(task.losses, ageMilliseconds), loss];
        task.step.hasLosses = true;
        lostRuns.set(task, task.run);
        return { task, loss };
      });
      recorded.set(state.entry.endpointId, { bornAt: tasks[0]!.endpointBornAt, rows });
      metrics.count('endpoints_lost');
      metrics.count('runs_lost_with_endpoint', rows.length);
      logLoss(state, lossTime, rows);
    },
    recordVerdict(guilty) {
      recorded.forEach(({ rows }, endpointId) => {
        const lost = silent.get(endpointId);
        if (lost && rows.some(({ task }) => task === guilty)) {
          silent.set(endpointId, { ...lost, isExplained: true });
        }
      });
    },
  };
}
