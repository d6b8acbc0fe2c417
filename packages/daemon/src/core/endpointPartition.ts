import { assertInvariant, createFailure, sleep } from '@chicorybend/common';
import type {
  CancelTimer,
  Clock,
  Configuration,
  Counters,
  Failure,
  InteractiveResponse,
  Log,
  Result,
  RetryBudget,
  VmRecord,
} from '@chicorybend/common';
import type { AdmissionController, RequestQueue } from '@chicorybend/decisions';

import type { Allotments } from '../types/allotment.js';
import type { PartitionLease } from '../types/partition.js';
import { createRetryPolicy } from './retryPolicy.js';
import { createEndpoint } from './endpoint.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointHandover, InteractiveLoad } from './endpointService.js';
import { createEndpointSet } from './endpointSet.js';
import { trackRequest } from './trackedRequest.js';
import type { PoolRequest, TrackedRequest } from './trackedRequest.js';
import { createRequestBacklog } from './requestBacklog.js';
import type { RequestTable } from './requestTable.js';

/** The endpoints of one owned partition, and the requests that wait for them. */
export interface EndpointPartition {
  readonly table: RequestTable;
  execute(work: PoolRequest): Promise<Result<InteractiveResponse, Failure>>;
  expectedWaitMilliseconds(team: string): number;
  load(): InteractiveLoad;
  /** @returns whether this daemon may act as the owner */
  isServing(): boolean;
  updateEndpoints(vms: readonly VmRecord[]): void;
  updateConfiguration(configuration: Configuration): void;
  adoptSlots(slots: EndpointHandover['slots']): void;
  /** Refuses what waits and gives the state for the next owner. */
  release(): Promise<EndpointHandover>;
  close(): void;
}

/** What the endpoints of a partition need. */
export interface EndpointPartitionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly allotments: Allotments;
  readonly localAddress: string;
  readonly retryBudget: RetryBudget;
  readonly createAdmission: (options: {
    initialServiceMilliseconds: number;
  }) => AdmissionController;
  readonly createRequestQueue: (options: {
    maximumPerTeam: number;
    expectedServiceMilliseconds: () => number;
  }) => RequestQueue<TrackedRequest>;
  readonly random: () => number;
  readonly lease: PartitionLease;
  readonly table: RequestTable;
  /** Monotonic time in milliseconds until which a former owner's requests may hold every slot. */
  readonly blockedUntil: number;
  readonly createNotOwnerFailure: () => Failure;
}

const INITIAL_SERVICE_MILLISECONDS = 20;
const DEFAULT_MAXIMUM_QUEUED_PER_TEAM = 256;

/** How often waiting requests are checked for their deadlines and their teams' limits, in milliseconds. */
const QUEUE_CHECK_INTERVAL_MILLISECONDS = 10;

/**
 * Part of a request's time that is kept back for a service time above the expected one. A request that is sent
 * too late to be answered in time uses a slot for nothing and ends as unknown instead of not run.
 */
const DEADLINE_MARGIN_FRACTION = 0.1;

/** How often a release looks for requests that are neither sent nor refused yet, in milliseconds. */
const RELEASE_POLL_MILLISECONDS = 5;

/** Time for which a release waits for requests in flight, in milliseconds. */
const RELEASE_WAIT_MILLISECONDS = 250;

const NO_ENDPOINT_RETRY_MILLISECONDS = 500;
const MINIMUM_RETRY_MILLISECONDS = 1;

/**
 * Creates the endpoints of one owned partition.
 *
 * @param options lease, table and factories
 * @returns the endpoints
 */
