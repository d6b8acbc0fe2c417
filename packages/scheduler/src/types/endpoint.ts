import type { Resources } from '@chicorybend/common';

/** Entry of an endpoint in the directory. */
export interface EndpointEntry {
  readonly endpointId: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Whether the endpoint is leaving and accepts no new runs. */
  readonly isDraining: boolean;
  /** Minimum time until a draining endpoint leaves, in milliseconds; null if unknown. */
  readonly drainRemainingMilliseconds: number | null;
  readonly capacity: Resources;
  /** Labels that a step may require, such as the kind of hardware and the rack. */
  readonly labels: readonly string[];
  readonly rack: string;
  /** Start of this incarnation, in milliseconds since the Unix epoch. */
  readonly bornAt: number;
}

/** Identifies a run, which is one execution of a task on an endpoint. */
export interface RunId {
  readonly taskId: string;
  /** Sequence number of the run within its task, from 1. */
  readonly run: number;
}

/** A run that is executing, as listed by its endpoint. */
export interface RunReport extends RunId {
  /** Last checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Progress; 100 for a long-running task that is executing. */
  readonly progressPercent: number;
  /** Tail latency in milliseconds for a serving task; processors in use for any other task. */
  readonly load: number;
}

/**
 * How a run ended:
 *
 * - `done`: the task succeeded
 * - `failed`: the task failed; counts as an attempt
 * - `stopped`: stopped by an order of the owner
 * - `lapsed`: its lease expired, or its endpoint does not list it
 * - `broken`, `alone`: ended by the endpoint without a result; handled like `stopped`
 */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** The end of a run, as listed by its endpoint until it is acknowledged. */
export interface EndReport extends RunId {
  /** Sequence number of the end within the incarnation of the endpoint, from 1. */
  readonly sequence: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** Why an endpoint refused an order. A refused order has no effect. */
export type OrderRefusal =
  /** The endpoint has seen a higher fencing token. */
  | 'fenced'
  /** The same or a later run of the task has been stopped or has ended there. */
  | 'superseded'
  /** The order arrived after its deadline. */
  | 'late'
  | 'no-room'
  | 'invalid-ticket'
  /** Another incarnation or endpoint answered. */
  | 'other-incarnation'
  | 'unhealthy'
  | 'invalid';

/** Outcome of an order. `unknown`: no answer; the order may have been executed, or may be executed later. */
export type OrderOutcome =
  | { readonly kind: 'done'; readonly endpointClockMilliseconds: number | null }
  | { readonly kind: 'refused'; readonly reason: OrderRefusal }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Endpoint that an order is for, and the fencing token of the term that sends it. */
export interface OrderTarget {
  readonly endpointId: string;
  readonly address: string;
  readonly fencingToken: number;
}

/** Order to start a run. */
export interface StartOrder extends RunId {
  readonly payload: string;
  /** Time on the endpoint's clock at which the leases of all runs there expire, in milliseconds. */
  readonly deadlineOnEndpointMilliseconds: number;
  readonly checkpoint: string;
  /** Ticket of the advice service for the step; null if the queue needs none. */
  readonly ticket: string | null;
}

/** Order to renew the leases of all runs on an endpoint, and to return its lists of executing and ended runs. */
export interface HoldOrder {
  /** New lease expiry on the endpoint's clock, in milliseconds; null reads the lists without renewing. */
  readonly deadlineOnEndpointMilliseconds: number | null;
  /** The endpoint may discard ends up to this sequence number. */
  readonly acknowledgedSequence: number;
  /** How long the endpoint may delay its answer until a run ends (long poll), in milliseconds. */
  readonly waitMilliseconds: number;
}

/** Outcome of a hold. `isDisconnected`: the connection ended or was refused, other than by a timeout of the caller. */
export type HoldOutcome =
  | {
      readonly kind: 'answered';
      readonly endpointClockMilliseconds: number;
      readonly bornAt: number | null;
      readonly running: readonly RunReport[];
      readonly ends: readonly EndReport[];
    }
  | { readonly kind: 'refused'; readonly reason: OrderRefusal }
  | { readonly kind: 'failed'; readonly reason: string; readonly isDisconnected: boolean };

/** Sends orders to endpoints. Each call resolves within its timeout, in milliseconds. */
export interface EndpointClient {
  start(target: OrderTarget, order: StartOrder, timeoutMilliseconds: number): Promise<OrderOutcome>;
  stop(target: OrderTarget, run: RunId, timeoutMilliseconds: number): Promise<OrderOutcome>;
  /** The timeout is added to the wait that the order allows. */
  hold(target: OrderTarget, order: HoldOrder, timeoutMilliseconds: number): Promise<HoldOutcome>;
  /** Throttles a run to a share of its full speed, in percent. */
  pace(
    target: OrderTarget,
    run: RunId,
    percent: number,
    timeoutMilliseconds: number,
  ): Promise<OrderOutcome>;
}

/** Directory of the endpoints that have checked in recently. */
export interface EndpointDirectory {
  /** @param timeoutMilliseconds timeout of each underlying call, in milliseconds */
  list(
    timeoutMilliseconds: number,
  ): Promise<
    | { readonly kind: 'answered'; readonly entries: readonly EndpointEntry[] }
    | { readonly kind: 'failed'; readonly reason: string }
  >;
}
