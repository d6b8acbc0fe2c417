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

import { LIVENESS_MILLISECONDS } from '../utils/interactiveTimes.js';
import { createEndpointConnection } from './endpointConnection.js';
import type { ConnectionOutcome, EndpointConnection } from './endpointConnection.js';
import { createEndpointHealth } from './endpointHealth.js';
import { createEndpointSlots } from './endpointSlots.js';
import type { EndpointSlots, Slot } from './endpointSlots.js';

/** A request for one endpoint. */
export interface Execution {
  readonly request: EndpointRequest;
  /** Monotonic time in milliseconds until which an answer is waited for. */
  readonly answerBy: number;
  /** Monotonic time in milliseconds from which a connection without an answer may be silent; null for never. */
  readonly suspectAt: number | null;
  /** Asked at that time; true ends the execution as lost, so that the request can be sent again. */
  readonly maySuspect: () => boolean;
  /** Asked in the same turn in which the request is sent. */
  readonly mayStart: () => boolean;
  /** Called when the slot is free again, which is later than the outcome if there was no answer in time. */
  readonly onSlotFree: () => void;
  /** Called with a whole answer that arrives after the execution was given up. */
  readonly onLateAnswer: (response: EndpointResponse) => void;
}

/** How an execution ended. */
export type ExecutionOutcome =
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
  isAbsent(): boolean;
  /** Sends a request. Needs a free slot, which is taken before this returns. */
  run(execution: Execution): Promise<ExecutionOutcome>;
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
  readonly onFree: () => void;
  /** Called when a slot of a former owner's request becomes free. */
  readonly onAdoptedEnd: (team: string) => void;
}

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;

/** Connections kept back to replace suspect ones and to probe. */
const CONNECTION_RESERVE = 8;

const STATUS_OK = 200;
const STATUS_FAILED = 500;
const MAXIMUM_REASON_LENGTH = 200;

const responseSchema = z.object({
  requestId: z.string(),
  endpointId: z.string(),
  result: z.unknown(),
});

function slotsOf(vm: VmRecord): number {
  const connections = (vm.connections ?? DEFAULT_CONNECTIONS) - CONNECTION_RESERVE;
  return Math.max(0, Math.min(vm.slots ?? DEFAULT_SLOTS, connections));
}

function createLost(reason: string, isSuspected = false): ExecutionOutcome {
  return { kind: 'lost', reason, isSuspected };
}

