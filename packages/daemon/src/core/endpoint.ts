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

/** A request for one endpoint. */
export interface Attempt {
  readonly request: EndpointRequest;
  /** Monotonic time in milliseconds until which an answer is waited for. */
  readonly answerBy: number;
  /** Monotonic time in milliseconds from which a connection without an answer may be silent; null for never. */
  readonly suspectAt: number | null;
  /** Asked at that time; true ends the execution as lost, so that the request can be sent again. */
  readonly takeRetry: () => boolean;
  /** Asked in the same turn in which the request is sent. */
  readonly confirmSend: () => boolean;
  /** Called when the slot is free again, which is later than the outcome if there was no answer in time. */
  readonly onSlotFree: () => void;
  /** Called with a whole answer that arrives after the execution was given up. */
  readonly onLateAnswer: (response: EndpointResponse) => void;
}

/** How an execution ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly response: EndpointResponse }
  /** Run by the endpoint, which reported a failure. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** Certainly not sent; withdrawn if `mayStart` said so. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly isWithdrawn: boolean }
  | { readonly kind: 'lost'; readonly reason: string; readonly isSuspected: boolean };

/** One endpoint of an owned partition. */
export interface Endpoint {
  readonly endpointId: string;
  readonly address: string;
  readonly slots: EndpointSlots;
  /** Takes its entry in the VM list; null if it is no longer there. */
  update(vm: VmRecord | null): void;
  /** @returns whether it may get new work */
  isUsable(): boolean;
  /** @returns whether it is no longer in the VM list */
  isUnlisted(): boolean;
  /** Sends a request. Needs a free slot, which is taken before this returns. */
  run(execution: Attempt): Promise<AttemptOutcome>;
  /** Ends idle connections and probes; requests in flight go on. */
  stop(): void;
}

/** What an endpoint needs. */
export interface EndpointOptions {
  readonly vm: VmRecord;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly localAddress: string;
  readonly random: () => number;
  /** Called when a slot or the whole endpoint becomes free. */
  readonly onCapacityAvailable: () => void;
  /** Called when a slot of a former owner's request becomes free. */
  readonly onAdoptedSlotFree: (team: string) => void;
}

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;

/** Connections kept back to replace suspect ones and to probe. */
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

/** Gives connection outcomes without an answer the form of execution outcomes. */
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

/**
 * Creates one endpoint: its slots, connections and health.
 *
 * @param options entry in the VM list, clock, log and counters
 * @returns the endpoint
 */
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

  /** Takes the connection used last, so that the others can grow old and be closed. */
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

  function freeSlot(slot: Slot, execution: Attempt): void {
    slots.release(slot);
    execution.onSlotFree();
  }

  /** Tells what an answer means for the request; an answer to another request is dropped. */
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

  /** Keeps the slot of a request that got no answer in time until the request can no longer be running. */
  async function holdSlotUntilEnd(
    slot: Slot,
    execution: Attempt,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
  ): Promise<void> {
    const remaining = slot.endsBy() - clock.monotonicMilliseconds();
    const outcome = await withTimeout(clock, pending, remaining);
    if (outcome !== TIMED_OUT && outcome.kind === 'answered') {
      counters.increment('endpoints.answers.late');
      const ended = classifyAnswer(outcome, execution.request.requestId);
      if (ended.kind === 'answered') execution.onLateAnswer(ended.response);
    }
    closeConnection(connection, 'its request got no answer in time');
    freeSlot(slot, execution);
  }

  /** Slow work and a silent connection look the same, so that the endpoint itself is asked. */
  function abandonAttempt(
    slot: Slot,
    execution: Attempt,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
    isSuspected: boolean,
  ): AttemptOutcome {
    counters.increment('endpoints.connections.suspect');
    slot.markUnanswered();
    holdSlotUntilEnd(slot, execution, connection, pending);
    health.probeAfterTimeout();
    return createLostOutcome('no answer in time', isSuspected);
  }

  /** Waits for an answer until the deadline, or until the connection may be silent and a retry is allowed. */
  async function awaitAnswer(
    execution: Attempt,
    pending: Promise<ConnectionOutcome>,
    isSent: () => boolean,
  ): Promise<ConnectionOutcome | 'suspected' | 'timed-out'> {
    const { suspectAt, answerBy } = execution;
    if (suspectAt !== null && suspectAt < answerBy) {
      const limit = suspectAt - clock.monotonicMilliseconds();
      const outcome = await withTimeout(clock, pending, limit);
      if (outcome !== TIMED_OUT) return outcome;
      if (isSent() && execution.takeRetry()) return 'suspected';
    }
    const remaining = answerBy - clock.monotonicMilliseconds();
    const outcome = await withTimeout(clock, pending, remaining);
    return outcome === TIMED_OUT ? 'timed-out' : outcome;
  }

  function completeAttempt(
    slot: Slot,
    execution: Attempt,
    connection: EndpointConnection,
    outcome: ConnectionOutcome,
  ): AttemptOutcome {
    const { requestId } = execution.request;
    const ended =
      outcome.kind === 'answered' ? classifyAnswer(outcome, requestId) : toAttemptOutcome(outcome);
    recordOutcome(ended);
    if (ended.kind === 'answered' || ended.kind === 'failed') returnConnection(connection);
    else closeConnection(connection, ended.reason);
    freeSlot(slot, execution);
    return ended;
  }

  /** Ends a request whose connection was not open in time; no byte of it was sent. */
  async function abandonConnecting(
    slot: Slot,
    execution: Attempt,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
  ): Promise<AttemptOutcome> {
    const reason = 'not connected in time';
    closeConnection(connection, reason);
    const outcome = await pending;
    health.probeAfterTimeout();
    freeSlot(slot, execution);
    return outcome.kind === 'not-sent' ? outcome : createLostOutcome(reason);
  }

  async function run(execution: Attempt): Promise<AttemptOutcome> {
    const { request } = execution;
    const slot = slots.take(request.team);
    const connection = takeConnection();
    let isSent = false;
    const pending = connection.call({
      method: 'POST',
      path: '/run',
      body: JSON.stringify(request),
      confirmSend() {
        if (!execution.confirmSend()) return false;
        assertInvariant(!isLeaving, 'leaving-endpoint', () => `${endpointId} is sent new work`);
        isSent = true;
        slot.markSent();
        return true;
      },
    });
    const outcome = await awaitAnswer(execution, pending, () => isSent);
    if (typeof outcome === 'object') return completeAttempt(slot, execution, connection, outcome);
    const isSuspected = outcome === 'suspected';
    if (isSent) return abandonAttempt(slot, execution, connection, pending, isSuspected);
    return abandonConnecting(slot, execution, connection, pending);
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