export function createEndpointPartition(options: EndpointPartitionOptions): EndpointPartition {
  const { clock, counters, allotments, lease, table } = options;
  const { partition } = lease;
  const endpoints = createEndpointSet({
    clock,
    createEndpoint: createListedEndpoint,
    onSlotAdopted: (team) => allotments.adopt(partition, team, 'requests', 1),
  });
  const unfinishedRequests = new Set<TrackedRequest>();
  const admission = options.createAdmission({
    initialServiceMilliseconds: INITIAL_SERVICE_MILLISECONDS,
  });
  const retryPolicy = createRetryPolicy({
    ...options,
    admission,
    isServing,
    hasUsableSlots: () => endpoints.countUsableSlots() > 0,
    createNoEndpointFailure: createNoEndpointFailure,
    enqueue,
  });
  let maximumQueuedPerTeam = DEFAULT_MAXIMUM_QUEUED_PER_TEAM;
  let backlog = createBacklog();
  let isReleased = false;
  let isHandedOver = false;
  let cancelQueueCheck: CancelTimer | null = null;
  let cancelUnblockTimer: CancelTimer = () => undefined;

  function createBacklog() {
    return createRequestBacklog({
      queue: options.createRequestQueue({
        maximumPerTeam: maximumQueuedPerTeam,
        expectedServiceMilliseconds: admission.expectedServiceMilliseconds,
      }),
      maximumPerTeam: () => maximumQueuedPerTeam,
    });
  }

  function isServing(): boolean {
    return !isReleased && lease.mayAct();
  }

  function blockedMilliseconds(): number {
    return Math.max(0, options.blockedUntil - clock.monotonicMilliseconds());
  }

  function countFreeSlots(): number {
    if (blockedMilliseconds() > 0) return 0;
    return endpoints.countFreeSlots();
  }

  function expectedWaitMilliseconds(team: string): number {
    if (countFreeSlots() > 0 && backlog.size() === 0) return 0;
    const slots = endpoints.countUsableSlots();
    if (slots === 0) return Number.POSITIVE_INFINITY;
    const turns = (backlog.countAheadOf(team) + 1) / slots;
    return blockedMilliseconds() + turns * admission.expectedServiceMilliseconds();
  }

  function createNoEndpointFailure(): Failure {
    const retry = { retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS };
    return createFailure('no-endpoint', {}, retry);
  }

  /** Refuses early what cannot be served in time. */
  function checkAdmission({
    request: request,
    answerTargetAt: answerTargetAt,
  }: TrackedRequest): Failure | null {
    if (!isServing()) return options.createNotOwnerFailure();
    const slots = endpoints.countUsableSlots();
    if (slots === 0) return createNoEndpointFailure();
    const remaining = answerTargetAt - clock.monotonicMilliseconds();
    const blocked = blockedMilliseconds();
    const verdict = admission.decide(
      backlog.countAheadOf(request.team),
      slots,
      remaining - blocked,
    );
    if (verdict.kind === 'admit') return null;
    counters.increment('requests.refused.early');
    const wait = Math.max(MINIMUM_RETRY_MILLISECONDS, verdict.retryAfterMilliseconds, blocked);
    return createFailure('overloaded', {}, { retryAfterMilliseconds: Math.ceil(wait) });
  }

  function createQueueFullFailure(work: PoolRequest): Failure {
    const retry = { retryAfterMilliseconds: admission.expectedServiceMilliseconds() };
    return createFailure('queue-full', { queue: work.queue, team: work.team }, retry);
  }

  function enqueue(tracked: TrackedRequest): void {
    if (!backlog.push(tracked)) tracked.refuse(createQueueFullFailure(tracked.request));
    else dispatchWaiting();
  }

  async function execute(work: PoolRequest): Promise<Result<InteractiveResponse, Failure>> {
    const total = work.deadlineAt - clock.monotonicMilliseconds();
    const answerTargetAt = work.deadlineAt - total * DEADLINE_MARGIN_FRACTION;
    const tracked = trackRequest(work, answerTargetAt, (ended) => unfinishedRequests.delete(ended));
    unfinishedRequests.add(tracked);
    const refusal = checkAdmission(tracked);
    if (refusal) tracked.refuse(refusal);
    else {
      tracked.markQueued();
      enqueue(tracked);
    }
    return tracked.outcome;
  }

  /** A request that is sent again may be answered late, by its first execution, while it waits. */
  function takeNextWaiting(): TrackedRequest | null {
    let tracked: TrackedRequest | null;
    do tracked = backlog.shift(clock.monotonicMilliseconds());
    while (tracked?.isEnded());
    return tracked;
  }

  /** Sends waiting requests while there are free slots. */
  function dispatchWaiting(): void {
    if (!isServing()) {
      backlog.refuseAll(options.createNotOwnerFailure);
      return;
    }
    backlog.refuseExpired(clock.monotonicMilliseconds());
    while (countFreeSlots() > 0) {
      const tracked = takeNextWaiting();
      if (!tracked) break;
      startAttempt(tracked);
    }
    // The queue sets requests aside that became too late between the two calls.
    backlog.refuseExpired(clock.monotonicMilliseconds());
    scheduleQueueCheck();
  }

  function startAttempt(tracked: TrackedRequest): void {
    const endpoint = endpoints.selectEndpoint(tracked.triedEndpointIds);
    assertInvariant(endpoint !== undefined, 'slots', () => 'a free slot has no endpoint');
    const charge = allotments.charge(partition, tracked.request.team, 'requests', 1);
    if (charge.isErr()) {
      backlog.park(tracked, charge.error);
      return;
    }
    tracked.triedEndpointIds.add(endpoint.endpointId);
    runAttempt(endpoint, tracked);
  }

  function scheduleQueueCheck(): void {
    if (cancelQueueCheck || backlog.size() === 0) return;
    cancelQueueCheck = clock.setTimer(() => {
      cancelQueueCheck = null;
      backlog.unparkAll();
      dispatchWaiting();
    }, QUEUE_CHECK_INTERVAL_MILLISECONDS);
  }

  /** Asked right before the first byte is sent, after all waiting. */
  function confirmSend(endpoint: Endpoint, tracked: TrackedRequest): boolean {
    if (!isServing() || !endpoint.isUsable() || tracked.isEnded()) return false;
    tracked.markSent();
    return true;
  }

  function releaseCharge(team: string): void {
    // After a handover the next owner holds the units of the slots that it was given.
    if (isHandedOver) return;
    allotments.release(partition, team, 'requests', 1);
    backlog.unpark(team);
  }

  async function runAttempt(endpoint: Endpoint, tracked: TrackedRequest): Promise<void> {
    const { request: work } = tracked;
    const { requestId, team, payload } = work;
    const startedAt = clock.monotonicMilliseconds();
    const outcome = await endpoint.run({
      request: { requestId, team, payload },
      answerBy: work.deadlineAt,
      suspectAt: retryPolicy.computeSuspectTime(work),
      takeRetry: () => retryPolicy.takeRetryAfterLoss(work),
      onLateAnswer(response) {
        if (work.isIdempotent && !tracked.isEnded()) tracked.answer(response);
      },
      confirmSend: () => confirmSend(endpoint, tracked),
      onSlotFree() {
        releaseCharge(team);
        endpoints.removeUnlisted();
        dispatchWaiting();
      },
    });
    if (outcome.kind === 'answered') {
      admission.recordServiceTime(clock.monotonicMilliseconds() - startedAt);
    }
    retryPolicy.applyOutcome(endpoint, tracked, outcome);
  }

  function createListedEndpoint(vm: VmRecord): Endpoint {
    return createEndpoint({
      ...options,
      vm,
      onCapacityAvailable: dispatchWaiting,
      onAdoptedSlotFree: releaseCharge,
    });
  }

  function updateEndpoints(vms: readonly VmRecord[]): void {
    endpoints.update(vms);
    dispatchWaiting();
  }

  function updateConfiguration(configuration: Configuration): void {
    maximumQueuedPerTeam = configuration.cell.maximumQueuedRequests;
    const shares = Object.entries(configuration.teams).map(([team, { share }]) => [team, share]);
    if (backlog.size() === 0) backlog = createBacklog();
    backlog.setShares(Object.fromEntries(shares) as Record<string, number>);
  }

  function hasUnsentRequests(): boolean {
    return [...unfinishedRequests].some((tracked) => tracked.state() !== 'sent');
  }

  /**
   * Waits for requests that are being withdrawn, so that the table does not report them as possibly run, and a
   * short time for those that run, so that the next owner gets most slots free.
   */
  async function release(): Promise<EndpointHandover> {
    isReleased = true;
    backlog.refuseAll(options.createNotOwnerFailure);
    const waitUntil = clock.monotonicMilliseconds() + RELEASE_WAIT_MILLISECONDS;
    do await sleep(clock, RELEASE_POLL_MILLISECONDS);
    while (
      hasUnsentRequests() ||
      (unfinishedRequests.size > 0 && clock.monotonicMilliseconds() < waitUntil)
    );
    isHandedOver = true;
    const blocked = blockedMilliseconds();
    return { blockedMilliseconds: blocked, slots: endpoints.listSlots(), table: table.handOver() };
  }

  function close(): void {
    isReleased = true;
    isHandedOver = true;
    backlog.refuseAll(options.createNotOwnerFailure);
    cancelQueueCheck?.();
    cancelUnblockTimer();
    endpoints.stop();
  }

  if (blockedMilliseconds() > 0)
    cancelUnblockTimer = clock.setTimer(dispatchWaiting, blockedMilliseconds());

  return {
    table,
    execute,
    expectedWaitMilliseconds: expectedWaitMilliseconds,
    isServing,
    updateEndpoints,
    updateConfiguration,
    adoptSlots: endpoints.adoptSlots,
    release,
    close,
    load: () => ({ freeSlots: countFreeSlots(), queuedRequests: backlog.size() }),
  };
}