/** Gives connection outcomes without an answer the form of execution outcomes. */
function describeUnanswered(
  outcome: Exclude<ConnectionOutcome, { kind: 'answered' }>,
): ExecutionOutcome {
  return outcome.kind === 'lost' ? createLost(outcome.reason) : outcome;
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
  const idle: EndpointConnection[] = [];
  let { vm } = options;
  let isLeaving = vm.state === 'leaving';
  let isAbsent = false;
  let isStopped = false;

  const slots = createEndpointSlots({
    clock,
    limit: slotsOf(vm),
    onAdoptedEnd(team) {
      options.onAdoptedEnd(team);
      options.onFree();
    },
  });
  const health = createEndpointHealth({
    ...options,
    endpointId,
    probe,
    onReadmitted: options.onFree,
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

  function discard(connection: EndpointConnection, reason: string): void {
    connections.delete(connection);
    connection.destroy(reason);
  }

  /** Takes the connection used last, so that the others can grow old and be closed. */
  function takeConnection(): EndpointConnection {
    for (let connection = idle.pop(); connection; connection = idle.pop()) {
      if (connection.isReusable()) return connection;
      discard(connection, 'idle for too long');
    }
    return openConnection();
  }

  function returnConnection(connection: EndpointConnection): void {
    if (isStopped || !connection.isReusable()) discard(connection, 'not reusable');
    else idle.push(connection);
  }

  async function probe(): Promise<boolean> {
    const connection = openConnection();
    const call = { method: 'GET', path: '/health', body: null, mayStart: () => true } as const;
    const outcome = await withTimeout(clock, connection.call(call), LIVENESS_MILLISECONDS);
    discard(connection, 'probe ended');
    return outcome !== TIMED_OUT && outcome.kind === 'answered' && outcome.status < STATUS_FAILED;
  }

  function freeSlot(slot: Slot, execution: Execution): void {
    slots.release(slot);
    execution.onSlotFree();
  }

  /** Tells what an answer means for the request; an answer to another request is dropped. */
  function interpret(
    outcome: Extract<ConnectionOutcome, { kind: 'answered' }>,
    requestId: string,
  ): ExecutionOutcome {
    if (outcome.status === STATUS_FAILED) {
      return { kind: 'failed', reason: outcome.body.slice(0, MAXIMUM_REASON_LENGTH) };
    }
    if (outcome.status !== STATUS_OK) {
      return createLost(`status ${outcome.status}`);
    }
    const response = parseResponse(outcome.body);
    if (!response) return createLost('the answer does not match the schema');
    if (response.requestId !== requestId) {
      counters.increment('endpoints.answers.crossed');
      return createLost('the answer belongs to another request');
    }
    return { kind: 'answered', response };
  }

  function recordOutcome(outcome: ExecutionOutcome): void {
    if (outcome.kind === 'answered') health.recordSuccess();
    else if (outcome.kind !== 'not-sent' || !outcome.isWithdrawn) health.recordFailure();
  }

  /** Keeps the slot of a request that got no answer in time until the request can no longer be running. */
  async function linger(
    slot: Slot,
    execution: Execution,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
  ): Promise<void> {
    const remaining = slot.endsBy() - clock.monotonicMilliseconds();
    const outcome = await withTimeout(clock, pending, remaining);
    if (outcome !== TIMED_OUT && outcome.kind === 'answered') {
      counters.increment('endpoints.answers.late');
      const ended = interpret(outcome, execution.request.requestId);
      if (ended.kind === 'answered') execution.onLateAnswer(ended.response);
    }
    discard(connection, 'its request got no answer in time');
    freeSlot(slot, execution);
  }

  /** Slow work and a silent connection look the same, so that the endpoint itself is asked. */
  function giveUp(
    slot: Slot,
    execution: Execution,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
    isSuspected: boolean,
  ): ExecutionOutcome {
    counters.increment('endpoints.connections.suspect');
    slot.hold();
    linger(slot, execution, connection, pending);
    health.verify();
    return createLost('no answer in time', isSuspected);
  }

  /** Waits for an answer until the deadline, or until the connection may be silent and a retry is allowed. */
  async function awaitAnswer(
    execution: Execution,
    pending: Promise<ConnectionOutcome>,
    isSent: () => boolean,
  ): Promise<ConnectionOutcome | 'suspected' | 'timed-out'> {
    const { suspectAt, answerBy } = execution;
    if (suspectAt !== null && suspectAt < answerBy) {
      const limit = suspectAt - clock.monotonicMilliseconds();
      const outcome = await withTimeout(clock, pending, limit);
      if (outcome !== TIMED_OUT) return outcome;
      if (isSent() && execution.maySuspect()) return 'suspected';
    }
    const remaining = answerBy - clock.monotonicMilliseconds();
    const outcome = await withTimeout(clock, pending, remaining);
    return outcome === TIMED_OUT ? 'timed-out' : outcome;
  }

  function finish(
    slot: Slot,
    execution: Execution,
    connection: EndpointConnection,
    outcome: ConnectionOutcome,
  ): ExecutionOutcome {
    const { requestId } = execution.request;
    const ended =
      outcome.kind === 'answered' ? interpret(outcome, requestId) : describeUnanswered(outcome);
    recordOutcome(ended);
    if (ended.kind === 'answered' || ended.kind === 'failed') returnConnection(connection);
    else discard(connection, ended.reason);
    freeSlot(slot, execution);
    return ended;
  }

  /** Ends a request whose connection was not open in time; no byte of it was sent. */
  async function giveUpConnecting(
    slot: Slot,
    execution: Execution,
    connection: EndpointConnection,
    pending: Promise<ConnectionOutcome>,
  ): Promise<ExecutionOutcome> {
    const reason = 'not connected in time';
    discard(connection, reason);
    const outcome = await pending;
    health.verify();
    freeSlot(slot, execution);
    return outcome.kind === 'not-sent' ? outcome : createLost(reason);
  }

  async function run(execution: Execution): Promise<ExecutionOutcome> {
    const { request } = execution;
    const slot = slots.take(request.team);
    const connection = takeConnection();
    let isSent = false;
    const pending = connection.call({
      method: 'POST',
      path: '/run',
      body: JSON.stringify(request),
      mayStart() {
        if (!execution.mayStart()) return false;
        assertInvariant(!isLeaving, 'leaving-endpoint', () => `${endpointId} is sent new work`);
        isSent = true;
        slot.start();
        return true;
      },
    });
    const outcome = await awaitAnswer(execution, pending, () => isSent);
    if (typeof outcome === 'object') return finish(slot, execution, connection, outcome);
    const isSuspected = outcome === 'suspected';
    if (isSent) return giveUp(slot, execution, connection, pending, isSuspected);
    return giveUpConnecting(slot, execution, connection, pending);
  }

  return {
    endpointId,
    address,
    slots,
    run,
    update(next) {
      isAbsent = next === null;
      isLeaving = next === null || next.state === 'leaving';
      if (!next) return;
      vm = next;
      slots.setLimit(slotsOf(next));
    },
    isAbsent: () => isAbsent,
    isUsable: () => !isLeaving && !isStopped && !health.isEjected(),
    stop() {
      isStopped = true;
      health.stop();
      slots.stop();
      idle.splice(0).forEach((connection) => discard(connection, 'the partition was closed'));
    },
  };
}
