import { sleep } from '@chicorybend/common';
import { appendReport, boundWidenedLeasesByAge } from '@chicorybend/decisions';

import type {
  EndReport,
  HoldOutcome,
  OrderOutcome,
  RunId,
  RunReport,
  StartOrder,
} from '../types/endpoint.js';
import type { TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import {
  leaseDurations,
  leaseExpiryMilliseconds,
  requestedLeaseMilliseconds,
} from '../utils/leaseTimes.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';
import { remainingToleranceMilliseconds } from './capacityAge.js';
import { isFormerIncarnation, lastLeaseExpiry, MAXIMUM_LISTED_ENDS } from './endpointTable.js';
import type { BackoffCause, EndpointState, WithholdingCause } from './endpointTable.js';
import {
  assignRun,
  findTask,
  hasActiveRun,
  jobIdOf,
  mayBeInLaterIncarnation,
} from './jobRecords.js';
import { affordablePollInterval } from './heldBackWork.js';
import type { TaskTransitions } from './taskTransitions.js';

/** Long-poll wait of a hold at an endpoint without runs. */
const IDLE_POLL_MILLISECONDS = 1_500;
/** Long-poll wait of a hold at an endpoint with runs; bounds the delay of an end whose answer was lost. */
const BUSY_POLL_MILLISECONDS = 750;
/** Bounds of the timeout of a call; the minimum covers the retransmission of a lost packet. */
const CALL_TIMEOUTS = { minimumMilliseconds: 250, maximumMilliseconds: 700 };
/** Time after which an endpoint no longer executes a start; shorter than the delay of any late execution. */
const START_DEADLINE_MILLISECONDS = 1_900;
/** Time after which a hold certainly waits at its endpoint. */
const MINIMUM_WAIT_MILLISECONDS = 50;
/** Unanswered holds in a row that the lateness of the owner excuses; bounds the delay until a silence is noticed. */
const MAXIMUM_EXCUSED_HOLDS = 3;
/** Delay after an unanswered call. */
const RETRY_DELAY_MILLISECONDS = 200;
/** Maximum wait for ends to become durable before the leases are renewed again. */
const DURABILITY_TIMEOUT_MILLISECONDS = 1_000;
/** Backoff for new starts after an endpoint refused one. */
const REFUSED_START_BACKOFF_MILLISECONDS = 1_000;
/** Backoff for new starts after an unanswered one, multiplied by the number of unanswered starts in a row. */
const UNANSWERED_START_BACKOFF_MILLISECONDS = 250;
/**
 * Backoff for new starts after an unanswered stop; longer than the time until the stop is repeated and times out. An
 * endpoint that does not answer its orders has room most often.
 */
const UNANSWERED_STOP_BACKOFF_MILLISECONDS = 1_000;
/** Deviation of the endpoint's clock since its last list, in milliseconds. */
const CLOCK_TOLERANCE_MILLISECONDS = 100;
/** Delay of a hold whose answer comes at once because it lists ends that cannot be acknowledged yet. */
const UNACKNOWLEDGED_POLL_DELAY_MILLISECONDS = 20;
/** The same while a start may still be executed, which lasts for seconds. */
const OUTSTANDING_POLL_DELAY_MILLISECONDS = 100;
/** Expected duration from which the confirmation of a run is stored; shorter ones have mostly ended by a takeover. */
const STORED_RUN_MILLISECONDS = 3_000;
/** A list reflects an order if it was requested at least this long after the answer to the order. */
const LIST_DELAY_MILLISECONDS = 1;
/** Delay before a task whose start was refused is placed again. */
const PLACEMENT_RETRY_DELAY_MILLISECONDS = 50;

/** Sends orders to one endpoint, keeps the leases of its runs renewed, and applies what it reports. */
export interface EndpointSession {
  readonly state: EndpointState;
  /** Renews the leases and applies the lists until the endpoint is gone or the term ends. */
  run(): Promise<void>;
  /** @returns whether the recorded start of a task can be sent now */
  canStart(task: TaskRecord): boolean;
  /** Sends the recorded start of a task. */
  start(task: TaskRecord, ticket: string | null): Promise<void>;
  /** Stops the run of a task; repeats the order until the run has ended. */
  stop(task: TaskRecord): Promise<void>;
  /** Sends a hold now, without long polling. */
  pollNow(): void;
}

/** Outcome of a hold without a list. */
type UnansweredHold = Exclude<HoldOutcome, { kind: 'answered' }>;

/** Events of a session. */
export interface SessionEvents {
  /** The endpoint refused the ticket of a start. */
  onTicketRefused(task: TaskRecord): void;
  /** The directory does not list the endpoint, and no run can exist there. */
  onGone(state: EndpointState): void;
  /** A run of a serving task reported its tail latency. */
  onLoadReport(state: EndpointState, task: TaskRecord, report: RunReport): void;
}

export function createEndpointSession(
  context: TermContext,
  transitions: TaskTransitions,
  state: EndpointState,
  events: SessionEvents,
): EndpointSession {
  const { clock, log, metrics, workMeter, endpoints, evacuations, lateness } = context;
  const { outstandingStarts, table } = context;
  /** Whether all ends applied so far are durable. */
  let appliedEndsDurable: Promise<boolean> = Promise.resolve(true);
  let isPolling = false;
  const latency = createLatencyEstimate(CALL_TIMEOUTS);
  /** Number of unanswered starts in a row. */
  let unansweredStarts = 0;
  /** End of the backoff after the last unanswered stop, in monotonic milliseconds. */
  let unansweredStopBackoff = -Infinity;
  const leaseMilliseconds = requestedLeaseMilliseconds(context.timeLimits.maximumLeaseMilliseconds);
  const durations = leaseDurations(context.timeLimits);

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function target() {
    return table.target(state);
  }

  /**
   * Records, before a call is sent, the latest time at which leases that it may grant expire. The clock of a later
   * incarnation begins anew, so that the same expiry may grant the longest lease there, from a late execution on.
   *
   * @returns lease expiry on the endpoint's clock, in milliseconds; null if that clock is unknown
   */
  function extendLeaseDeadline(milliseconds: number): number | null {
    if (state.clockOffset === null) return null;
    state.lastLeaseOrderAt = now();
    state.leasesExpireAt = Math.max(
      state.leasesExpireAt,
      now() + leaseExpiryMilliseconds(milliseconds),
    );
    state.laterLeasesExpireAt = now() + durations.late;
    return Math.floor(now() + state.clockOffset + milliseconds);
  }

  /**
   * Both incarnations of an endpoint have the same id, but the clock of the later one began anew.
   *
   * @param endpointClock clock reading in the answer to a call, in milliseconds; null if unknown
   * @param sentAt when the call was sent, in monotonic milliseconds
   */
  function isFromKnownIncarnation(endpointClock: number | null, sentAt: number): boolean {
    if (endpointClock === null || state.clockOffset === null) return false;
    return endpointClock >= sentAt + state.clockOffset - CLOCK_TOLERANCE_MILLISECONDS;
  }

  /** Refusals of lower tokens than the current one are due to this term itself. */
  function abandonFenced(fencingToken: number): void {
    if (fencingToken < state.fencingToken) return;
    context.abandonTerm(`endpoint ${state.entry.endpointId} has seen a higher fencing token`);
  }

  function backOff(cause: BackoffCause, until: number): void {
    state.backoffUntil = until;
    state.backoffCause = cause;
  }

  function runsOfOtherIncarnations(): TaskRecord[] {
    return [...state.runs.values()].filter(({ endpointBornAt }) => endpointBornAt !== state.bornAt);
  }

  /** The owner's own lateness excuses an unanswered call. @param waitMilliseconds wait asked of the endpoint */
  function isExcused(sentAt: number, timeoutMilliseconds: number, waitMilliseconds = 0): boolean {
    const call = { sentAt, endedAt: now(), timeoutMilliseconds, waitMilliseconds };
    if (lateness.isSilenceShown(call)) return false;
    metrics.count('calls_discounted');
    return true;
  }

  /** Sends an order with the adaptive timeout. */
  function sendOrder(call: (timeout: number) => Promise<OrderOutcome>): Promise<OrderOutcome> {
    return callWithAdaptiveTimeout(clock, latency, call, ({ kind }) => kind === 'unknown');
  }

  function sendStop(run: RunId): Promise<OrderOutcome> {
    return sendOrder((timeout) => endpoints.stop(target(), run, timeout));
  }

  /**
   * The lists of the new incarnation show which of the runs are there. A start without an answer may have been executed
   * by either incarnation, and may still be until the new one is fenced off; a start that was not sent is withdrawn by
   * its sender.
   */
  function moveToNewIncarnation(task: TaskRecord): void {
    if (task.startSentAt === null) return;
    task.endpointBornAt = state.bornAt;
    task.endpointLeasesWidenedUntil = state.widenedLeasesExpireAt;
    const isSentByFormerOwner = task.absenceConclusiveAfter === -Infinity;
    // Lists that are requested from now on follow the higher fencing token.
    if (task.phase === 'placed' && !isSentByFormerOwner) task.absenceConclusiveAfter = now();
  }

  function changeIncarnation(bornAt: number): void {
    log.info('endpoint incarnation changed', {
      endpoint: state.entry.endpointId,
      from: state.bornAt,
      to: bornAt,
      sinceLastOrderMilliseconds:
        state.lastLeaseOrderAt === null ? null : Math.round(now() - state.lastLeaseOrderAt),
    });
    state.formerBornAt.add(state.bornAt);
    state.formerBornAt.delete(bornAt);
    state.bornAt = bornAt;
    state.fencingToken = context.takeFencingToken();
    state.isFenced = false;
    state.tokenTakenAt = now();
    state.replacedAt = now();
    state.appliedSequence = 0;
    state.durableSequence = 0;
    const runs = runsOfOtherIncarnations();
    transitions.endpointLosses.recordLoss(state, runs, 'crashed');
    state.silentSince = null;
    state.clockOffset = null;
    state.widenedLeasesExpireAt = Math.max(state.widenedLeasesExpireAt, state.laterLeasesExpireAt);
    runs.forEach(moveToNewIncarnation);
    // A later owner has to know the incarnation, whose leases last longer.
    new Set(runs.map(({ step }) => step.job)).forEach((job) => {
      void transitions.save(job);
    });
  }

  /**
   * The clock of an incarnation begins with it, so that it shows the age. The bound of an incarnation that has begun in
   * this term is known from the orders that were sent.
   */
  function boundWidenedLeases(endpointClock: number): void {
    if (state.formerBornAt.size > 0) return;
    // A former owner may have seen that the incarnation replaced another.
    if (context.hasFormerOwner) state.replacedAt = now() - endpointClock;
    state.widenedLeasesExpireAt = Math.min(
      state.widenedLeasesExpireAt,
      boundWidenedLeasesByAge(now(), endpointClock, durations),
    );
  }

  /** All orders for former incarnations that this one has executed came before its answer. */
  function completeFencing(): void {
    if (state.isFenced) return;
    state.isFenced = true;
    state.widenedLeasesExpireAt = Math.min(state.widenedLeasesExpireAt, now() + durations.longest);
  }

  /** Another endpoint answers at the address, so that the incarnation known here is over. */
  function endReplacedIncarnation(): void {
    if (state.runs.size === 0) return;
    log.info('endpoint replaced at its address', {
      endpoint: state.entry.endpointId,
      runs: state.runs.size,
    });
    transitions.endpointLosses.recordLoss(state, [...state.runs.values()], 'crashed');
    [...state.runs.values()].forEach((task) => transitions.dropRun(task, 'lapsed'));
    context.requestRound();
  }

  function recordAnswer(): void {
    // A session may begin only after the loss, because the directory had dropped the endpoint or the owner has changed.
    const mayHaveBeenLost = state.silentSince !== null || state.clockOffset === null;
    if (mayHaveBeenLost) transitions.noteAnswer(state);
    state.silentSince = null;
    state.lastAnswerAt = now();
    state.unansweredCalls = 0;
  }

  /**
   * Takes up a run that was given up, if its start was executed late and the task has not been started again. A member
   * of a gang is not taken up, because the others have been stopped, nor is a run whose end has been counted.
   */
  function takeUpLateRun({ taskId, run }: RunId): TaskRecord | null {
    const task = findTask(context.jobs, taskId);
    const isWaiting = task?.phase === 'pending' && task.run === run && task.step.isReleased;
    if (!isWaiting || task.step.job.phase !== 'open' || task.step.specification.isGang) return null;
    if (task.outstandingStart?.endpointId !== state.entry.endpointId) return null;
    if (task.failedRuns.includes(run)) return null;
    chargeLateRun(task, run);
    return task;
  }

  function chargeLateRun(task: TaskRecord, run: number): void {
    assignRun(task, task.run, state, now());
    table.charge(state, task);
    log.info('late run taken up', { task: task.taskId, run, endpoint: state.entry.endpointId });
    void transitions.save(task.step.job);
  }

  /** The end of an earlier run than the current one counts as well, if its start was executed late. */
  function applyLateEnd(end: EndReport, changedTasks: Set<TaskRecord>): void {
    const task = findTask(context.jobs, end.taskId);
    if (!task || end.run >= task.run || task.step.job.phase !== 'open') return;
    const { isGang, isLongRunning } = task.step.specification;
    const isLate = task.outstandingStart?.endpointId === state.entry.endpointId;
    if (!isLate || isGang || isLongRunning) return;
    if (end.kind === 'failed') {
      if (task.phase !== 'pending' || task.failedRuns.includes(end.run)) return;
      changedTasks.add(task);
      transitions.recordLateFailure(task, end.run, state.entry.endpointId);
    } else if (end.kind === 'done') {
      if (task.phase === 'pending') chargeLateRun(task, end.run);
      changedTasks.add(task);
      transitions.endRun(task, 'done', end.checkpoint);
    }
  }

  /** @returns task of which a listed run is the current one; null if it is not */
  function findCurrentTask(run: RunId): TaskRecord | null {
    const task = state.runs.get(run.taskId);
    if (!task) return takeUpLateRun(run);
    return task.run === run.run ? task : null;
  }

  function applyEnd(end: EndReport, changedTasks: Set<TaskRecord>): void {
    const task = findCurrentTask(end);
    if (!task) {
      applyLateEnd(end, changedTasks);
      return;
    }
    changedTasks.add(task);
    transitions.noteRun(task);
    transitions.endRun(task, end.kind, end.checkpoint);
  }

  /** A run of an open task may be beside a later one, because its lease outlived the bound or its start was late. */
  function reportUnknownRun({ taskId, run }: RunReport, known: TaskRecord | undefined): void {
    metrics.count('unknown_runs_stopped');
    log.warn('unknown run stopped', {
      task: taskId,
      run,
      endpoint: state.entry.endpointId,
      incarnation: state.bornAt,
      knownRun: known?.run ?? null,
      knownPhase: known?.phase ?? null,
      knownEndpoint: known?.endpointId ?? null,
    });
  }

  /** @param unknown gets the open tasks of which a run is listed that is not their current one */
  function applyRunning(report: RunReport, unknown: Set<TaskRecord>): void {
    const task = findCurrentTask(report);
    if (!task) {
      const known = findTask(context.jobs, report.taskId);
      if (known) unknown.add(known);
      reportUnknownRun(report, known);
      // The run uses room that is charged to nobody until its stop has ended.
      const stoppedAt =
        now() + context.timeLimits.maximumStopMilliseconds + RETRY_DELAY_MILLISECONDS;
      if (stoppedAt > state.backoffUntil) backOff('unknown-run', stoppedAt);
      void sendStop(report);
      return;
    }
    if (task.phase === 'placed') confirmRun(task, false);
    task.progressReports = appendReport(
      task.progressReports,
      { ageMilliseconds: now() - task.startedAt, percent: report.progressPercent },
      context.estimates.expectedMilliseconds(task.step),
    );
    if (report.checkpoint !== '') task.checkpoint = report.checkpoint;
    if (task.step.specification.targetMilliseconds > 0) events.onLoadReport(state, task, report);
  }

  /** Runs that are neither listed nor ended do not exist if the list was requested after their start was resolved. */
  function endAbsentRuns(
    listed: ReadonlySet<string>,
    sentAt: number,
    changedTasks: Set<TaskRecord>,
  ) {
    [...state.runs.values()].forEach((task) => {
      if (listed.has(`${task.taskId}/${task.run}`) || task.absenceConclusiveAfter >= sentAt) return;
      changedTasks.add(task);
      log.info('run is absent', { task: task.taskId, run: task.run, phase: task.phase });
      outstandingStarts.record(state, task, sentAt);
      transitions.endRun(task, 'lapsed', task.checkpoint);
    });
  }

  function markReconciled(): void {
    if (state.isReconciled) return;
    state.isReconciled = true;
    context.requestRound();
  }

  /** Applies the lists at once; resolves when their ends are durable and may be acknowledged. */
  async function applyLists(
    outcome: HoldOutcome & { kind: 'answered' },
    sentAt: number,
  ): Promise<void> {
    // The call was sent when the known incarnation had begun, so that any other one is later.
    if (outcome.bornAt !== null && outcome.bornAt !== state.bornAt) {
      changeIncarnation(outcome.bornAt);
    } else completeFencing();
    if (!state.isReconciled) {
      // Runs that a former term recorded for an earlier incarnation.
      transitions.endpointLosses.recordLoss(state, runsOfOtherIncarnations(), 'crashed');
    }
    recordAnswer();
    boundWidenedLeases(outcome.endpointClockMilliseconds);
    state.clockOffset = outcome.endpointClockMilliseconds - now();
    const changedTasks = new Set<TaskRecord>();
    const ends = outcome.ends.filter(({ sequence }) => sequence > state.appliedSequence);
    state.listedEnds = outcome.ends.length;
    state.relistedEnds = state.listedEnds - ends.length;
    state.answeredHoldSentAt = Math.max(state.answeredHoldSentAt, sentAt);
    metrics.count('ends_relisted', state.relistedEnds);
    ends.forEach((end) => applyEnd(end, changedTasks));
    const appliedSequence = ends.reduce(
      (highest, { sequence }) => Math.max(highest, sequence),
      state.appliedSequence,
    );
    state.appliedSequence = appliedSequence;
    const unknown = new Set<TaskRecord>();
    outcome.running.forEach((report) => applyRunning(report, unknown));
    const isComplete = outcome.ends.length < MAXIMUM_LISTED_ENDS;
    outstandingStarts.applyList(state, unknown, isComplete ? sentAt : -Infinity);
    unknown.forEach((task) => changedTasks.add(task));
    if (isComplete) {
      const listed = new Set(outcome.running.map(({ taskId, run }) => `${taskId}/${run}`));
      endAbsentRuns(listed, sentAt, changedTasks);
    }
    markReconciled();
    // The success of one member of a gang ends the others, whose own ends depend on the same commit.
    const endedJobs = ends.flatMap(({ taskId }) => context.jobs.get(jobIdOf(taskId)) ?? []);
    const jobs = new Set([...[...changedTasks].map(({ step }) => step.job), ...endedJobs]);
    const { bornAt } = state;
    appliedEndsDurable = Promise.all([
      appliedEndsDurable,
      // Nothing but the acknowledgement waits for them; the end of a job has been saved as urgent.
      ...[...jobs].map((job) => transitions.save(job, 'deferred')),
    ]).then((saved) => saved.every(Boolean));
    if ((await appliedEndsDurable) && bornAt === state.bornAt) {
      state.durableSequence = Math.max(state.durableSequence, appliedSequence);
    }
  }

  /**
   * A hold that waits at the endpoint reports the next end at once. If it fails while it waits, the endpoint has
   * crashed and no run had ended before; a hold that fails when it is sent, or by its timeout, does not tell.
   */
  function mayHaveWaited(sentAt: number, waitMilliseconds: number): boolean {
    const milliseconds = now() - sentAt;
    return milliseconds >= MINIMUM_WAIT_MILLISECONDS && milliseconds < waitMilliseconds;
  }

  function handleUnansweredHold(outcome: UnansweredHold, wasWaiting: boolean): void {
    state.unansweredCalls += 1;
    state.lastSilentAt = now();
    metrics.count('holds_failed');
    if (state.unansweredCalls === 1) {
      state.silentSince = now();
      state.isDisconnected = outcome.kind === 'failed' && outcome.isDisconnected;
      state.hasCrashedDuringHold = state.isDisconnected && wasWaiting;
      transitions.endpointLosses.recordSilence(state);
      log.info('endpoint silent', {
        endpoint: state.entry.endpointId,
        incarnation: state.bornAt,
        outcome: outcome.kind,
        reason: outcome.reason,
        isDisconnected: state.isDisconnected,
        wasWaiting: state.hasCrashedDuringHold,
        runs: state.runs.size,
      });
    }
    if (now() < state.leasesExpireAt) return;
    if (state.runs.size > 0) state.isReconciled = false;
    transitions.expireRuns(state);
  }

  /** The former incarnation's acknowledgements would discard ends of a later one that were not read. */
  function withholdingCause(): WithholdingCause | null {
    if (outstandingStarts.mayExecute(state.entry.endpointId)) return 'outstanding-start';
    return [...state.runs.values()].some(mayBeInLaterIncarnation) ? 'unconfirmed-run' : null;
  }

  function acknowledgedSequence(): number {
    return withholdingCause() === null ? state.durableSequence : 0;
  }

  function noteAcknowledgement(sequence: number): void {
    const cause = withholdingCause();
    if (cause === null || sequence >= state.durableSequence) {
      state.withheldSince = null;
      return;
    }
    metrics.count('holds_withheld');
    state.withheldSince ??= now();
    state.withholdingCause = cause;
  }

  /** @returns delay of a hold whose answer comes at once because it lists ends that are not acknowledged yet */
  function withheldPause(): number {
    const delay =
      withholdingCause() === 'outstanding-start'
        ? OUTSTANDING_POLL_DELAY_MILLISECONDS
        : UNACKNOWLEDGED_POLL_DELAY_MILLISECONDS;
    const affordable = affordablePollInterval(table.all());
    return Math.min(BUSY_POLL_MILLISECONDS, Math.max(delay, affordable));
  }

  /** A start that is answered, or ruled out, ends the pause, since the next hold can acknowledge the ends then. */
  async function pauseWhileWithheld(): Promise<void> {
    const isWithheld = () => !context.hasEnded() && acknowledgedSequence() < state.durableSequence;
    if (!isWithheld()) return;
    const endsAt = now() + withheldPause();
    while (isWithheld() && now() < endsAt) {
      await sleep(clock, UNACKNOWLEDGED_POLL_DELAY_MILLISECONDS);
    }
  }

  async function hold(waitMilliseconds: number, excusedBefore = 0): Promise<void> {
    const sentAt = now();
    const timeout = latency.timeoutMilliseconds();
    const { fencingToken } = state;
    metrics.count('holds_sent');
    // The leases of an endpoint that may be lost are not renewed, so that its runs expire at a known time.
    const needsLease = state.unansweredCalls === 0 && (state.isListed || state.runs.size > 0);
    const deadline = needsLease ? extendLeaseDeadline(leaseMilliseconds) : null;
    // An endpoint that fell silent may have been replaced.
    const sequence = state.unansweredCalls === 0 ? acknowledgedSequence() : 0;
    noteAcknowledgement(sequence);
    const outcome = await endpoints.hold(
      target(),
      {
        deadlineOnEndpointMilliseconds: deadline,
        acknowledgedSequence: sequence,
        waitMilliseconds,
      },
      timeout,
    );
    if (context.hasEnded() || fencingToken !== state.fencingToken) return;
    if (outcome.kind === 'answered') {
      const durable = workMeter.measure('lists', () => applyLists(outcome, sentAt));
      await Promise.race([durable, sleep(clock, DURABILITY_TIMEOUT_MILLISECONDS)]);
    } else if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
      abandonFenced(fencingToken);
    } else if (
      outcome.kind === 'failed' &&
      !outcome.isDisconnected &&
      state.unansweredCalls === 0 &&
      excusedBefore < MAXIMUM_EXCUSED_HOLDS &&
      context.isOwnerLeaseValid() &&
      isExcused(sentAt, timeout, waitMilliseconds)
    ) {
      // A repetition at once would add to the work that makes the owner late.
      await sleep(clock, RETRY_DELAY_MILLISECONDS);
      await hold(0, excusedBefore + 1);
    } else {
      handleUnansweredHold(outcome, mayHaveWaited(sentAt, waitMilliseconds));
      const isReplaced = outcome.kind === 'refused' && outcome.reason === 'other-incarnation';
      if (isReplaced) endReplacedIncarnation();
      await sleep(clock, RETRY_DELAY_MILLISECONDS);
    }
  }

  function isGone(): boolean {
    return !state.isListed && state.runs.size === 0 && now() >= lastLeaseExpiry(state);
  }

  /** After a change of the owner, a run with a stored confirmation is not taken for one with the longest lease. */
  function isWorthStoring({ step }: TaskRecord): boolean {
    return context.estimates.expectedMilliseconds(step) >= STORED_RUN_MILLISECONDS;
  }

  function confirmRun(task: TaskRecord, isStartKnown: boolean): void {
    const { job, specification, brokenRun } = task.step;
    if (task.phase !== 'placed') return;
    const isWanted = job.phase === 'open' && !(specification.isGang && brokenRun >= task.run);
    task.phase = isWanted ? 'running' : 'stopping';
    task.endpointBornAt = state.bornAt;
    task.isIncarnationKnown = true;
    task.startOutstandingUntil = null;
    transitions.noteRun(task);
    task.startedAt = now();
    task.isStartTimeKnown = isStartKnown;
    task.progressReports = [];
    task.absenceConclusiveAfter = now();
    if (task.phase === 'stopping') void stop(task);
    // The users of a long-running task notice each second without it.
    else if (specification.isLongRunning) void transitions.save(job, 'deferred');
    else if (isWorthStoring(task)) transitions.saveConfirmation(job);
  }

  function isCurrentRun(task: TaskRecord, run: number): boolean {
    return !context.hasEnded() && task.run === run && state.runs.get(task.taskId) === task;
  }

  /**
   * The list shows whether a start was executed that was not answered, or by another incarnation. If it was not, a
   * stop rules out that it will be; the list after the stop then shows whether the run existed.
   */
  async function resolveStart(task: TaskRecord, run: number): Promise<void> {
    await hold(0);
    while (isCurrentRun(task, run) && task.phase === 'placed') {
      await attemptStop(task, run);
    }
  }

  function noteUnansweredStart(task: TaskRecord, run: number): void {
    metrics.count('starts_unanswered');
    unansweredStarts += 1;
    const backoffMilliseconds = Math.min(
      REFUSED_START_BACKOFF_MILLISECONDS,
      unansweredStarts * UNANSWERED_START_BACKOFF_MILLISECONDS,
    );
    backOff('unanswered-start', now() + backoffMilliseconds);
    log.info('start unanswered', { task: task.taskId, run, endpoint: state.entry.endpointId });
  }

  function handleRefusedStart(task: TaskRecord, reason: string, mayBackOff = true): void {
    metrics.count('starts_refused');
    log.info('start refused', { task: task.taskId, endpoint: state.entry.endpointId, reason });
    if (reason === 'invalid-ticket') events.onTicketRefused(task);
    else if (mayBackOff) backOff('refused-start', now() + REFUSED_START_BACKOFF_MILLISECONDS);
    if (reason === 'late') state.clockOffset = null;
    task.notBefore = now() + PLACEMENT_RETRY_DELAY_MILLISECONDS;
    transitions.dropRun(task, 'lapsed');
  }

  function canStart(task: TaskRecord): boolean {
    return (
      context.isOwnerLeaseValid() &&
      state.clockOffset !== null &&
      state.isFenced &&
      evacuations.mayStart(state.entry.dataCentre) &&
      task.endpointBornAt === state.bornAt &&
      (state.entry.bornAt === state.bornAt || isFormerIncarnation(state, state.entry.bornAt))
    );
  }

  async function attemptStop(task: TaskRecord, run: number): Promise<void> {
    metrics.count('stops_sent');
    const order: RunId = { taskId: task.taskId, run };
    const { bornAt, fencingToken } = state;
    const sentAt = now();
    const timeout = latency.timeoutMilliseconds();
    const outcome = context.isOwnerLeaseValid()
      ? await sendStop(order)
      : ({ kind: 'unknown', reason: 'no authority' } as const);
    if (outcome.kind === 'unknown') {
      if (!isExcused(sentAt, timeout)) {
        unansweredStopBackoff = now() + UNANSWERED_STOP_BACKOFF_MILLISECONDS;
        backOff('unanswered-stop', unansweredStopBackoff);
      }
    } else if (state.backoffUntil === unansweredStopBackoff) state.backoffUntil = now();
    if (!isCurrentRun(task, run)) return;
    if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
      abandonFenced(fencingToken);
      return;
    }
    if (outcome.kind === 'done' && bornAt === state.bornAt) {
      task.absenceConclusiveAfter = Math.min(task.absenceConclusiveAfter, now());
      // A run that never started is absent from the next list; a run that is being stopped is listed as ended later.
      await sleep(clock, LIST_DELAY_MILLISECONDS);
      if (isCurrentRun(task, run)) await hold(0);
      if (isCurrentRun(task, run)) await sleep(clock, context.timeLimits.maximumStopMilliseconds);
      if (isCurrentRun(task, run)) await hold(0);
    }
    if (isCurrentRun(task, run)) await sleep(clock, RETRY_DELAY_MILLISECONDS);
  }

  async function stop(task: TaskRecord): Promise<void> {
    const { run } = task;
    if (task.phase === 'running') task.phase = 'stopping';
    while (isCurrentRun(task, run) && hasActiveRun(task)) await attemptStop(task, run);
  }

  return {
    state,
    async run() {
      while (!context.hasEnded() && !isGone()) {
        if (!context.isOwnerLeaseValid()) await sleep(clock, RETRY_DELAY_MILLISECONDS / 4);
        else {
          const isUpToDate = state.isReconciled && state.durableSequence === state.appliedSequence;
          const pollMilliseconds =
            state.runs.size > 0 ? BUSY_POLL_MILLISECONDS : IDLE_POLL_MILLISECONDS;
          const mayWait = isUpToDate && state.isFenced && state.clockOffset !== null;
          await hold(mayWait ? pollMilliseconds : 0);
          await pauseWhileWithheld();
        }
      }
      if (!context.hasEnded()) events.onGone(state);
    },
    canStart,
    async start(task, ticket) {
      const { run } = task;
      const tolerance = Math.min(
        remainingToleranceMilliseconds(state, now()),
        evacuations.remainingMilliseconds(),
      );
      const deadline = canStart(task)
        ? extendLeaseDeadline(Math.min(START_DEADLINE_MILLISECONDS, tolerance))
        : null;
      if (deadline === null) {
        handleRefusedStart(task, 'not sent');
        return;
      }
      metrics.count('starts_sent');
      evacuations.noteStart();
      const sentAt = now();
      const timeout = latency.timeoutMilliseconds();
      const { fencingToken } = state;
      task.startSentAt = sentAt;
      task.startOutstandingUntil = sentAt + context.timeLimits.maximumOrderDelayMilliseconds;
      const order: StartOrder = {
        taskId: task.taskId,
        run,
        payload: task.step.job.specification.payload,
        deadlineOnEndpointMilliseconds: deadline,
        checkpoint: task.checkpoint,
        ticket,
      };
      const outcome = await workMeter.measure('starts', () =>
        sendOrder((milliseconds) => endpoints.start(target(), order, milliseconds)),
      );
      if (outcome.kind === 'done') unansweredStarts = 0;
      if (!isCurrentRun(task, run) || task.phase === 'running') return;
      if (outcome.kind !== 'unknown') task.startOutstandingUntil = null;
      if (outcome.kind === 'refused') {
        const mayBackOff = outcome.reason !== 'unhealthy' || !isExcused(sentAt, timeout);
        handleRefusedStart(task, outcome.reason, mayBackOff);
        if (outcome.reason === 'fenced') abandonFenced(fencingToken);
      } else if (
        outcome.kind === 'done' &&
        isFromKnownIncarnation(outcome.endpointClockMilliseconds, sentAt)
      ) {
        confirmRun(task, true);
      } else {
        const isSilent = outcome.kind === 'unknown' && !isExcused(sentAt, timeout);
        if (isSilent) noteUnansweredStart(task, run);
        await resolveStart(task, run);
      }
    },
    stop,
    pollNow() {
      if (isPolling || !context.isOwnerLeaseValid()) return;
      isPolling = true;
      void hold(0).then(() => {
        isPolling = false;
      });
    },
  };
}
