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
import { createAttemptOutcomes } from './attemptOutcomes.js';
import { createEndpoint } from './endpoint.js';
import type { Endpoint } from './endpoint.js';
import type { HandedEndpoints, InteractiveLoad } from './endpointPool.js';
import { createEndpointSet } from './endpointSet.js';
import { trackWork } from './endpointWork.js';
import type { EndpointWork, TrackedWork } from './endpointWork.js';
import { createRequestBacklog } from './requestBacklog.js';
import type { RequestTable } from './requestTable.js';

/** The endpoints of one owned partition, and the requests that wait for them. */
export interface EndpointPartition {
  readonly table: RequestTable;
  execute(work: EndpointWork): Promise<Result<InteractiveResponse, Failure>>;
  expectedWait(team: string): number;
  load(): InteractiveLoad;
  /** @returns whether this daemon may act as the owner */
  isServing(): boolean;
  updateEndpoints(vms: readonly VmRecord[]): void;
  updateConfiguration(configuration: Configuration): void;
  adopt(slots: HandedEndpoints['slots']): void;
  /** Refuses what waits and gives the state for the next owner. */
  release(): Promise<HandedEndpoints>;
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
  }) => RequestQueue<TrackedWork>;
  readonly random: () => number;
  readonly lease: PartitionLease;
  readonly table: RequestTable;
  /** Monotonic time in milliseconds until which a former owner's requests may hold every slot. */
  readonly blockedUntil: number;
  readonly notOwner: () => Failure;
}

const INITIAL_SERVICE_MILLISECONDS = 20;
const DEFAULT_MAXIMUM_QUEUED = 256;

/** How often waiting requests are checked for their deadlines and their teams' limits, in milliseconds. */
const TICK_MILLISECONDS = 10;

/**
 * Part of a request's time that is kept back for a service time above the expected one. A request that is sent
 * too late to be answered in time uses a slot for nothing and ends as unknown instead of not run.
 */
