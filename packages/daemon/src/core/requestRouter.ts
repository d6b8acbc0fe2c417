import { randomUUID } from 'node:crypto';

import {
  computeBackoff,
  createFailure,
  Err,
  Ok,
  partitionOf,
  sha256,
  sleep,
} from '@chicorybend/common';
import type {
  BackoffLimits,
  Clock,
  Counters,
  Failure,
  InteractiveRequest,
  InteractiveResponse,
  Result,
  RetryBudget,
} from '@chicorybend/common';

import type { PartitionLoadView, PartitionDirectory } from '../types/partition.js';
import type { PeerError, PeerLink } from '../types/peer.js';
import type { ForwardedRequest } from '../types/peerMethods.js';
import { hashBody } from '../utils/bodyHash.js';
import { createInFlightCounter } from '../utils/inFlightCounter.js';
import type { EndpointService } from './endpointService.js';
import { createHomeExecutor } from './homeExecutor.js';

/** What the request router needs. */
export interface RequestRouterOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly link: PeerLink;
  readonly directory: PartitionDirectory;
  readonly loadBoard: PartitionLoadView;
  readonly endpoints: EndpointService;
  readonly retryBudget: RetryBudget;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** An interactive request that a caller may make. */
export interface RoutedRequest {
  readonly team: string;
  /** UUID version 7; null for idempotent requests. */
  readonly idempotencyKey: string | null;
  readonly request: InteractiveRequest;
}

/** The interactive path from a caller to an endpoint. */
export interface RequestRouter {
  /**
   * Runs a request wherever there is room within its deadline.
   *
   * @param routed request of an authenticated caller
   * @returns answer of the endpoint, or why there is none
   */
  route(routed: RoutedRequest): Promise<Result<InteractiveResponse, Failure>>;

  /** @returns requests in flight for callers and for other daemons */
  inFlight(): number;

  /** Resolves when no request is in flight here, neither for callers nor for other daemons. */
  idle(): Promise<void>;
}

const OWNER_BACKOFF: BackoffLimits = { firstMilliseconds: 10, maximumMilliseconds: 200 };
const RETRY_AFTER_MILLISECONDS = 1_000;
const RETRY_OPTIONS = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
const REQUEST_ID_LENGTH = 32;

/** Progress of one request at its entry daemon. */
interface RoutingState {
  readonly routed: RoutedRequest;
  readonly requestId: string;
  readonly bodyHash: string;
  readonly deadlineAt: number;
  /** Set once an attempt may have run the request. */
  hasLostAttempt: boolean;
}

/** Outcome of one attempt that gave no answer. */
interface RoutingFailure {
  readonly failure: Failure;
  readonly kind: 'final' | 'moved' | 'not-sent' | 'lost';
}

/** The same key of the same team is the same request, so that a repeated call has the same answer. */
function createRequestId(routed: RoutedRequest): string {
  if (routed.idempotencyKey === null) return randomUUID();
  return sha256(`${routed.team}/${routed.idempotencyKey}`).slice(0, REQUEST_ID_LENGTH);
}

function classifyPeerError(error: PeerError, daemonId: string): RoutingFailure {
  if (error.kind === 'refused') {
    const { failure } = error;
    return { failure, kind: failure.code === 'not-owner' ? 'moved' : 'final' };
  }
  if (error.kind === 'not-sent') {
    const failure = createFailure('peer-unreachable', { daemonId }, RETRY_OPTIONS);
    return { failure, kind: 'not-sent' };
  }
  return { failure: createFailure('peer-lost', { daemonId }), kind: 'lost' };
}

/**
 * Creates the interactive path of a daemon and registers the peer method `request.execute`.
 *
 * @param options link, directory, loads and the own endpoints
 * @returns the router
 */
