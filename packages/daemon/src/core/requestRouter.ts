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

import type { PartitionDirectory, PartitionLoad, PartitionLoadView } from '../types/partition.js';
import type { PeerError, PeerLink } from '../types/peer.js';
import type { ForwardedRequest } from '../types/peerMethods.js';
import { hashBody } from '../utils/bodyHash.js';
import { createInFlightCounter } from '../utils/inFlightCounter.js';
import type { EndpointService } from './endpointService.js';
import { createHomeExecutor } from './homeExecutor.js';

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

/** An interactive request of an authenticated and authorised caller. */
export interface RoutedRequest {
  readonly team: string;
  /** UUID version 7; null for idempotent requests. */
  readonly idempotencyKey: string | null;
  readonly request: InteractiveRequest;
}

/** Routes interactive requests from callers to the partitions that run them. */
export interface RequestRouter {
  /**
   * Runs a request at its home partition or, if it has no idempotency key, at a lightly loaded partition. Retries
   * within its deadline and the retry budget.
   *
   * @returns answer of the endpoint, or the failure, which says whether the request may have been run
   */
  route(routed: RoutedRequest): Promise<Result<InteractiveResponse, Failure>>;

  /** @returns number of requests in flight for callers and for other daemons */
  inFlight(): number;

  /** Resolves when no request is in flight here, neither for callers nor for other daemons. */
  idle(): Promise<void>;
}

const OWNER_BACKOFF: BackoffLimits = { firstMilliseconds: 10, maximumMilliseconds: 200 };
const RETRY_AFTER_MILLISECONDS = 1_000;
const RETRY_OPTIONS = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
const REQUEST_ID_LENGTH = 32;

/** State of one request at the daemon that received it from the caller. */
interface RoutingState {
  readonly routed: RoutedRequest;
  readonly requestId: string;
  readonly bodyHash: string;
  readonly deadlineAt: number;
  /** Set once the outcome of an attempt is unknown, so that the request may have been run. */
  hasLostAttempt: boolean;
}

/** Why an attempt to reach a partition's owner gave no answer. */
interface RoutingFailure {
  readonly failure: Failure;
  /** `suspected` if the call was ended as lost because its retry was taken from the budget. */
  readonly kind: 'final' | 'moved' | 'not-sent' | 'lost' | 'suspected';
}

/** Derives the id from team and key, so that a repeated call gets the same request id. */
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

/** Creates the request router of a daemon and registers the peer method `request.execute`. */
export function createRequestRouter(options: RequestRouterOptions): RequestRouter {
  const { clock, counters, link, directory, retryBudget, random = Math.random } = options;
  const executeAtHome = createHomeExecutor({ ...options, random });
  const inFlightCalls = createInFlightCounter();
  link.handle('request.execute', (forwarded, context) =>
    inFlightCalls.run(() => executeAtHome(forwarded, context)),
  );

  function netQueueLength(load: PartitionLoad | undefined): number {
    return load ? load.queuedRequests - load.freeSlots : 0;
  }

  /**
   * Picks the less loaded of two random partitions; all daemons would pick the least loaded one at the same time. The
   * last load of a silent owner would look low for as long as it is silent.
   */
  function chooseByLoad(): number {
    const loads = options.loadBoard.loads();
    const all = Array.from({ length: directory.partitionCount }, (_, partition) => partition);
    const answering = all.filter((partition) => !directory.isOwnerSilent(partition));
    const candidates = answering.length > 0 ? answering : all;
    const pick = () => candidates[Math.floor(random() * candidates.length)] ?? 0;
    const first = pick();
    const second = pick();
    const isSecondShorter = netQueueLength(loads.get(second)) < netQueueLength(loads.get(first));
    return isSecondShorter ? second : first;
  }

  function choosePartition(routed: RoutedRequest): number {
    if (routed.idempotencyKey === null) return chooseByLoad();
    return partitionOf(`${routed.team}/${routed.idempotencyKey}`, directory.partitionCount);
  }

  function createForwardedRequest(state: RoutingState, partition: number): ForwardedRequest {
    const { routed, requestId, bodyHash } = state;
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

  /** An answer to another request is counted and treated as a lost call. */
  function verifyRequestId(
    state: RoutingState,
    response: InteractiveResponse,
    daemonId: string,
  ): Result<InteractiveResponse, RoutingFailure> {
    if (response.requestId === state.requestId) return Ok(response);
    counters.increment('requests.answers.crossed');
    return Err({ failure: createFailure('peer-lost', { daemonId }), kind: 'lost' });
  }

  async function attempt(
    state: RoutingState,
  ): Promise<Result<InteractiveResponse, RoutingFailure>> {
    const partition = choosePartition(state.routed);
    const owner = directory.ownerOf(partition);
    if (!owner) {
      directory.refreshOwner(partition);
      const failure = createFailure('no-owner', { partition }, RETRY_OPTIONS);
      return Err({ failure, kind: 'moved' });
    }
    const { daemonId } = owner;
    const remaining = Math.max(1, state.deadlineAt - clock.monotonicMilliseconds());
    const forwarded = createForwardedRequest(state, partition);
    let isRetryTaken = false;
    const endIfSuspect = () => {
      isRetryTaken = state.routed.request.idempotent && retryBudget.takeRetry();
      return isRetryTaken;
    };
    const answer = await link.call(daemonId, 'request.execute', forwarded, remaining, {
      endIfSuspect,
    });
    if (answer.isOk()) return verifyRequestId(state, answer.value, daemonId);
    const cause = classifyPeerError(answer.error, daemonId);
    if (cause.kind !== 'final') directory.refreshOwner(partition);
    return Err(isRetryTaken && cause.kind === 'lost' ? { ...cause, kind: 'suspected' } : cause);
  }

  /** A request whose partition has moved was not run, so its retry is not charged to the budget. */
  function decideRetry(state: RoutingState, cause: RoutingFailure): boolean {
    if (cause.kind === 'final') return false;
    if (cause.kind === 'moved' || cause.kind === 'suspected') return true;
    if (cause.kind === 'lost' && !state.routed.request.idempotent) return false;
    return retryBudget.takeRetry();
  }

  /** After a lost attempt, a later refusal does not mean that the request was not run. */
  function createFinalFailure(state: RoutingState, cause: RoutingFailure): Failure {
    if (!state.hasLostAttempt || cause.failure.run !== 'not-run') return cause.failure;
    const reason = `an earlier attempt was lost; then: ${cause.failure.message}`;
    return createFailure('outcome-unknown', { target: 'another daemon', reason });
  }

  async function route(routed: RoutedRequest): Promise<Result<InteractiveResponse, Failure>> {
    retryBudget.recordAttempt();
    const state: RoutingState = {
      routed,
      requestId: createRequestId(routed),
      bodyHash: hashBody(routed.request),
      deadlineAt: clock.monotonicMilliseconds() + routed.request.deadlineMilliseconds,
      hasLostAttempt: false,
    };
    for (let attempts = 0; ; attempts += 1) {
      const outcome = await attempt(state);
      if (outcome.isOk()) return outcome;
      const cause = outcome.error;
      state.hasLostAttempt ||= cause.kind === 'lost' || cause.kind === 'suspected';
      if (!decideRetry(state, cause)) return Err(createFinalFailure(state, cause));
      counters.increment('requests.rerouted', 1, { cause: cause.kind });
      const delay = computeBackoff(OWNER_BACKOFF, attempts, random);
      if (clock.monotonicMilliseconds() + delay >= state.deadlineAt) {
        return Err(createFinalFailure(state, cause));
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
