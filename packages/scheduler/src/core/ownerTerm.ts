import {
  boundFormerOutstandingStart,
  boundFormerWidenedLeases,
  isReplacementNoticed,
  SHEDDING_LEVELS,
} from '@chicorybend/decisions';
import type { SheddingLevel } from '@chicorybend/decisions';
import {
  createFailure,
  RESOURCE_DIMENSIONS,
  sleep,
  TIMED_OUT,
  withTimeout,
} from '@chicorybend/common';

import type { AdviceClient } from '../types/advice.js';
import type { CallerAnswer, CallerRequest } from '../types/caller.js';
import type { StoredItem } from '../types/clusterStore.js';
import type { ClusterConfiguration } from '../types/configuration.js';
import type { EndpointEntry } from '../types/endpoint.js';
import type { JobRecord, TaskRecord } from '../types/jobRecord.js';
import type { SchedulerDependencies } from '../types/schedulerDependencies.js';
import type { TermContext } from '../types/termContext.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import { leaseDurations } from '../utils/leaseTimes.js';
import {
  COMMIT_KEY,
  JOB_PREFIX,
  parseJobKey,
  PAST_USE_KEY,
  specificationKey,
  stateKey,
} from '../utils/storeKeys.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';
import { createWorkSlices } from '../utils/workSlices.js';
import type { WorkSlices } from '../utils/workSlices.js';
import { createAdviceCache } from './adviceCache.js';
import { FENCING_TOKENS_PER_TERM } from './ownerElection.js';
import type { TermIdentity } from './ownerElection.js';
import { createCallerService } from './callerService.js';
import { createCommitQueue } from './commitQueue.js';
import { createDispatcher } from './dispatcher.js';
import { drainEndOf } from './endpointLosses.js';
import { createEndpointSession } from './endpointSession.js';
import type { EndpointSession } from './endpointSession.js';
import { describeHeldBackWork } from './heldBackWork.js';
import { createEndpointTable, isFormerIncarnation, leaseExpiryOf } from './endpointTable.js';
import type { EndpointState, LeaseExpiries } from './endpointTable.js';
import { createEvacuationMoves } from './evacuationMoves.js';
import { createEvacuationWatch } from './evacuationWatch.js';
import {
  applyState,
  countOccurrences,
  createJobRecord,
  forEachTask,
  hasActiveRun,
  hasOccurrences,
  parseAccepted,
} from './jobRecords.js';
import { createJobAdmission } from './jobAdmission.js';
import { createJobSettings } from './jobSettings.js';
import { maximumOpenTasks } from './jobSize.js';
import { createOwnerLateness } from './ownerLateness.js';
import { createOutstandingStarts } from './outstandingStarts.js';
import { createPastUseOrder, createPlainOrder } from './pastUseOrder.js';
import { GAUGES } from './schedulerMetrics.js';
import type { GaugeName } from './schedulerMetrics.js';
import { createStragglerWatch } from './stragglerWatch.js';
import { createTaskTransitions } from './taskTransitions.js';
import { createDurationEstimates } from './durationEstimates.js';
import { createWorkMeter } from './workMeter.js';

/** Interval of reading the configuration; bounds the delay until a change is in effect. */
const CONFIGURATION_INTERVAL_MILLISECONDS = 600;
/** Number of reads within the maximum age of the configuration, so that it survives lost answers. */
const READS_PER_CONFIGURATION_AGE = 3;
/** Interval of reading the directory; bounds how long a leaving endpoint still gets new runs. */
const DIRECTORY_INTERVAL_MILLISECONDS = 600;
/** Interval of checks for due occurrences, expired job records, drains and stragglers. */
const HOUSEKEEPING_INTERVAL_MILLISECONDS = 100;
/** Interval of the checks for stragglers and upcoming steps while the owner is late. */
const SHED_OPTIONAL_INTERVAL_MILLISECONDS = 500;
/** Interval of the log lines about waiting tasks and about the owner's own work. */
const LOAD_LOG_INTERVAL_MILLISECONDS = 1_000;
/** Delay before a failed read is repeated. */
const RETRY_DELAY_MILLISECONDS = 100;
/** Bounds of the timeout of a read; a read whose packet was lost is repeated after the minimum. */
const READ_TIMEOUTS = { minimumMilliseconds: 250, maximumMilliseconds: 2_000 };
/** Bounds of the time without progress of a read of many items, whose first bytes may wait behind other answers. */
const BULK_READ_TIMEOUTS = { minimumMilliseconds: 250, maximumMilliseconds: 5_000 };
/** Pause after each slice of restoring jobs without work in progress, in which the owner serves. */
const STORED_JOBS_PAUSE_MILLISECONDS = 10;
/** Epoch of the first term of a cell, before which no owner has sent orders. */
const FIRST_EPOCH = 1;
/** Tasks with checkpoints are moved off a draining endpoint this long before it leaves. */
const DRAIN_MARGIN_MILLISECONDS = 1_000;

