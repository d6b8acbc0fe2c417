import type { Resources } from '@chicorybend/common';

/** What an endpoint says of itself in the directory. */
export interface EndpointEntry {
  readonly endpointId: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Whether the endpoint is leaving and takes no new work. */
  readonly isDraining: boolean;
  /** Least time until a draining endpoint leaves, in milliseconds; null if unknown. */
  readonly drainRemainingMilliseconds: number | null;
  readonly capacity: Resources;
  /** Kind of hardware; work may require it. */
  readonly hardware: string;
  readonly rack: string;
  /** Start of this incarnation, in milliseconds since the Unix epoch. */
  readonly bornAt: number;
}

/** A run of a task. */
export interface RunId {
  readonly taskId: string;
  /** Number of the start of the task, from 1. */
  readonly run: number;
}

/** A run that an endpoint executes. */
export interface RunReport extends RunId {
  /** Last checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Part of its work that is done; 100 for a long-running task that is at work. */
  readonly progressPercent: number;
  /** Tail of the response times in milliseconds for a serving task, processors in use for any other. */
  readonly load: number;
}

/** How a run ended. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that has ended. */
export interface EndReport extends RunId {
  /** Grows by one with each end of an incarnation, from 1. */
  readonly sequence: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** Why an endpoint did not execute an order; nothing was done. */
export type OrderRefusal =
  /** A higher fencing token has been seen. */
  | 'fenced'
  /** A run that is not lower has been stopped or has ended there. */
  | 'superseded'
  /** The order arrived after its deadline. */
  | 'late'
  | 'no-room'
  | 'invalid-ticket'
  /** Another incarnation or endpoint answered. */
  | 'other-incarnation'
  | 'unhealthy'
  | 'invalid';

/** Outcome of an order. `unknown`: it may have been executed, or may be executed later. */
export type OrderOutcome =
  | { readonly kind: 'done'; readonly endpointClockMilliseconds: number | null }
  | { readonly kind: 'refused'; readonly reason: OrderRefusal }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Who an order is for, and the authority it is given under. */
export interface OrderTarget {
  readonly endpointId: string;
  readonly address: string;
  readonly fencingToken: number;
}

/** Order to start a run. */
export interface StartOrder extends RunId {
  readonly payload: string;
  /** Time on the clock of the endpoint until which everything there may run. */
  readonly deadlineOnEndpointMilliseconds: number;
  readonly checkpoint: string;
  /** Proof that the endpoint may run the step; null if the queue needs none. */
  readonly ticket: string | null;
}

/** Order to extend the lease of everything that runs on an endpoint, and to list it. */
export interface HoldOrder {
  /** Time on the clock of the endpoint; null reads the lists without extending. */
  readonly deadlineOnEndpointMilliseconds: number | null;
  /** Ends up to this sequence number are forgotten. */
  readonly acknowledgedSequence: number;
  /** How long the endpoint may wait for an end, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** Outcome of a hold. */
export type HoldOutcome =
  | {
      readonly kind: 'answered';
      readonly endpointClockMilliseconds: number;
      readonly bornAt: number | null;
      readonly running: readonly RunReport[];
      readonly ends: readonly EndReport[];
    }
  | { readonly kind: 'refused'; readonly reason: OrderRefusal }
  | { readonly kind: 'failed'; readonly reason: string };

/** Orders to endpoints. Each call ends within the timeout given, in milliseconds. */
export interface EndpointClient {
  start(target: OrderTarget, order: StartOrder, timeoutMilliseconds: number): Promise<OrderOutcome>;
  stop(target: OrderTarget, run: RunId, timeoutMilliseconds: number): Promise<OrderOutcome>;
  /** The timeout comes on top of the time that the endpoint may wait. */
  hold(target: OrderTarget, order: HoldOrder, timeoutMilliseconds: number): Promise<HoldOutcome>;
  /** Sets the share at which a run may work, in percent. */
  pace(
    target: OrderTarget,
    run: RunId,
    percent: number,
    timeoutMilliseconds: number,
  ): Promise<OrderOutcome>;
}

/** List of the endpoints that have checked in lately. */
export interface EndpointDirectory {
  /** @param timeoutMilliseconds limit of each call that it takes, in milliseconds */
  list(
    timeoutMilliseconds: number,
  ): Promise<
    | { readonly kind: 'answered'; readonly entries: readonly EndpointEntry[] }
    | { readonly kind: 'failed'; readonly reason: string }
  >;
}