export function createRequestRouter(options: RequestRouterOptions): RequestRouter {
  const { clock, counters, link, directory, retryBudget, random = Math.random } = options;
  const executeAtHome = createHomeExecutor({ ...options, random });
  const inFlightCalls = createInFlightCounter();
  link.handle('request.execute', (forwarded, context) =>
    inFlightCalls.run(() => executeAtHome(forwarded, context)),
  );

  function netQueueLength(partition: number): number {
    const load = options.loadBoard.loads().get(partition);
    return load ? load.queuedRequests - load.freeSlots : 0;
  }

  /** Chooses the better of two partitions; better than the best known, which all daemons would choose at once. */
  function chooseByLoad(): number {
    const first = Math.floor(random() * directory.partitionCount);
    const second = Math.floor(random() * directory.partitionCount);
    return netQueueLength(second) < netQueueLength(first) ? second : first;
  }

  function choosePartition(routed: RoutedRequest): number {
    if (routed.idempotencyKey === null) return chooseByLoad();
    return partitionOf(`${routed.team}/${routed.idempotencyKey}`, directory.partitionCount);
  }

  function createForwardedRequest(journey: RoutingState, partition: number): ForwardedRequest {
    const { routed, requestId, bodyHash } = journey;
    return {
      partition,
      requestId,
      team: routed.team,
      idempotencyKey: routed.idempotencyKey,
      bodyHash,
      request: routed.request,
      isOverflow: false,
    };
  }

  /** An answer to another request is never passed on. */
  function verifyRequestId(
    journey: RoutingState,
    response: InteractiveResponse,
    daemonId: string,
  ): Result<InteractiveResponse, RoutingFailure> {
    if (response.requestId === journey.requestId) return Ok(response);
    counters.increment('requests.answers.crossed');
    return Err({ failure: createFailure('peer-lost', { daemonId }), kind: 'lost' });
  }

  async function attempt(
    journey: RoutingState,
  ): Promise<Result<InteractiveResponse, RoutingFailure>> {
    const partition = choosePartition(journey.routed);
    const owner = directory.ownerOf(partition);
    if (!owner) {
      directory.refreshOwner(partition);
      const failure = createFailure('no-owner', { partition }, RETRY_OPTIONS);
      return Err({ failure, kind: 'moved' });
    }
    const { daemonId } = owner;
    const remaining = Math.max(1, journey.deadlineAt - clock.monotonicMilliseconds());
    const forwarded = createForwardedRequest(journey, partition);
    const answer = await link.call(daemonId, 'request.execute', forwarded, remaining);
    if (answer.isOk()) return verifyRequestId(journey, answer.value, daemonId);
    const miss = classifyPeerError(answer.error, daemonId);
    if (miss.kind !== 'final') directory.refreshOwner(partition);
    return Err(miss);
  }

  /** A request that moves with its partition was not tried yet; only tries are charged as retries. */
  function decideRetry(journey: RoutingState, miss: RoutingFailure): boolean {
    if (miss.kind === 'final') return false;
    if (miss.kind === 'moved') return true;
    if (miss.kind === 'lost' && !journey.routed.request.idempotent) return false;
    return retryBudget.takeRetry();
  }

  /** After a lost attempt, a later refusal says nothing about what the lost one did. */
  function createFinalFailure(journey: RoutingState, miss: RoutingFailure): Failure {
    if (!journey.hasLostAttempt || miss.failure.run !== 'not-run') return miss.failure;
    const reason = `an earlier attempt was lost; then: ${miss.failure.message}`;
    return createFailure('outcome-unknown', { target: 'another daemon', reason });
  }

  async function route(routed: RoutedRequest): Promise<Result<InteractiveResponse, Failure>> {
    retryBudget.recordAttempt();
    const journey: RoutingState = {
      routed,
      requestId: createRequestId(routed),
      bodyHash: hashBody(routed.request),
      deadlineAt: clock.monotonicMilliseconds() + routed.request.deadlineMilliseconds,
      hasLostAttempt: false,
    };
    for (let attempts = 0; ; attempts += 1) {
      const outcome = await attempt(journey);
      if (outcome.isOk()) return outcome;
      const miss = outcome.error;
      journey.hasLostAttempt ||= miss.kind === 'lost';
      if (!decideRetry(journey, miss)) return Err(createFinalFailure(journey, miss));
      counters.increment('requests.rerouted', 1, { cause: miss.kind });
      const delay = computeBackoff(OWNER_BACKOFF, attempts, random);
      if (clock.monotonicMilliseconds() + delay >= journey.deadlineAt) {
        return Err(createFinalFailure(journey, miss));
      }
      await sleep(clock, delay);
    }
  }

  return {
    route: (routed) => inFlightCalls.run(() => route(routed)),
    inFlight: inFlightCalls.count,
    idle: inFlightCalls.whenIdle,
  };
}