export interface OwnerTermOptions extends SchedulerDependencies {
  readonly term: TermIdentity;
  readonly isOwnerLeaseValid: () => boolean;
  readonly onOwnershipLost: (reason: string) => void;
  readonly onRecovered: () => void;
}

/** Runs the scheduler from the claim of ownership until its loss. */
export interface OwnerTerm {
  /** Recovers the state from the store, and schedules until {@link OwnerTerm.end}. */
  run(): Promise<void>;
  handle(request: CallerRequest): Promise<CallerAnswer>;
  /** Adds a channel to the advice service. @returns function that removes it */
  addAdviceChannel(client: AdviceClient, name: string): () => void;
  end(): void;
}

/** @returns entry for an endpoint that is not in the directory and is known only from a stored run */
function createUnlistedEntry(endpointId: string, run: TaskRecord): EndpointEntry {
  return {
    endpointId,
    service: '',
    address: run.endpointAddress,
    dataCentre: '',
    isDraining: true,
    drainRemainingMilliseconds: null,
    capacity: { processors: 0, memoryBytes: 0, accelerators: 0 },
    labels: [],
    rack: run.endpointRack,
    bornAt: run.endpointBornAt,
  };
}

/** Creates a term; {@link OwnerTerm.run} starts it. */
export function createOwnerTerm(options: OwnerTermOptions): OwnerTerm {
  const { store, clock, log, metrics, directory, configurationSource, term, timeLimits } = options;
  const table = createEndpointTable();
  const jobs = new Map<string, JobRecord>();
  /** Stored jobs without work in progress, by id, that are restored while the owner serves. */
  const storedJobs = new Map<string, { readonly specification: string; readonly state: string }>();
  const sessions = new Map<string, EndpointSession>();
  let configuration: ClusterConfiguration | null = null;
  const settings = createJobSettings();
  /** When the last successful read of the configuration began, in monotonic and in wall-clock milliseconds. */
  let configurationReadAt = { monotonic: -Infinity, wall: -Infinity };
  const configurationInterval = Math.min(
    CONFIGURATION_INTERVAL_MILLISECONDS,
    options.maximumConfigurationAgeMilliseconds / READS_PER_CONFIGURATION_AGE,
  );
  let hasEnded = false;
  let sheddingLevel: SheddingLevel = 'nothing';
  let optionalWorkAt = -Infinity;
  let lastFencingToken = term.epoch;
  let components: ReturnType<typeof createComponents> | null = null;
  const startedAt = clock.monotonicMilliseconds();
  const durations = leaseDurations(timeLimits);
  const hasFormerOwner = term.epoch !== FIRST_EPOCH;
  /** Bounds of the leases at an endpoint of which nothing is known; former owners sent all orders before this term. */
  const formerLeases: LeaseExpiries = hasFormerOwner
    ? {
        leasesExpireAt: startedAt + durations.requested,
        widenedLeasesExpireAt: startedAt + durations.late,
        laterLeasesExpireAt: startedAt + durations.late,
      }
    : {
        leasesExpireAt: startedAt,
        widenedLeasesExpireAt: startedAt,
        laterLeasesExpireAt: startedAt,
      };

  const readLatency = createLatencyEstimate(READ_TIMEOUTS);
  const bulkReadLatency = createLatencyEstimate(BULK_READ_TIMEOUTS);
  const estimates = createDurationEstimates(clock);
  const workMeter = createWorkMeter(clock);
  const lateness = createOwnerLateness(clock);
  const evacuations = createEvacuationWatch({
    settings: options.evacuation,
    clock,
    log,
    metrics,
    table,
    hasEnded: () => hasEnded,
    onChange: () => components?.dispatcher.requestRound(),
  });
  const adviceCache = createAdviceCache({
    clock,
    log,
    metrics,
    workMeter,
    onAnswer: () => components?.dispatcher.requestRound(),
  });

  function createComponents(chainRevision: number) {
    const commits = createCommitQueue({
      store,
      clock,
      log,
      term,
      chainRevision,
      workMeter,
      onOwnershipLost: options.onOwnershipLost,
      onCommit(keys, milliseconds) {
        metrics.count('commits');
        metrics.count('commit_keys', keys);
        metrics.record('commit_milliseconds', milliseconds);
        lateness.recordCommit(milliseconds);
      },
    });
    const context: TermContext = {
      clock,
      log,
      metrics,
      workMeter,
      lateness,
      epoch: term.epoch,
      hasFormerOwner,
      takeFencingToken,
      timeLimits,
      maximumOpenTasks: maximumOpenTasks(options.maximumValueBytes),
      endpoints: options.endpoints,
      table,
      jobs,
      commits,
      estimates,
      configuration: () => configuration!,
      settings,
      outstandingStarts: createOutstandingStarts({ clock, log, metrics, timeLimits, table, jobs }),
      evacuations,
      isOwnerLeaseValid: () => !hasEnded && options.isOwnerLeaseValid(),
      hasEnded: () => hasEnded,
      abandonTerm: options.onOwnershipLost,
      requestRound: () => dispatcher.requestRound(),
    };
    const transitions = createTaskTransitions(context);
    const pastUse = options.pastUse
      ? createPastUseOrder({
          context,
          settings: options.pastUse,
          maximumValueBytes: options.maximumValueBytes,
          readRecord: () => retryUntilAnswered((timeout) => store.read(PAST_USE_KEY, timeout)),
        })
      : createPlainOrder();
    const dispatcher = createDispatcher({
      context,
      pastUse,
      transitions,
      adviceCache,
      sessionOf: (endpointId) => sessions.get(endpointId),
      stopFillingTasks,
    });
    const callerService = createCallerService({
      context,
      transitions,
      admission: createJobAdmission(context, dispatcher.workDigest),
      configurationAge,
      readConfiguration,
      mayStoreAnswer,
      maximumConfigurationAgeMilliseconds: options.maximumConfigurationAgeMilliseconds,
      restoreStoredJob,
      onAccepted: transitions.releaseDueSteps,
    });
    transitions.onJobClosed((job) => {
      stopRuns(job);
      estimates.forgetJob(job.jobId);
    });
    transitions.onStepsClosed((steps) => {
      const stepIds = steps.map(({ stepId }) => stepId);
      stepIds.forEach(adviceCache.forgetStep);
      estimates.forgetSteps(stepIds);
    });
    transitions.onGangBroken((step) => step.tasks.filter(hasActiveRun).forEach(stopRun));
    const { findMoveRoom } = dispatcher;
    const stragglerWatch = createStragglerWatch(
      context,
      (endpointId) => sessions.get(endpointId),
      findMoveRoom,
    );
    const evacuationMoves = createEvacuationMoves({ context, findMoveRoom, stopRun });
    return {
      context,
      commits,
      transitions,
      dispatcher,
      pastUse,
      callerService,
      stragglerWatch,
      evacuationMoves,
    };
  }

  function takeFencingToken(): number {
    lastFencingToken += 1;
    const isReserved = lastFencingToken < term.epoch + FENCING_TOKENS_PER_TERM;
    if (!isReserved) options.onOwnershipLost('all fencing tokens of the term are used');
    return lastFencingToken;
  }

  function stopRuns(job: JobRecord): void {
    forEachTask(job, (task) => {
      if (hasActiveRun(task)) stopRun(task);
    });
  }

  /** A run that is only placed is not stopped here, but once its start is resolved. */
  function stopRun(task: TaskRecord): void {
    if (task.phase !== 'running' || task.endpointId === null) return;
    void sessions.get(task.endpointId)?.stop(task);
  }

  /** Stops the filling tasks on an endpoint in favour of serving tasks; they resume elsewhere. */
  function stopFillingTasks(state: EndpointState): void {
    state.runs.forEach((task) => {
      if (task.step.specification.isFilling) stopRun(task);
    });
  }

  function timedRead<Outcome extends { kind: string }>(
    call: (timeoutMilliseconds: number) => Promise<Outcome>,
    latency = readLatency,
  ): Promise<Outcome> {
    return callWithAdaptiveTimeout(clock, latency, call, ({ kind }) => kind === 'failed');
  }

  async function retryUntilAnswered<Outcome extends { kind: string }>(
    call: (timeoutMilliseconds: number) => Promise<Outcome>,
    latency = readLatency,
  ): Promise<Exclude<Outcome, { kind: 'failed' }> | null> {
    while (!hasEnded) {
      const outcome = await timedRead(call, latency);
      if (outcome.kind !== 'failed') return outcome as Exclude<Outcome, { kind: 'failed' }>;
      await sleep(clock, RETRY_DELAY_MILLISECONDS);
    }
    return null;
  }

  /** The monotonic clock may stop while the VM is suspended, and the wall clock may be set. */
  function configurationAge(): number {
    return Math.max(
      clock.monotonicMilliseconds() - configurationReadAt.monotonic,
      clock.wallMilliseconds() - configurationReadAt.wall,
    );
  }

  /** A step of the wall clock makes the lease invalid until it is renewed, and the configuration seem old. */
  function mayStoreAnswer(): boolean {
    if (hasEnded) return false;
    const age = clock.monotonicMilliseconds() - configurationReadAt.monotonic;
    return options.isOwnerLeaseValid() || age <= options.maximumConfigurationAgeMilliseconds;
  }

  async function readConfiguration(): Promise<boolean> {
    const readAt = {
      monotonic: clock.monotonicMilliseconds(),
      wall: clock.wallMilliseconds(),
    };
    const outcome = await timedRead((timeout) => configurationSource.read(timeout));
    if (outcome.kind === 'failed' || hasEnded) return false;
    const next = outcome.configuration;
    if (readAt.monotonic > configurationReadAt.monotonic) configurationReadAt = readAt;
    if (next && (!configuration || next.version > configuration.version)) {
      log.info('configuration in effect', { version: next.version, queues: next.queues.length });
      configuration = next;
      settings.apply(next);
      components?.dispatcher.requestRound();
    }
    return true;
  }

  function startSession(state: EndpointState): EndpointSession {
    const { context, transitions, dispatcher } = components!;
    const session = createEndpointSession(context, transitions, state, {
      onTicketRefused(task) {
        adviceCache.dropTicket(task.step.stepId, state.entry.endpointId);
      },
      onGone(gone) {
        log.info('endpoint gone', { endpoint: gone.entry.endpointId });
        table.remove(gone.entry.endpointId);
        sessions.delete(gone.entry.endpointId);
        estimates.forgetEndpoint(gone.entry.endpointId);
      },
      onLoadReport(loaded, task, report) {
        enforceLatencyTarget(loaded, task, report.load);
      },
    });
    sessions.set(state.entry.endpointId, session);
    if (state.entry.address !== '') void session.run();
    else void awaitLeaseExpiry(state, dispatcher.requestRound);
    return session;
  }

  /** Without an address, the runs of an endpoint can only be dropped when their leases have expired. */
  async function awaitLeaseExpiry(state: EndpointState, onExpired: () => void): Promise<void> {
    const { transitions } = components!;
    while (state.runs.size > 0) {
      const expiries = [...state.runs.values()].map((task) =>
        leaseExpiryOf(state, task, timeLimits.maximumOrderDelayMilliseconds),
      );
      const remaining = Math.min(...expiries) - clock.monotonicMilliseconds();
      await sleep(clock, Math.max(RETRY_DELAY_MILLISECONDS, remaining));
      if (hasEnded || state.entry.address !== '') return;
      transitions.expireRuns(state);
    }
    table.remove(state.entry.endpointId);
    sessions.delete(state.entry.endpointId);
    onExpired();
  }

  /** Stops the filling tasks beside a serving task that exceeds its latency target; they resume elsewhere. */
  function enforceLatencyTarget(state: EndpointState, task: TaskRecord, load: number): void {
    if (load <= task.step.specification.targetMilliseconds) return;
    stopFillingTasks(state);
  }

  function applyDrain(state: EndpointState): void {
    const remaining = state.entry.drainRemainingMilliseconds ?? 0;
    state.runs.forEach((task) => {
      const { isLongRunning, hasCheckpoints } = task.step.specification;
      const mustMove = hasCheckpoints && remaining <= DRAIN_MARGIN_MILLISECONDS;
      if (isLongRunning || mustMove) stopRun(task);
    });
  }

  function addEndpoint(entry: EndpointEntry, readAt: number): EndpointState {
    // An endpoint that was known before may have seen a higher token than the first one of the term.
    const fencingToken = components ? takeFencingToken() : term.epoch;
    const state = table.add(entry, formerLeases, fencingToken, clock.monotonicMilliseconds());
    state.entryReadAt = readAt;
    return state;
  }

  function reportCapacityChange(
    { entry: { capacity, bornAt }, used }: EndpointState,
    next: EndpointEntry,
  ) {
    const isSame = RESOURCE_DIMENSIONS.every((name) => capacity[name] === next.capacity[name]);
    if (isSame || bornAt !== next.bornAt) return;
    metrics.count('capacity_changes');
    log.info('endpoint capacity changed', {
      endpoint: next.endpointId,
      from: capacity,
      to: next.capacity,
      used,
    });
  }

  /** A read may be older than the one before; only the lists show that a later incarnation has a lower `bornAt`. */
  function isOutdated(known: EndpointState, { bornAt }: EndpointEntry): boolean {
    if (isFormerIncarnation(known, bornAt)) return true;
    return bornAt < known.entry.bornAt && !isFormerIncarnation(known, known.entry.bornAt);
  }

  function applyDirectoryEntry(entry: EndpointEntry, readAt: number): void {
    const known = table.get(entry.endpointId);
    if (entry.isDraining && !known?.entry.isDraining) {
      components!.transitions.endpointLosses.recordDrain(entry);
    }
    if (!known) {
      startSession(addEndpoint(entry, readAt));
      return;
    }
    if (entry.bornAt !== known.entry.bornAt) {
      if (isOutdated(known, entry)) return;
      const { bornAt } = known.entry;
      const endsAt = drainEndOf(known, bornAt);
      known.formerDrain = endsAt === null ? null : { bornAt, endsAt };
    }
    const isSessionIdle = known.entry.address === '';
    if (entry.isDraining && !known.entry.isDraining) {
      log.info('endpoint draining', {
        endpoint: entry.endpointId,
        remaining: entry.drainRemainingMilliseconds,
      });
    }
    if (known.entryReadAt > -Infinity) reportCapacityChange(known, entry);
    known.entry = entry;
    known.entryReadAt = readAt;
    known.unlistedAt = null;
    known.isListed = true;
    if (isSessionIdle) void sessions.get(entry.endpointId)?.run();
    if (entry.isDraining) applyDrain(known);
  }

  /** Reads the directory and notes when the read was sent, because its answer may be as old as that. */
  async function listEndpoints(timeoutMilliseconds: number) {
    const readAt = clock.monotonicMilliseconds();
    const outcome = await directory.list(timeoutMilliseconds);
    return outcome.kind === 'failed' ? outcome : { ...outcome, readAt };
  }

  async function readDirectory(): Promise<boolean> {
    const outcome = await timedRead(listEndpoints, bulkReadLatency);
    if (outcome.kind === 'failed' || hasEnded) return false;
    const listed = new Set(outcome.entries.map(({ endpointId }) => endpointId));
    workMeter.measure('directory', () => {
      outcome.entries.forEach((entry) => applyDirectoryEntry(entry, outcome.readAt));
      for (const state of table.all()) {
        if (!listed.has(state.entry.endpointId) && state.isListed) {
          state.isListed = false;
          log.info('endpoint not listed', { endpoint: state.entry.endpointId });
        }
      }
    });
    components?.dispatcher.requestRound();
    return true;
  }

  async function runPeriodically(interval: number, call: () => Promise<boolean>): Promise<void> {
    while (!hasEnded) {
      const hasSucceeded = await call();
      await sleep(clock, hasSucceeded ? interval : RETRY_DELAY_MILLISECONDS);
    }
  }

  /** A read that gets no answer does not delay the next one, so that calls are accepted soon after an outage. */
  async function keepConfigurationCurrent(): Promise<void> {
    while (!hasEnded) {
      const outcome = await withTimeout(clock, readConfiguration(), configurationInterval);
      if (outcome !== TIMED_OUT) {
        await sleep(clock, outcome ? configurationInterval : RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  /** A record that cannot be read stays in the store, and must not keep the other jobs from being recovered. */
  function restoreJob(jobId: string, specification: string, state: string | undefined): void {
    try {
      const job = createJobRecord(parseAccepted(specification));
      const now = clock.monotonicMilliseconds();
      if (state !== undefined) applyState(job, state, clock.wallMilliseconds() - now, now);
      jobs.set(jobId, job);
    } catch (error) {
      log.error('job record cannot be read', { job: jobId, reason: String(error) });
    }
  }

  /** A page that was lost is read again, and not those before it. @returns null if the term has ended */
  async function readJobItems(): Promise<StoredItem[] | null> {
    const items: StoredItem[] = [];
    for (;;) {
      const after = items.at(-1)?.key ?? '';
      const page = await retryUntilAnswered(
        (timeout) => store.readPage(JOB_PREFIX, after, timeout),
        bulkReadLatency,
      );
      if (!page) return null;
      items.push(...page.value.items);
      if (page.value.isLast) return items;
    }
  }

  /** @returns ids of jobs that a former owner has removed, and of which only the states are left */
  async function restoreJobs(items: readonly StoredItem[], slices: WorkSlices): Promise<string[]> {
    const states = new Map<string, string>();
    const specified = new Set<string>();
    items.forEach(({ key, value }) => {
      const parsed = parseJobKey(key);
      if (parsed?.part === 'state') states.set(parsed.jobId, value);
    });
    for (const { key, value } of items) {
      const parsed = parseJobKey(key);
      if (parsed?.part === 'specification') {
        specified.add(parsed.jobId);
        const state = states.get(parsed.jobId);
        if (state !== undefined && !hasOccurrences(state)) {
          storedJobs.set(parsed.jobId, { specification: value, state });
        } else restoreJob(parsed.jobId, value, state);
        await slices.giveWay();
      }
    }
    return [...states.keys()].filter((jobId) => !specified.has(jobId));
  }

  function restoreStoredJob(jobId: string): void {
    const stored = storedJobs.get(jobId);
    if (!stored) return;
    storedJobs.delete(jobId);
    restoreJob(jobId, stored.specification, stored.state);
    const job = jobs.get(jobId);
    if (job) components!.transitions.releaseDueSteps(job);
  }

  async function restoreStoredJobs(): Promise<void> {
    const count = storedJobs.size;
    const slices = createWorkSlices(clock, STORED_JOBS_PAUSE_MILLISECONDS);
    for (const jobId of [...storedJobs.keys()]) {
      if (hasEnded) return;
      restoreStoredJob(jobId);
      await slices.giveWay();
    }
    const milliseconds = Math.round(clock.monotonicMilliseconds() - startedAt);
    log.info('stored jobs restored', { jobs: count, milliseconds });
  }

  /** Starts that a former owner has sent, or has given up, may still be executed. */
  function boundStoredStarts(task: TaskRecord): void {
    const { maximumOrderDelayMilliseconds: orderDelay } = timeLimits;
    const { outstandingStart, isIncarnationKnown } = task;
    if (outstandingStart) {
      const until = boundFormerOutstandingStart(startedAt, outstandingStart.until, orderDelay);
      task.outstandingStart = { ...outstandingStart, until };
    }
    if (!hasActiveRun(task) || isIncarnationKnown) return;
    task.startOutstandingUntil = startedAt + orderDelay;
  }

  /** Charges stored runs to the endpoints where they may exist; the lists of the endpoints then show which do. */
  function restoreRuns(listedAt: number): void {
    jobs.forEach((job) =>
      forEachTask(job, (task) => {
        boundStoredStarts(task);
        if (!hasActiveRun(task) || task.endpointId === null) return;
        let state = table.get(task.endpointId);
        if (!state) {
          const entry = createUnlistedEntry(task.endpointId, task);
          state = table.add(entry, formerLeases, term.epoch, startedAt);
          state.isListed = false;
          state.unlistedAt = listedAt;
        }
        // The directory does not tell, because it may list a former incarnation for some time.
        task.isIncarnationKnown ||= isReplacementNoticed(
          startedAt,
          task.formerlyRecordedAt,
          durations,
        );
        task.absenceConclusiveAfter = -Infinity;
        table.charge(state, task);
      }),
    );
    for (const state of table.all()) boundStoredLeases(state);
  }

  /** Former owners have stored how long the leases of an incarnation are widened with each run there. */
  function boundStoredLeases(state: EndpointState): void {
    const runs = [...state.runs.values()];
    if (!runs.some(({ endpointBornAt }) => endpointBornAt === state.bornAt)) return;
    const bounds = runs.map(({ endpointLeasesWidenedUntil }) =>
      boundFormerWidenedLeases(startedAt, endpointLeasesWidenedUntil, durations),
    );
    state.widenedLeasesExpireAt = Math.max(...bounds);
  }

  /** Ends of runs and calls of callers are judged by the configuration, so a term begins with one in effect. */
  async function awaitConfiguration(): Promise<void> {
    await readConfiguration();
    while (!hasEnded && !configuration) {
      await sleep(clock, RETRY_DELAY_MILLISECONDS);
      await readConfiguration();
    }
  }

  async function recover(): Promise<boolean> {
    const [chain, items, listed] = await Promise.all([
      retryUntilAnswered((timeout) => store.read(COMMIT_KEY, timeout)),
      readJobItems(),
      retryUntilAnswered(listEndpoints, bulkReadLatency),
      awaitConfiguration(),
    ]);
    if (!chain || !items || !listed || hasEnded) return false;
    const slices = createWorkSlices(clock);
    listed.entries.forEach((entry) => addEndpoint(entry, listed.readAt));
    const removedJobIds = await restoreJobs(items, slices);
    await slices.giveWay();
    if (hasEnded) return false;
    restoreRuns(listed.readAt);
    components = createComponents(chain.value?.revision ?? 0);
    removedJobIds.forEach((jobId) => {
      void components!.commits.stage(stateKey(jobId), () => null);
    });
    // Endpoints with runs go first, because the leases there run out.
    const states = [...table.all()].sort((left, right) => right.runs.size - left.runs.size);
    for (const state of states) {
      startSession(state);
      await slices.giveWay();
    }
    for (const job of [...jobs.values()]) {
      components.transitions.releaseDueSteps(job);
      await slices.giveWay();
    }
    if (hasEnded) return false;
    options.onRecovered();
    log.info('state recovered', {
      epoch: term.epoch,
      jobs: jobs.size,
      storedJobs: storedJobs.size,
      endpoints: sessions.size,
      milliseconds: Math.round(clock.monotonicMilliseconds() - startedAt),
    });
    return true;
  }

  /** The specification goes first: without a state it would be that of a job that has not begun. */
  async function deleteJob({ jobId }: JobRecord): Promise<void> {
    const { commits } = components!;
    jobs.delete(jobId);
    const isRemoved = await commits.stage(specificationKey(jobId), () => null);
    if (isRemoved) void commits.stage(stateKey(jobId), () => null);
  }

  function noteShedding(): void {
    const level = lateness.shedding();
    if (level === sheddingLevel) return;
    sheddingLevel = level;
    metrics.setGauge('shedding_level', SHEDDING_LEVELS.indexOf(level));
    log.info('load shed', { level, latePercent: Math.round(100 * lateness.lateShare()) });
  }

  /** @returns whether to look for stragglers and upcoming steps now, which a late owner does less often */
  function isOptionalWorkDue(): boolean {
    const now = clock.monotonicMilliseconds();
    const isShed = sheddingLevel !== 'nothing';
    if (isShed && now - optionalWorkAt < SHED_OPTIONAL_INTERVAL_MILLISECONDS) return false;
    optionalWorkAt = now;
    return true;
  }

  function checkJobsAndEndpoints(): void {
    const wallNow = clock.wallMilliseconds();
    jobs.forEach((job) => {
      if (job.phase === 'open') {
        const hasFurtherOccurrences = job.occurrenceCount < countOccurrences(job);
        if (hasFurtherOccurrences) components!.transitions.releaseDueSteps(job);
      } else if (
        job.occurrences.size === 0 &&
        wallNow - job.endedAt > options.retentionMilliseconds
      ) {
        void deleteJob(job);
      }
    });
    for (const state of table.all()) {
      if (state.isListed && state.entry.isDraining) applyDrain(state);
    }
    if (isOptionalWorkDue()) {
      components!.stragglerWatch.check();
      components!.dispatcher.prefetchAdvice();
    }
    components!.evacuationMoves.check();
    components!.dispatcher.requestRound();
  }

  function runHousekeeping(): Promise<boolean> {
    noteShedding();
    workMeter.measure('housekeeping', checkJobsAndEndpoints);
    return Promise.resolve(true);
  }

  function logWork(): void {
    const { commits, dispatcher } = components!;
    const reading = workMeter.read();
    metrics.addWork(reading);
    const milliseconds = [...reading.parts].map(([part, time]) => [part, Math.round(time)]);
    log.info('owner work', {
      elapsed: Math.round(reading.elapsed),
      active: Math.round(reading.active),
      ...Object.fromEntries(milliseconds),
      ...dispatcher.takeRoundSummary(),
      latePercent: Math.round(100 * lateness.lateShare()),
      stagedKeys: commits.stagedKeys(),
      commitDelay: Math.round(commits.delayMilliseconds()),
    });
  }

  function reportHeldBackWork(): void {
    const { context } = components!;
    const bound = context.outstandingStarts.boundTasks();
    const heldBack = describeHeldBackWork(table.all(), bound, clock.monotonicMilliseconds());
    const entries = Object.entries(heldBack) as [GaugeName, number][];
    entries.forEach(([name, value]) => metrics.setGauge(name, value));
    const nonzero = entries.filter(([, value]) => value > 0);
    if (nonzero.length > 0) log.info('work held back', Object.fromEntries(nonzero));
  }

  function logLoad(): Promise<boolean> {
    components!.dispatcher.logBacklog();
    components!.dispatcher.logIdleSteps();
    logWork();
    reportHeldBackWork();
    return Promise.resolve(true);
  }

  return {
    async run() {
      void evacuations.run();
      if (!(await recover())) return;
      metrics.setGauge('shedding_level', 0);
      void lateness.measureUntil(() => hasEnded);
      void restoreStoredJobs();
      void components!.pastUse.run();
      void keepConfigurationCurrent();
      void runPeriodically(DIRECTORY_INTERVAL_MILLISECONDS, readDirectory);
      void runPeriodically(LOAD_LOG_INTERVAL_MILLISECONDS, logLoad);
      await runPeriodically(HOUSEKEEPING_INTERVAL_MILLISECONDS, runHousekeeping);
    },
    handle(request) {
      if (components && !hasEnded) {
        const { callerService } = components;
        return workMeter.measure('callers', () => callerService.handle(request));
      }
      return Promise.resolve({ kind: 'failed', failure: createFailure('not-ready') });
    },
    addAdviceChannel(client, name) {
      const channel = adviceCache.addChannel(client, name);
      return () => adviceCache.removeChannel(channel);
    },
    end() {
      hasEnded = true;
      (Object.keys(GAUGES) as GaugeName[]).forEach((name) => metrics.setGauge(name, 0));
      components?.commits.close();
      components?.dispatcher.close();
      components?.pastUse.close();
    },
  };
}
