import { assertInvariant, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type {
  Clock,
  Counters,
  EndpointRequest,
  EndpointResponse,
  Log,
  VmRecord,
} from '@chicorybend/common';
import { z } from 'zod';

import { HEALTH_CHECK_TIMEOUT_MILLISECONDS } from '../utils/interactiveTimes.js';
import { createEndpointConnection } from './endpointConnection.js';
import type { ConnectionOutcome, EndpointConnection } from './endpointConnection.js';
import { createEndpointHealth } from './endpointHealth.js';
import { createEndpointSlots } from './endpointSlots.js';
import type { EndpointSlots, Slot } from './endpointSlots.js';

/** One attempt to run a request at an endpoint. */
export interface Attempt {
  readonly request: EndpointRequest;
  /** Monotonic time in milliseconds at which waiting for an answer ends. */
  readonly answerBy: number;
  /**
   * Monotonic time in milliseconds from which an unanswered connection is suspected to be dead, so that a retry is
   * considered; null for never.
   */
  readonly suspectAt: number | null;
  /** Called once at `suspectAt`, if the request was sent; true ends the attempt as lost, so that a retry can follow. */
  readonly takeRetry: () => boolean;
  /** Called in the same turn in which the first byte is written; false withdraws the request. */
  readonly confirmSend: () => boolean;
  /** Called when the slot is free again; this is after the outcome if there was no answer in time. */
  readonly onSlotFree: () => void;
  /** Called with a complete answer that arrives after the attempt has ended as lost. */
  readonly onLateAnswer: (response: EndpointResponse) => void;
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly response: EndpointResponse }
  /** Run by the endpoint, which reported a failure. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Certainly not sent; `isWithdrawn` if `confirmSend` returned false. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly isWithdrawn: boolean }
  /** May have been run; `isSuspected` if `takeRetry` ended the attempt before `answerBy`. */
  | { readonly kind: 'lost'; readonly reason: string; readonly isSuspected: boolean };

/** One endpoint of an owned partition. */
export interface Endpoint {
  readonly endpointId: string;
  readonly address: string;
  readonly slots: EndpointSlots;
  /** Applies the endpoint's current entry in the VM list; null if it is no longer listed. */
  update(vm: VmRecord | null): void;
  /** @returns whether it may be sent new requests */
  isUsable(): boolean;
  /**
   * @returns whether requests are sent to it before others: it is not suspect, or it is idle and due for another try
   */
  isPreferred(): boolean;
  /** @returns whether it is no longer in the VM list */
  isUnlisted(): boolean;
  /** Sends a request. The caller checks that a slot is free; it is taken before this returns. */
  run(attempt: Attempt): Promise<AttemptOutcome>;
  /** Closes idle connections and stops probes; requests in flight continue. */
  stop(): void;
}

export interface EndpointOptions {
  readonly vm: VmRecord;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly localAddress: string;
  readonly random: () => number;
  /** Called when a slot becomes free or the endpoint is readmitted. */
  readonly onCapacityAvailable: () => void;
  /** Called when the slot of a request that the former owner sent becomes free. */
  readonly onAdoptedSlotFree: (team: string) => void;
}

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;

/** Connections that are not counted as slots: they replace suspect connections and carry probes. */
const RESERVED_CONNECTIONS = 8;

const STATUS_OK = 200;
const STATUS_FAILED = 500;
const MAXIMUM_REASON_LENGTH = 200;

const responseSchema = z.object({
  requestId: z.string(),
  endpointId: z.string(),
  result: z.unknown(),
});

function computeSlotLimit(vm: VmRecord): number {
  const connections = (vm.connections ?? DEFAULT_CONNECTIONS) - RESERVED_CONNECTIONS;
  return Math.max(0, Math.min(vm.slots ?? DEFAULT_SLOTS, connections));
}

function createLostOutcome(reason: string, isSuspected = false): AttemptOutcome {
  return { kind: 'lost', reason, isSuspected };
}

function toAttemptOutcome(
  outcome: Exclude<ConnectionOutcome, { kind: 'answered' }>,
): AttemptOutcome {
  return outcome.kind === 'lost' ? createLostOutcome(outcome.reason) : outcome;
}

function parseResponse(body: string): EndpointResponse | null {
  try {
    const checked = responseSchema.safeParse(JSON.parse(body));
    return checked.success ? checked.data : null;
  } catch {
    return null;
  }
}

/** Creates the client side of one endpoint: its slots, connections and health. */
export function createEndpoint(options: EndpointOptions): Endpoint {
  const { clock, counters } = options;
  const { id: endpointId, address } = options.vm;
  const connections = new Set<EndpointConnection>();
  const idleConnections: EndpointConnection[] = [];
  let { vm } = options;
  let isLeaving = vm.state === 'leaving';
  let isUnlisted = false;
  let isStopped = false;

  const slots = createEndpointSlots({
    clock,
    limit: computeSlotLimit(vm),
    onAdoptedSlotFree(team) {
      options.onAdoptedSlotFree(team);
      options.onCapacityAvailable();
    },
  });
  const health = createEndpointHealth({
    ...options,
    endpointId,
    probe,
    onReadmitted: options.onCapacityAvailable,
  });

  function openConnection(): EndpointConnection {
    const connection = createEndpointConnection({
      clock,
      address,
      localAddress: options.localAddress,
    });
    connections.add(connection);
    const maximum = vm.connections ?? DEFAULT_CONNECTIONS;
    assertInvariant(
      connections.size <= maximum,
      'slots',
      () => `${connections.size} of ${maximum} connections to ${endpointId} are open`,
    );
    return connection;
  }

  function closeConnection(connection: EndpointConnection, reason: string): void {
    connections.delete(connection);
    connection.destroy(reason);
  }

  /** Takes the most recently used connection, so that surplus connections become idle and are closed. */
  function takeConnection(): EndpointConnection {
    for (let connection = idleConnections.pop(); connection; connection = idleConnections.pop()) {
      if (connection.isReusable()) return connection;
      closeConnection(connection, 'idle for too long');
    }
    return openConnection();
  }

  function returnConnection(connection: EndpointConnection): void {
    if (isStopped || !connection.isReusable()) closeConnection(connection, 'not reusable');
    else idleConnections.push(connection);
  }

  async function probe(): Promise<boolean> {
    const connection = openConnection();
    const call = { method: 'GET', path: '/health', body: null, confirmSend: () => true } as const;
    const outcome = await withTimeout(
      clock,
      connection.call(call),
      HEALTH_CHECK_TIMEOUT_MILLISECONDS,
    );
    closeConnection(connection, 'probe ended');
    return outcome !== TIMED_OUT && outcome.kind === 'answered' && outcome.status < STATUS_FAILED;
  }

  function freeSlot(slot: Slot, attempt: Attempt): void {
    slots.release(slot);
    attempt.onSlotFree();
  }

  /** Maps an HTTP answer to an outcome; an answer that carries another request's id is dropped. */
  function classifyAnswer(
    outcome: Extract<ConnectionOutcome, { kind: 'answered' }>,
    requestId: string,
  ): AttemptOutcome {
    if (outcome.status === STATUS_FAILED) {
      return { kind: 'failed', reason: outcome.body.slice(0, MAXIMUM_REASON_LENGTH) };
    }
    if (outcome.status !== STATUS_OK) {
      return createLostOutcome(`status ${outcome.status}`);
    }
    const response = parseResponse(outcome.body);
    if (!response) return createLostOutcome('the answer does not match the schema');
    if (response.requestId !== requestId) {
      counters.increment('endpoints.answers.crossed');
      return createLostOutcome('the answer belongs to another request');
    }
    return { kind: 'answered', response };
  }

  function recordOutcome(outcome: AttemptOutcome): void {
    if (outcome.kind === 'answered') health.recordSuccess();
    else if (outcome.kind !== 'not-sent' || !outcome.isWithdrawn) health.recordFailure();
  }

  /** Keeps the slot of an unanswered request occupied until the request can no longer be running at the endpoint. */
  async function holdSlotUntilEnd(
    slot: Slot,
    attempt: Attempt,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
  ): Promise<void> {
    const remaining = slot.endsBy() - clock.monotonicMilliseconds();
    const outcome = await withTimeout(clock, pending, remaining);
    const isAnswered = outcome !== TIMED_OUT && outcome.kind === 'answered';
    const result = isAnswered ? classifyAnswer(outcome, attempt.request.requestId) : null;
    if (isAnswered) counters.increment('endpoints.answers.late');
    if (result?.kind === 'answered') {
      health.recordLateAnswer();
      attempt.onLateAnswer(result.response);
    } else health.recordUnanswered();
    closeConnection(connection, 'its request got no answer in time');
    freeSlot(slot, attempt);
  }

  /** A slow request and a dead connection look the same from here, so the endpoint's health is probed. */
  function abandonAttempt(
    slot: Slot,
    attempt: Attempt,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
    isSuspected: boolean,
  ): AttemptOutcome {
    counters.increment('endpoints.connections.suspect');
    slot.markUnanswered();
    holdSlotUntilEnd(slot, attempt, connection, pending);
    health.probeAfterTimeout();
    return createLostOutcome('no answer in time', isSuspected);
  }

  /** Waits for an answer until `answerBy`, or only until `suspectAt` if a retry is granted then. */
  async function awaitAnswer(
    attempt: Attempt,
    pending: Promise<ConnectionOutcome>,
    isSent: () => boolean,
  ): Promise<ConnectionOutcome | 'suspected' | 'timed-out'> {
    const { suspectAt, answerBy } = attempt;
    if (suspectAt !== null && suspectAt < answerBy) {
      const limit = suspectAt - clock.monotonicMilliseconds();
      const outcome = await withTimeout(clock, pending, limit);
      if (outcome !== TIMED_OUT) return outcome;
      if (isSent() && attempt.takeRetry()) return 'suspected';
    }
    const remaining = answerBy - clock.monotonicMilliseconds();
    const outcome = await withTimeout(clock, pending, remaining);
    return outcome === TIMED_OUT ? 'timed-out' : outcome;
  }

  function completeAttempt(
    slot: Slot,
    attempt: Attempt,
    connection: EndpointConnection,
    outcome: ConnectionOutcome,
  ): AttemptOutcome {
    const { requestId } = attempt.request;
    const result =
      outcome.kind === 'answered' ? classifyAnswer(outcome, requestId) : toAttemptOutcome(outcome);
    recordOutcome(result);
    if (result.kind === 'answered' || result.kind === 'failed') returnConnection(connection);
    else closeConnection(connection, result.reason);
    freeSlot(slot, attempt);
    return result;
  }

  /** Ends an attempt whose connection was not open in time; no byte of the request was sent. */
  async function abandonConnecting(
    slot: Slot,
    attempt: Attempt,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
  ): Promise<AttemptOutcome> {
    const reason = 'not connected in time';
    closeConnection(connection, reason);
    const outcome = await pending;
    health.probeAfterTimeout();
    health.recordUnanswered();
    freeSlot(slot, attempt);
    return outcome.kind === 'not-sent' ? outcome : createLostOutcome(reason);
  }

  async function run(attempt: Attempt): Promise<AttemptOutcome> {
    const { request } = attempt;
    const slot = slots.take(request.team);
    const connection = takeConnection();
    let isSent = false;
    const pending = connection.call({
      method: 'POST',
      path: '/run',
      body: JSON.stringify(request),
      confirmSend() {
        if (!attempt.confirmSend()) return false;
        assertInvariant(
          !isLeaving,
          'leaving-endpoint',
          () => `leaving endpoint ${endpointId} is sent a new request`,
        );
        isSent = true;
        slot.markSent();
        return true;
      },
    });
    const outcome = await awaitAnswer(attempt, pending, () => isSent);
    if (typeof outcome === 'object') return completeAttempt(slot, attempt, connection, outcome);
    const isSuspected = outcome === 'suspected';
    if (isSent) return abandonAttempt(slot, attempt, connection, pending, isSuspected);
    return abandonConnecting(slot, attempt, connection, pending);
  }

  return {
    endpointId,
    address,
    slots,
    run,
    update(next) {
      isUnlisted = next === null;
      isLeaving = next === null || next.state === 'leaving';
      if (!next) return;
      vm = next;
      slots.setLimit(computeSlotLimit(next));
    },
    isUnlisted: () => isUnlisted,
    isUsable: () => !isLeaving && !isStopped && !health.isEjected(),
    isPreferred: () => !health.isSuspect() || (health.isRetryDue() && slots.inUse().length === 0),
    stop() {
      isStopped = true;
      health.stop();
      slots.stop();
      idleConnections
        .splice(0)
        .forEach((connection) => closeConnection(connection, 'the partition was closed'));
    },
  };
}
