import {
  classifyLoss,
  discardOutlivedLosses,
  hasCommonCause,
  isRecentStart,
} from '@chicorybend/decisions';
import type { LossCertainty, LostEndpoint } from '@chicorybend/decisions';

import type { EndpointEntry } from '../types/endpoint.js';
import type { JobRecord, TaskLoss, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { EndpointState } from './endpointTable.js';
import { forEachTask, hasActiveRun } from './jobRecords.js';

/** How long a loss makes the address of its endpoint unreliable, in milliseconds. */
const UNRELIABLE_MILLISECONDS = 60_000;
/** The remaining time of a drain is as old as the last heartbeat of the endpoint, in milliseconds. */
const DRAIN_END_TOLERANCE_MILLISECONDS = 2_000;
/** The directory drops an endpoint after three missed heartbeats, the first of which may be due just after a crash. */
const MINIMUM_LISTED_HEARTBEATS = 2;
/** A successor that answers later than this does not show when its predecessor ended, in milliseconds. */
const CONFIRMATION_MILLISECONDS = 30_000;
/** Number of runs of a loss that its log line names. */
const LOGGED_RUNS = 5;

/** A task with one of its losses. */
interface LossRow {
  readonly task: TaskRecord;
  readonly loss: TaskLoss;
}

/** How an endpoint was lost. */
export type LossCause = 'crashed' | 'silent';

/** Attributes the losses of endpoints to the tasks that had runs there. */
export interface EndpointLosses {
  /** Calls to an endpoint began to fail at `silentSince`. */
  recordSilence(state: EndpointState): void;
  /**
   * An incarnation of an endpoint answered. It was not lost, so its own losses are withdrawn; former endpoints and
   * incarnations at its address are over, so that those whose connection ended have crashed.
   *
   * @returns tasks with a withdrawn or confirmed loss
   */
  recordAnswer(state: EndpointState): TaskRecord[];
  /**
   * Records, before the runs are dropped, that the endpoint is lost.
   *
   * @param cause whether its incarnation is certainly over, or it was silent until the leases had expired
   */
  recordLoss(state: EndpointState, tasks: readonly TaskRecord[], cause: LossCause): void;
  /** An endpoint drains, so that an answer of its successor does not show that it has crashed. */
  recordDrain(entry: EndpointEntry): void;
  /** Drops the losses that the current run of a task, which ends other than by a loss, has outlived. */
  discardOutlived(task: TaskRecord): void;
  /** The current run of a task turned out to be in a later incarnation than the one that was lost. */
  withdrawLoss(task: TaskRecord): void;
  /** A task was found guilty, which explains the losses under it. */
  recordVerdict(task: TaskRecord): void;
}

/** @returns fields of a loss for log lines */
export function describeLoss(loss: TaskLoss) {
  const { endpointId, bornAt, run, role, certainty, epoch } = loss;
  return {
    endpoint: endpointId,
    incarnation: bornAt,
    run,
    role,
    certainty,
    ageMilliseconds: Math.round(loss.ageMilliseconds),
    maximumAgeMilliseconds: Math.round(loss.maximumAgeMilliseconds),
    epoch,
  };
}

/** @returns when the drain of an incarnation ends, in monotonic milliseconds; null if it is not known to drain */
export function drainEndOf(
  { entry, entryReadAt, formerDrain }: EndpointState,
  bornAt: number,
): number | null {
  if (formerDrain?.bornAt === bornAt) return formerDrain.endsAt;
  if (!entry.isDraining || entryReadAt === -Infinity) return null;
  return entryReadAt + (entry.drainRemainingMilliseconds ?? 0);
}

/** @returns whether an endpoint left before the term, too soon after the placement of a run to have crashed under it */
function hasLeftBeforeTerm(
  { unlistedAt, clockOffset }: EndpointState,
  { placedAt }: TaskRecord,
  heartbeatMilliseconds: number,
): boolean {
  if (unlistedAt === null || clockOffset !== null) return false;
  return unlistedAt - placedAt < MINIMUM_LISTED_HEARTBEATS * heartbeatMilliseconds;
}

/** @returns certainty of a loss once its endpoint is over; null if the lease of the run may have expired before */
function confirmedCertainty({ certainty }: TaskLoss): LossCertainty | null {
  if (certainty === 'disconnected') return 'executing';
  return certainty === 'unreachable' ? 'crashed' : null;
}

/** @returns whether the endpoint of a loss is over if an incarnation answers for an entry */
function isFormer(loss: TaskLoss, { endpointId, address }: EndpointEntry, bornAt: number): boolean {
  if (loss.endpointId === endpointId) return loss.bornAt < bornAt;
  return loss.address !== '' && loss.address === address;
}

/** @returns whether the current run of a task is on trial at a time, in monotonic milliseconds */
export function isOnTrial(task: TaskRecord, at: number): boolean {
  const { trialMilliseconds, phase, startedAt } = task;
  if (trialMilliseconds === 0 || !hasActiveRun(task)) return false;
  return phase === 'placed' || at - startedAt <= trialMilliseconds;
}

function runAge(task: TaskRecord, at: number): number {
  const isStartKnown = task.isStartTimeKnown && task.phase !== 'placed';
  return Math.max(0, at - (isStartKnown ? task.startedAt : (task.startSentAt ?? task.placedAt)));
}

/** @returns whether the current run of a task may have caused a loss at a time, in monotonic milliseconds */
export function hasJustBegun(task: TaskRecord, at: number): boolean {
  return hasActiveRun(task) && isRecentStart(runAge(task, at));
}

/** Creates the attribution for one term. */
export function createEndpointLosses(context: TermContext): EndpointLosses {
  const { clock, log, metrics } = context;
  /** By endpoint id: endpoints that do not answer, or were lost within the time that makes an address unreliable. */
  const silent = new Map<string, LostEndpoint & { readonly address: string }>();
  /** Losses of this term and of earlier ones, to be withdrawn if their incarnation answers after all. */
  const recorded = new Set<LossRow>();
  /** By endpoint id: endpoints that have not answered in this term, so that it is unknown when they were lost. */
  const silentFromStart = new Map<string, LostEndpoint>();

  /**
   * If the endpoint has not answered in this term, the time of its loss is unknown; nothing can have begun there
   * afterwards, so the last placement is the best estimate.
   */
  function estimateLossTime(state: EndpointState, tasks: readonly TaskRecord[]): number {
    if (state.clockOffset !== null) return state.silentSince ?? clock.monotonicMilliseconds();
    return tasks.reduce((latest, { placedAt }) => Math.max(latest, placedAt), 0);
  }

  /** @returns number of endpoints on which tasks of a job have just begun */
  function countRecentEndpoints(job: JobRecord, at: number): number {
    const endpointIds = new Set<string | null>();
    forEachTask(job, (task) => {
      if (hasJustBegun(task, at)) endpointIds.add(task.endpointId);
    });
    return endpointIds.size;
  }

  function describeLostEndpoint(state: EndpointState, at: number, tasks: readonly TaskRecord[]) {
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

  function forgetOldLosses(now: number): void {
    silent.forEach(({ at }, endpointId) => {
      if (now - at > UNRELIABLE_MILLISECONDS) silent.delete(endpointId);
    });
    recorded.forEach((row) => {
      const { phase, losses, step } = row.task;
      const matters = step.job.phase === 'open' && phase !== 'done' && losses.includes(row.loss);
      if (!matters) recorded.delete(row);
    });
  }

  function restoreLosses(): void {
    context.jobs.forEach((job) =>
      forEachTask(job, (task) => task.losses.forEach((loss) => recorded.add({ task, loss }))),
    );
  }

  /** A draining endpoint that is lost long before the end of its drain has crashed. */
  function hasLeftAsPlanned(state: EndpointState, tasks: readonly TaskRecord[]): boolean {
    const endsAt = drainEndOf(state, tasks[0]!.endpointBornAt);
    if (endsAt === null) return false;
    return estimateLossTime(state, tasks) >= endsAt - DRAIN_END_TOLERANCE_MILLISECONDS;
  }

  /** The endpoints of a rack that a former owner has lost may have been lost at once. */
  function isLostWithRack({ entry }: EndpointState): boolean {
    if (entry.rack === '') return false;
    const lost = silentFromStart.get(entry.endpointId);
    const ofRack = [...silentFromStart.values()].filter(({ rack }) => rack === entry.rack);
    return lost !== undefined && hasCommonCause(lost, ofRack);
  }

  function isUnreliable({ entry }: EndpointState): boolean {
    return [...silent.values()].some(
      ({ address, endpointId, isExplained }) =>
        !isExplained && address === entry.address && endpointId !== entry.endpointId,
    );
  }

  function judgeCertainty(
    { clockOffset, silentSince, isDisconnected, hasCrashedDuringHold }: EndpointState,
    { phase }: TaskRecord,
    cause: LossCause,
  ): LossCertainty {
    if (cause === 'silent') {
      if (!isDisconnected || phase === 'placed') return 'silent';
      return hasCrashedDuringHold ? 'disconnected' : 'unreachable';
    }
    if (phase === 'placed') {
      // An endpoint that was cut off when the start was sent has not got it.
      const wasCutOff = clockOffset !== null && silentSince !== null && !isDisconnected;
      return wasCutOff ? 'silent' : 'unconfirmed';
    }
    return hasCrashedDuringHold ? 'executing' : 'crashed';
  }

  function describeRow({ task, loss }: LossRow) {
    const { run, role, certainty, ageMilliseconds } = describeLoss(loss);
    return { task: task.taskId, run, role, certainty, ageMilliseconds };
  }

  function replaceLoss(row: LossRow, next: TaskLoss | null): void {
    const { task, loss } = row;
    recorded.delete(row);
    if (next) recorded.add({ task, loss: next });
    task.losses = task.losses.flatMap((known) => {
      if (known !== loss) return known;
      return next ?? [];
    });
  }

  function logRows(
    message: string,
    reason: 'answered' | 'later-incarnation' | 'replaced',
    rows: readonly LossRow[],
  ): void {
    if (rows.length === 0) return;
    const { endpointId, bornAt } = rows[0]!.loss;
    log.info(message, {
      endpoint: endpointId,
      incarnation: bornAt,
      reason,
      epoch: context.epoch,
      runs: rows.length,
      recorded: rows.slice(0, LOGGED_RUNS).map((row) => ({
        ...describeRow(row),
        epoch: row.loss.epoch,
      })),
    });
  }

  function logLoss(
    state: EndpointState,
    cause: LossCause,
    lossTime: number,
    rows: readonly LossRow[],
  ): void {
    const latest = [...rows].sort(
      (left, right) => left.loss.ageMilliseconds - right.loss.ageMilliseconds,
    );
    log.info('endpoint lost', {
      endpoint: state.entry.endpointId,
      incarnation: rows[0]!.loss.bornAt,
      rack: state.entry.rack,
      cause,
      epoch: context.epoch,
      silentMilliseconds: Math.round(clock.monotonicMilliseconds() - lossTime),
      runs: rows.length,
      latest: latest.slice(0, LOGGED_RUNS).map(describeRow),
    });
  }

  restoreLosses();

  return {
    recordSilence(state) {
      const tasks = [...state.runs.values()];
      const loss = describeLostEndpoint(state, estimateLossTime(state, tasks), tasks);
      if (state.clockOffset !== null) silent.set(loss.endpointId, loss);
      else silentFromStart.set(loss.endpointId, { ...loss, at: 0 });
    },
    recordAnswer({ entry, bornAt }) {
      silent.delete(entry.endpointId);
      silentFromStart.delete(entry.endpointId);
      const rows = [...recorded].filter(({ task, loss }) => task.losses.includes(loss));
      const withdrawn = rows.filter(
        ({ loss }) => loss.endpointId === entry.endpointId && loss.bornAt === bornAt,
      );
      logRows('endpoint loss withdrawn', 'answered', withdrawn);
      metrics.count('losses_withdrawn', withdrawn.length);
      withdrawn.forEach((row) => replaceLoss(row, null));
      const now = clock.wallMilliseconds();
      const confirmed = rows.filter(
        ({ loss }) =>
          confirmedCertainty(loss) &&
          isFormer(loss, entry, bornAt) &&
          now - loss.at <= CONFIRMATION_MILLISECONDS,
      );
      logRows('endpoint loss confirmed', 'replaced', confirmed);
      metrics.count('losses_confirmed', confirmed.length);
      confirmed.forEach((row) =>
        replaceLoss(row, { ...row.loss, certainty: confirmedCertainty(row.loss)! }),
      );
      return [...withdrawn, ...confirmed].map(({ task }) => task);
    },
    recordLoss(state, allTasks, cause) {
      // A run remains at its endpoint after its loss while a stop must rule out that it starts late.
      const tasks = allTasks.filter(
        (task) =>
          task.startSentAt !== null &&
          !task.losses.some(({ run }) => run === task.run) &&
          !hasLeftBeforeTerm(state, task, context.timeLimits.heartbeatMilliseconds),
      );
      if (tasks.length === 0 || hasLeftAsPlanned(state, tasks)) return;
      const lossTime = estimateLossTime(state, tasks);
      forgetOldLosses(clock.monotonicMilliseconds());
      const lost =
        silent.get(state.entry.endpointId) ?? describeLostEndpoint(state, lossTime, tasks);
      const circumstances = {
        hasTrial: lost.isExplained,
        isCommon: hasCommonCause(lost, [...silent.values()]) || isLostWithRack(state),
        isUnreliable: isUnreliable(state),
      };
      silent.set(state.entry.endpointId, { ...lost, address: state.entry.address });
      const wallDifference = clock.wallMilliseconds() - clock.monotonicMilliseconds();
      const rows = tasks.map((task) => {
        const ageMilliseconds = runAge(task, lossTime);
        const run = { ageMilliseconds, isOnTrial: isOnTrial(task, lossTime) };
        const role = classifyLoss(run, circumstances);
        const certainty = judgeCertainty(state, task, cause);
        const isAgeKnown = certainty !== 'unconfirmed' && certainty !== 'silent';
        const loss: TaskLoss = {
          run: task.run,
          role,
          ageMilliseconds,
          maximumAgeMilliseconds: isAgeKnown
            ? ageMilliseconds
            : runAge(task, clock.monotonicMilliseconds()),
          certainty,
          at: lossTime + wallDifference,
          endpointId: state.entry.endpointId,
          bornAt: task.endpointBornAt,
          address: state.entry.address,
          epoch: context.epoch,
        };
        task.losses = [...discardOutlivedLosses(task.losses, ageMilliseconds), loss];
        task.step.hasLosses = true;
        return { task, loss };
      });
      rows.forEach((row) => recorded.add(row));
      metrics.count('endpoints_lost');
      metrics.count('runs_lost_with_endpoint', rows.length);
      logLoss(state, cause, lossTime, rows);
    },
    recordDrain({ endpointId, bornAt }) {
      [...recorded]
        .filter(({ loss }) => loss.endpointId === endpointId && loss.bornAt === bornAt)
        .filter(({ loss }) => confirmedCertainty(loss))
        .forEach((row) => replaceLoss(row, { ...row.loss, certainty: 'silent' }));
    },
    discardOutlived(task) {
      if (task.losses.length === 0 || task.phase === 'placed') return;
      task.losses = [
        ...discardOutlivedLosses(task.losses, runAge(task, clock.monotonicMilliseconds())),
      ];
    },
    withdrawLoss(task) {
      const withdrawn = task.losses.filter(({ run }) => run === task.run);
      const rows = withdrawn.map((loss) => ({ task, loss }));
      logRows('endpoint loss withdrawn', 'later-incarnation', rows);
      metrics.count('losses_withdrawn', rows.length);
      task.losses = task.losses.filter(({ run }) => run !== task.run);
    },
    recordVerdict(guilty) {
      guilty.losses.forEach(({ endpointId }) => {
        const lost = silent.get(endpointId);
        if (lost) silent.set(endpointId, { ...lost, isExplained: true });
      });
    },
  };
}
