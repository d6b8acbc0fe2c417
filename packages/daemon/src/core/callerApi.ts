import { createFailure, Err, Ok } from '@chicorybend/common';
import type { Clock, Counters, Failure, InteractiveRequest, Result } from '@chicorybend/common';

import {
  interactiveRequestSchema,
  jobRequestSchema,
  jobResultQuerySchema,
} from '../types/callerBodies.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { HttpCall, HttpReply, HttpRouteRegistry } from '../types/http.js';
import type { PartitionDirectory } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import { createInFlightCounter } from '../utils/inFlightCounter.js';
import { readKeyTimestamp } from '../utils/requestKey.js';
import { assertAuthorized, authorizeQueueUse } from './callerAccess.js';
import { createCallerJobs } from './callerJobs.js';
import type { JobCall } from './callerJobs.js';
import { createOwnerCaller } from './ownerCall.js';
import type { RequestRouter } from './requestRouter.js';

/** Dependencies and limits of the HTTP interface for callers. */
export interface CallerApiOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly configuration: ConfigurationView;
  readonly directory: PartitionDirectory;
  readonly link: PeerLink;
  readonly router: RequestRouter;
  /** Time limit of a job call, in milliseconds; 5 s by default. */
  readonly jobDeadlineMilliseconds?: number;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Controls the HTTP interface for callers while the daemon drains. */
export interface CallerApi {
  /** Starts the drain: new calls are refused once `DRAIN_GRACE_MILLISECONDS` have passed. */
  startDrain(): void;
  /** @returns number of calls that are being processed */
  inFlight(): number;
  /** Resolves when no call is being processed. */
  idle(): Promise<void>;
}

/**
 * Time for which a draining daemon still accepts calls, in milliseconds. The load balancer needs it to detect
 * that the daemon is no longer ready.
 */
export const DRAIN_GRACE_MILLISECONDS = 1_000;

const DEFAULT_JOB_DEADLINE_MILLISECONDS = 5_000;
const DRAINING_RETRY_MILLISECONDS = 100;
const STATUS_OK = 200;
const STATUS_CREATED = 201;

function replyWithStatus(status: number): (body: unknown) => HttpReply {
  return (body) => ({ status, body });
}

/** Validates the idempotency key; null for an idempotent request, which needs none. */
function checkRequestKey(
  request: InteractiveRequest,
  header: string | null,
): Result<string | null, Failure> {
  if (request.idempotent) return Ok(null);
  if (header === null) {
    const reason = 'a non-idempotent request is run once per key';
    return Err(createFailure('idempotency-key-required', { reason }));
  }
  if (readKeyTimestamp(header) !== null) return Ok(header.toLowerCase());
  const reason = 'must be a UUID version 7';
  return Err(createFailure('invalid-header', { header: 'idempotency-key', reason }));
}

function checkDeadline(request: InteractiveRequest, maximum: number): Result<void, Failure> {
  if (request.deadlineMilliseconds <= maximum) return Ok(undefined);
  const details = [{ path: 'deadlineMilliseconds', reason: `must be at most ${maximum}` }];
  return Err(createFailure('invalid-body', {}, { details }));
}

function toJobCall(call: HttpCall<unknown, unknown>): JobCall {
  return { jobId: call.params.id ?? '', authorization: call.header('authorization') };
}

/**
 * Registers the routes for callers: requests and jobs.
 *
 * @returns controls for the drain
 */
export function registerCallerApi(routes: HttpRouteRegistry, options: CallerApiOptions): CallerApi {
  const { clock, counters, configuration, router } = options;
  const callsInFlight = createInFlightCounter();
  let drainStartedAt: number | null = null;

  const jobs = createCallerJobs({
    clock,
    configuration,
    directory: options.directory,
    callOwner: createOwnerCaller(options),
    deadlineMilliseconds: options.jobDeadlineMilliseconds ?? DEFAULT_JOB_DEADLINE_MILLISECONDS,
    isDraining: () => drainStartedAt !== null,
  });

  function isDrainGraceOver(): boolean {
    if (drainStartedAt === null) return false;
    return clock.monotonicMilliseconds() - drainStartedAt >= DRAIN_GRACE_MILLISECONDS;
  }

  /** Wraps a handler: counts its calls as in flight, and refuses them with `draining` after the drain grace. */
  function rejectingAfterDrain<Body, Query>(
    handle: (call: HttpCall<Body, Query>) => Promise<Result<HttpReply, Failure>>,
  ): (call: HttpCall<Body, Query>) => Promise<Result<HttpReply, Failure>> {
    return async (call) => {
      if (isDrainGraceOver()) {
        const retry = { retryAfterMilliseconds: DRAINING_RETRY_MILLISECONDS };
        return Err(createFailure('draining', {}, retry));
      }
      return callsInFlight.run(() => handle(call));
    };
  }

  async function handleRequest(
    call: HttpCall<InteractiveRequest, undefined>,
  ): Promise<Result<HttpReply, Failure>> {
    const receivedAt = clock.monotonicMilliseconds();
    const { body } = call;
    const access = authorizeQueueUse(
      configuration,
      body.queue,
      'interactive',
      call.header('authorization'),
    );
    if (access.isErr()) return access;
    const deadline = checkDeadline(
      body,
      access.value.configuration.cell.maximumRequestMilliseconds,
    );
    if (deadline.isErr()) return deadline;
    const key = checkRequestKey(body, call.header('idempotency-key'));
    if (key.isErr()) return key;
    const { team } = access.value;
    assertAuthorized(access.value, body.queue, call.header('authorization'));
    const outcome = await router.route({ team, idempotencyKey: key.value, request: body });
    const result = outcome.isOk() ? 'answered' : outcome.error.run;
    counters.increment('requests', 1, { team, result });
    counters.timing('requests.time', clock.monotonicMilliseconds() - receivedAt, { team });
    return outcome.map(replyWithStatus(STATUS_OK));
  }

  routes.register({
    method: 'POST',
    path: '/v1/requests',
    bodySchema: interactiveRequestSchema,
    handle: rejectingAfterDrain(handleRequest),
  });
  routes.register({
    method: 'POST',
    path: '/v1/jobs',
    bodySchema: jobRequestSchema,
    handle: rejectingAfterDrain(async (call) => {
      const outcome = await jobs.submit({
        request: call.body,
        authorization: call.header('authorization'),
        idempotencyKey: call.header('idempotency-key'),
      });
      return outcome.map(replyWithStatus(STATUS_CREATED));
    }),
  });
  routes.register({
    method: 'GET',
    path: '/v1/jobs/:id',
    handle: rejectingAfterDrain(async (call) =>
      (await jobs.read(toJobCall(call))).map(replyWithStatus(STATUS_OK)),
    ),
  });
  routes.register({
    method: 'GET',
    path: '/v1/jobs/:id/result',
    querySchema: jobResultQuerySchema,
    handle: rejectingAfterDrain(async (call) => {
      const view = await jobs.wait(toJobCall(call), call.query.waitMilliseconds);
      return view.map(replyWithStatus(STATUS_OK));
    }),
  });
  routes.register({
    method: 'POST',
    path: '/v1/jobs/:id/cancel',
    handle: rejectingAfterDrain(async (call) =>
      (await jobs.cancel(toJobCall(call))).map(replyWithStatus(STATUS_OK)),
    ),
  });

  return {
    startDrain() {
      drainStartedAt ??= clock.monotonicMilliseconds();
    },
    inFlight: callsInFlight.count,
    idle: callsInFlight.whenIdle,
  };
}
