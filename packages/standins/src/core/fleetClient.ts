import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import type {
  EndpointClient,
  HoldOrder,
  HoldOutcome,
  OrderOutcome,
  OrderRefusal,
  OrderTarget,
  RunId,
} from '@chicorybend/scheduler';

import type { FleetEndpointFaults, FleetLateOrder } from '../types/fleet.js';
import type { FleetEndpoint } from './fleetEndpoint.js';

export interface FleetClientOptions {
  readonly clock: Clock;
  /** Delay of a call and its answer, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** @returns number in [0, 1) */
  readonly random: () => number;
  readonly onLateOrder: (order: FleetLateOrder) => void;
  /** @returns the latest endpoint at the address of the given one */
  readonly endpointAt: (endpointId: string) => FleetEndpoint | undefined;
}

/** Why a call did not reach its endpoint: no answer, or refused. */
type Undelivered = 'lost' | OrderRefusal;

type Delivery = { readonly endpoint: FleetEndpoint } | { readonly failure: Undelivered };

interface DelayedOrder {
  readonly endpoint: FleetEndpoint;
  /** Time until it is executed, in milliseconds. */
  readonly delay: number;
}

const NO_ANSWER = { kind: 'unknown', reason: 'lost' } as const;

/** Creates a client whose calls are subject to the faults of the endpoints. */
export function createFleetClient(options: FleetClientOptions): EndpointClient {
  const { clock, latencyMilliseconds: latency } = options;

  function isReachable(endpoint: FleetEndpoint | undefined): endpoint is FleetEndpoint {
    return endpoint !== undefined && endpoint.state !== 'silent' && !endpoint.faults.isCutOff;
  }

  /** Applies latency and outage; a call to an endpoint that cannot be reached fails after the timeout. */
  async function deliver(target: OrderTarget, timeoutMilliseconds: number): Promise<Delivery> {
    if (!isReachable(options.endpointAt(target.endpointId))) {
      await sleep(clock, timeoutMilliseconds);
      return { failure: 'lost' };
    }
    await sleep(clock, latency / 2);
    const endpoint = options.endpointAt(target.endpointId)!;
    if (endpoint.state !== 'up') return { failure: 'unhealthy' };
    const isIntended = endpoint.entry.endpointId === target.endpointId;
    return isIntended ? { endpoint } : { failure: 'other-incarnation' };
  }

  /** The connection of a call in flight closes when its endpoint goes down; a cut-off caller does not notice. */
  function closeOnDown<Outcome>(
    endpoint: FleetEndpoint,
    call: Promise<Outcome>,
    closed: Outcome,
  ): Promise<Outcome> {
    return new Promise((resolve) => {
      const removeListener = endpoint.onDown(() => {
        if (isReachable(endpoint)) resolve(closed);
      });
      void call.then((outcome) => {
        removeListener();
        resolve(outcome);
      });
    });
  }

  /** Executes an order and returns its outcome with the latency of the answer. */
  async function order(
    target: OrderTarget,
    timeoutMilliseconds: number,
    execute: (endpoint: FleetEndpoint) => OrderOutcome,
  ): Promise<OrderOutcome> {
    const delivery = await deliver(target, timeoutMilliseconds);
    if ('failure' in delivery) {
      const { failure } = delivery;
      return failure === 'lost' ? NO_ANSWER : { kind: 'refused', reason: failure };
    }
    const answer = async () => {
      const outcome = execute(delivery.endpoint);
      await sleep(clock, latency / 2);
      return outcome;
    };
    return closeOnDown(delivery.endpoint, answer(), NO_ANSWER);
  }

  async function answerHold(
    endpoint: FleetEndpoint,
    waitMilliseconds: number,
    timeoutMilliseconds: number,
  ): Promise<HoldOutcome> {
    await endpoint.awaitEnd(waitMilliseconds);
    if (endpoint.faults.isCutOff || endpoint.state !== 'up') {
      await sleep(clock, timeoutMilliseconds);
      return { kind: 'failed', reason: 'lost', isDisconnected: false };
    }
    const outcome = endpoint.describe();
    await sleep(clock, latency / 2);
    return outcome;
  }

  /** @returns the endpoint whose orders are delayed, and by how much; null if an order to it is delivered at once */
  function findDelay(
    target: OrderTarget,
    delayOf: (faults: FleetEndpointFaults) => number | null,
  ): DelayedOrder | null {
    const endpoint = options.endpointAt(target.endpointId);
    if (!isReachable(endpoint) || endpoint.state !== 'up') return null;
    const delay = delayOf(endpoint.faults);
    if (delay === null) return null;
    const { lateOrderFraction } = endpoint.faults;
    const isLate = lateOrderFraction >= 1 || options.random() < lateOrderFraction;
    return isLate ? { endpoint, delay } : null;
  }

  /** Leaves an order in flight, so that it is executed late, possibly by a later incarnation. */
  function executeLate(
    { endpoint, delay }: DelayedOrder,
    text: string,
    target: OrderTarget,
    timeoutMilliseconds: number,
    execute: (receiver: FleetEndpoint) => void,
  ): Promise<typeof NO_ANSWER> {
    const sentAt = clock.monotonicMilliseconds();
    const sentToBornAt = endpoint.entry.bornAt;
    clock.setTimer(() => {
      const receiver = options.endpointAt(target.endpointId);
      const isIntended = receiver?.entry.endpointId === target.endpointId;
      if (!isIntended || receiver.state !== 'up') return;
      const receivedByBornAt = receiver.entry.bornAt;
      options.onLateOrder({ text, target, sentAt, sentToBornAt, receivedByBornAt });
      execute(receiver);
    }, delay);
    const timeout = sleep(clock, timeoutMilliseconds).then(() => NO_ANSWER);
    return closeOnDown(endpoint, timeout, NO_ANSWER);
  }

  /** Executes the order of a run, late and without an answer if it is delayed. */
  function orderRun(
    name: 'start' | 'stop',
    target: OrderTarget,
    { taskId, run }: RunId,
    timeoutMilliseconds: number,
    execute: (endpoint: FleetEndpoint) => OrderOutcome,
  ): Promise<OrderOutcome> {
    const delayed = findDelay(target, (faults) =>
      name === 'start'
        ? faults.unansweredStartDelayMilliseconds
        : faults.unansweredStopDelayMilliseconds,
    );
    if (!delayed) return order(target, timeoutMilliseconds, execute);
    const text = `${name} of ${taskId} run ${run}`;
    return executeLate(delayed, text, target, timeoutMilliseconds, execute);
  }

  /** @returns whether the order was executed, because its fencing token is not stale */
  function executeHold(
    endpoint: FleetEndpoint,
    target: OrderTarget,
    holdOrder: HoldOrder,
  ): boolean {
    endpoint.expireLease();
    if (endpoint.rejectsStaleToken(target)) return false;
    const { deadlineOnEndpointMilliseconds: deadline } = holdOrder;
    if (deadline !== null) endpoint.extendLease(deadline);
    endpoint.acknowledge(holdOrder.acknowledgedSequence);
    return true;
  }

  return {
    start: (target, startOrder, timeoutMilliseconds) =>
      orderRun('start', target, startOrder, timeoutMilliseconds, (endpoint) =>
        endpoint.start(target, startOrder),
      ),
    stop: (target, run, timeoutMilliseconds) =>
      orderRun('stop', target, run, timeoutMilliseconds, (endpoint) =>
        endpoint.rejectsStaleToken(target)
          ? { kind: 'refused', reason: 'fenced' }
          : endpoint.stop(run),
      ),
    async hold(target, holdOrder, timeoutMilliseconds) {
      const { waitMilliseconds } = holdOrder;
      const delayed = findDelay(target, (faults) => faults.unansweredHoldDelayMilliseconds);
      if (delayed) {
        const execute = (endpoint: FleetEndpoint) => executeHold(endpoint, target, holdOrder);
        const timeout = waitMilliseconds + timeoutMilliseconds;
        await executeLate(delayed, 'hold', target, timeout, execute);
        return { kind: 'failed', reason: 'lost', isDisconnected: false };
      }
      const delivery = await deliver(target, waitMilliseconds + timeoutMilliseconds);
      if ('failure' in delivery) {
        const { failure } = delivery;
        if (failure === 'lost') return { kind: 'failed', reason: 'lost', isDisconnected: false };
        return failure === 'unhealthy'
          ? { kind: 'failed', reason: 'connection refused', isDisconnected: true }
          : { kind: 'refused', reason: failure };
      }
      const { endpoint } = delivery;
      if (!executeHold(endpoint, target, holdOrder)) return { kind: 'refused', reason: 'fenced' };
      return closeOnDown(endpoint, answerHold(endpoint, waitMilliseconds, timeoutMilliseconds), {
        kind: 'failed',
        reason: 'connection closed',
        isDisconnected: true,
      });
    },
    pace: (target, _run, _percent, timeoutMilliseconds) =>
      order(target, timeoutMilliseconds, () => ({
        kind: 'done',
        endpointClockMilliseconds: null,
      })),
  };
}