const SERVICE_MARGIN_PART = 0.1;

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
    createEndpoint: createListed,
    onAdopted: (team) => allotments.adopt(partition, team, 'requests', 1),
  });
  const unfinished = new Set<TrackedWork>();
  const admission = options.createAdmission({
    initialServiceMilliseconds: INITIAL_SERVICE_MILLISECONDS,
  });
  const outcomes = createAttemptOutcomes({
    ...options,
    admission,
    isServing,
    hasEndpoint: () => endpoints.countServing() > 0,
    noEndpoint: refuseNoEndpoint,
    enqueue,
  });
  let maximumQueued = DEFAULT_MAXIMUM_QUEUED;
  let backlog = createBacklog();
  let isReleased = false;
  let isHandedOver = false;
  let cancelTick: CancelTimer | null = null;
  let cancelUnblock: CancelTimer = () => undefined;

  function createBacklog() {
    return createRequestBacklog({
      queue: options.createRequestQueue({
        maximumPerTeam: maximumQueued,
        expectedServiceMilliseconds: admission.expectedServiceMilliseconds,
      }),
      maximumPerTeam: () => maximumQueued,
    });
  }

  function isServing(): boolean {
    return !isReleased && lease.mayAct();
  }

  function blockedMilliseconds(): number {
    return Math.max(0, options.blockedUntil - clock.monotonicMilliseconds());
  }

  function countFree(): number {
    if (blockedMilliseconds() > 0) return 0;
    return endpoints.countFree();
  }

  function expectedWait(team: string): number {
    if (countFree() > 0 && backlog.size() === 0) return 0;
    const slots = endpoints.countServing();
    if (slots === 0) return Number.POSITIVE_INFINITY;
    const turns = (backlog.aheadOf(team) + 1) / slots;
    return blockedMilliseconds() + turns * admission.expectedServiceMilliseconds();
  }

  function refuseNoEndpoint(): Failure {
    const retry = { retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS };
    return createFailure('no-endpoint', {}, retry);
  }

  /** Refuses early what cannot be served in time. */
  function checkAdmission({ work, expectedBy }: TrackedWork): Failure | null {
    if (!isServing()) return options.notOwner();
    const slots = endpoints.countServing();
    if (slots === 0) return refuseNoEndpoint();
    const remaining = expectedBy - clock.monotonicMilliseconds();
    const blocked = blockedMilliseconds();
    const verdict = admission.decide(backlog.aheadOf(work.team), slots, remaining - blocked);
    if (verdict.kind === 'admit') return null;
    counters.increment('requests.refused.early');
    const wait = Math.max(MINIMUM_RETRY_MILLISECONDS, verdict.retryAfterMilliseconds, blocked);
    return createFailure('overloaded', {}, { retryAfterMilliseconds: Math.ceil(wait) });
  }

  function refuseFull(work: EndpointWork): Failure {
    const retry = { retryAfterMilliseconds: admission.expectedServiceMilliseconds() };
    return createFailure('queue-full', { queue: work.queue, team: work.team }, retry);
  }

  function enqueue(tracked: TrackedWork): void {
    if (!backlog.push(tracked)) tracked.refuse(refuseFull(tracked.work));
    else pump();
  }

  async function execute(work: EndpointWork): Promise<Result<InteractiveResponse, Failure>> {
    const total = work.deadlineAt - clock.monotonicMilliseconds();
    const expectedBy = work.deadlineAt - total * SERVICE_MARGIN_PART;
    const tracked = trackWork(work, expectedBy, (ended) => unfinished.delete(ended));
    unfinished.add(tracked);
    const refusal = checkAdmission(tracked);
    if (refusal) tracked.refuse(refusal);
    else {
      tracked.queue();
      enqueue(tracked);
    }
    return tracked.outcome;
  }

  /** A request that is sent again may be answered late, by its first execution, while it waits. */
  function shiftWaiting(): TrackedWork | null {
    let tracked: TrackedWork | null;
    do tracked = backlog.shift(clock.monotonicMilliseconds());
    while (tracked?.isEnded());
    return tracked;
  }

  /** Sends waiting requests while there are free slots. */
  function pump(): void {
    if (!isServing()) {
      backlog.clear(options.notOwner);
      return;
    }
    backlog.expire(clock.monotonicMilliseconds());
    while (countFree() > 0) {
      const tracked = shiftWaiting();
      if (!tracked) break;
      start(tracked);
    }
    // The queue sets requests aside that became too late between the two calls.
    backlog.expire(clock.monotonicMilliseconds());
    scheduleTick();
  }

  function start(tracked: TrackedWork): void {
    const endpoint = endpoints.choose(tracked.tried);
    assertInvariant(endpoint !== undefined, 'slots', () => 'a free slot has no endpoint');
    const charge = allotments.charge(partition, tracked.work.team, 'requests', 1);
    if (charge.isErr()) {
      backlog.park(tracked, charge.error);
      return;
    }
    tracked.tried.add(endpoint.endpointId);
    runOn(endpoint, tracked);
  }

  function scheduleTick(): void {
    if (cancelTick || backlog.size() === 0) return;
    cancelTick = clock.setTimer(() => {
      cancelTick = null;
      backlog.unparkAll();
      pump();
    }, TICK_MILLISECONDS);
  }

  /** Asked right before the first byte is sent, after all waiting. */
  function maySend(endpoint: Endpoint, tracked: TrackedWork): boolean {
    if (!isServing() || !endpoint.isUsable() || tracked.isEnded()) return false;
    tracked.send();
    return true;
  }

  function releaseUnit(team: string): void {
    // After a handover the next owner holds the units of the slots that it was given.
    if (isHandedOver) return;
    allotments.release(partition, team, 'requests', 1);
    backlog.unpark(team);
  }

  async function runOn(endpoint: Endpoint, tracked: TrackedWork): Promise<void> {
    const { work } = tracked;
    const { requestId, team, payload } = work;
    const startedAt = clock.monotonicMilliseconds();
    const outcome = await endpoint.run({
      request: { requestId, team, payload },
      answerBy: work.deadlineAt,
      suspectAt: outcomes.findSuspectTime(work),
      maySuspect: () => outcomes.mayRetryLost(work),
      onLateAnswer(response) {
        if (work.isIdempotent && !tracked.isEnded()) tracked.answer(response);
      },
      mayStart: () => maySend(endpoint, tracked),
      onSlotFree() {
        releaseUnit(team);
        endpoints.dropAbsent();
        pump();
      },
    });
    if (outcome.kind === 'answered') {
      admission.recordServiceTime(clock.monotonicMilliseconds() - startedAt);
    }
    outcomes.settle(endpoint, tracked, outcome);
  }

  function createListed(vm: VmRecord): Endpoint {
    return createEndpoint({
      ...options,
      vm,
      onFree: pump,
      onAdoptedEnd: releaseUnit,
    });
  }

  function updateEndpoints(vms: readonly VmRecord[]): void {
    endpoints.update(vms);
    pump();
  }

  function updateConfiguration(configuration: Configuration): void {
    maximumQueued = configuration.cell.maximumQueuedRequests;
    const shares = Object.entries(configuration.teams).map(([team, { share }]) => [team, share]);
    if (backlog.size() === 0) backlog = createBacklog();
    backlog.setShares(Object.fromEntries(shares) as Record<string, number>);
  }

  function isAnyUnsent(): boolean {
    return [...unfinished].some((tracked) => tracked.state() !== 'sent');
  }

  /**
   * Waits for requests that are being withdrawn, so that the table does not report them as possibly run, and a
   * short time for those that run, so that the next owner gets most slots free.
   */
  async function release(): Promise<HandedEndpoints> {
    isReleased = true;
    backlog.clear(options.notOwner);
    const waitUntil = clock.monotonicMilliseconds() + RELEASE_WAIT_MILLISECONDS;
    do await sleep(clock, RELEASE_POLL_MILLISECONDS);
    while (isAnyUnsent() || (unfinished.size > 0 && clock.monotonicMilliseconds() < waitUntil));
    isHandedOver = true;
    const blocked = blockedMilliseconds();
    return { blockedMilliseconds: blocked, slots: endpoints.listSlots(), table: table.handOver() };
  }

  function close(): void {
    isReleased = true;
    isHandedOver = true;
    backlog.clear(options.notOwner);
    cancelTick?.();
    cancelUnblock();
    endpoints.stop();
  }

  if (blockedMilliseconds() > 0) cancelUnblock = clock.setTimer(pump, blockedMilliseconds());

  return {
    table,
    execute,
    expectedWait,
    isServing,
    updateEndpoints,
    updateConfiguration,
    adopt: endpoints.adopt,
    release,
    close,
    load: () => ({ freeSlots: countFree(), queuedRequests: backlog.size() }),
  };
}
