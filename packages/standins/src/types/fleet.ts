import type { Clock, Resources } from '@chicorybend/common';
import type {
  AdviceClient,
  EndKind,
  EndpointClient,
  EndpointDirectory,
  EndpointEntry,
  OrderTarget,
  RunId,
  StartOrder,
} from '@chicorybend/scheduler';

/** Faults of the machine of an endpoint; all may be changed at any time. */
export interface FleetEndpointFaults {
  /** Calls get no answer and have no effect; runs at the endpoint continue under their lease. */
  isCutOff: boolean;
  /** Start orders get no answer and are executed this much later, in milliseconds; null for no delay. */
  unansweredStartDelayMilliseconds: number | null;
  /** Holds get no answer and are executed this much later, in milliseconds; null for no delay. */
  unansweredHoldDelayMilliseconds: number | null;
  /** Stop orders get no answer and are executed this much later, in milliseconds; null for no delay. */
  unansweredStopDelayMilliseconds: number | null;
  /** Fraction of the orders that these delays apply to, in (0, 1]; the others are delivered at once. */
  lateOrderFraction: number;
  /** Every run ends as failed. */
  failsEveryRun: boolean;
  /** Factor on the duration of runs that start from now on; Infinity for runs that never end by themselves. */
  slowness: number;
}

/** How a run ended; `released`: its endpoint left after a drain. */
export type FleetEndKind = EndKind | 'crashed' | 'released';

/** Record of a run as it was executed at an endpoint. */
export interface FleetRun extends RunId {
  readonly endpointId: string;
  readonly bornAt: number;
  readonly fencingToken: number;
  readonly resources: Resources;
  readonly startedAt: number;
  endedAt: number | null;
  kind: FleetEndKind | null;
  /**
   * Monotonic time in milliseconds at which a client acknowledged the end; null if none has, or not before the lease
   * of the endpoint lapsed, by when the run may have been repeated.
   */
  acknowledgedAt: number | null;
}

/** The gang of a run. */
export interface FleetGangMembership {
  readonly gangId: string;
  /** Number of members. */
  readonly size: number;
}

/** A start that exceeded the capacity of its endpoint. */
export interface FleetOverload {
  readonly run: FleetRun;
  /** Resources of all runs there, including the new one. */
  readonly used: Resources;
  readonly capacity: Resources;
}

/** An order that was left in flight and reaches its endpoint. */
export interface FleetLateOrder {
  /** The order, for a trace. */
  readonly text: string;
  readonly target: OrderTarget;
  /** When it was sent, in monotonic milliseconds. */
  readonly sentAt: number;
  /** Starts of the incarnations that it was sent to and that receives it, in milliseconds since the Unix epoch. */
  readonly sentToBornAt: number;
  readonly receivedByBornAt: number;
}

/** How the machine of an endpoint that went down comes back. */
export interface FleetRestart {
  /** Time until the machine is up again, in milliseconds. Connections are refused until then. */
  readonly downMilliseconds: number;
  /** Whether it keeps its id and gets a later start time; otherwise it has a new id at the same address. */
  readonly keepsId: boolean;
}

/** In-memory endpoints that execute runs under leases and fencing tokens, with a record of all runs. */
export interface EndpointFleetStandIn {
  readonly client: EndpointClient;
  readonly directory: EndpointDirectory;
  /** Advice service that grants a ticket for every endpoint. */
  readonly advice: AdviceClient;
  readonly history: readonly FleetRun[];
  readonly overloads: readonly FleetOverload[];
  faultsOf(endpointId: string): FleetEndpointFaults;
  /** @returns latest entry of each machine, up or down */
  entries(): EndpointEntry[];
  isUp(endpointId: string): boolean;
  /** Crashes an endpoint and starts it as a new incarnation, without its runs, ends and fencing token. */
  restart(endpointId: string): void;
  /**
   * Crashes an endpoint, which comes back later. The directory lists the crashed one until it has missed three
   * heartbeats. No effect if it is down.
   */
  crash(endpointId: string, restart: FleetRestart): void;
  /** Crashes an endpoint for good; the directory lists it until `unlist` is called. */
  kill(endpointId: string): void;
  unlist(endpointId: string): void;
  /** Adds an entry to the directory. */
  list(entry: EndpointEntry): void;
  /** Ends a run as failed; no effect if the endpoint does not execute it. */
  failRun(endpointId: string, taskId: string): void;
  drain(endpointId: string, remainingMilliseconds: number): void;
  /** Takes an endpoint off the directory and shuts it down. A fresh endpoint takes its place later. */
  release(endpointId: string, downMilliseconds: number): void;
  /** Changes the capacity of an endpoint; its runs continue. */
  resize(endpointId: string, capacity: Resources): void;
  /** @returns violations in the record: overlapping runs of a task, or a run after an acknowledged success */
  violations(): string[];
  /** @returns number of incarnations that crashed while they executed a run of the task */
  crashesUnder(taskId: string): number;
  /** @returns number of starts of a task after that many incarnations had crashed under it */
  startsAfterCrashes(taskId: string, crashes: number): number;
}

export interface EndpointFleetOptions {
  readonly clock: Clock;
  readonly count: number;
  readonly service: string;
  readonly capacity: Resources;
  /** Number of endpoints per rack. */
  readonly rackSize: number;
  /** Data centre of an endpoint by its index; `one` by default. */
  readonly dataCentreOf?: (index: number) => string;
  /** Duration of a run in milliseconds; Infinity runs until stopped. */
  readonly durationOf: (order: StartOrder) => number;
  /** Resources of a run; one processor by default. */
  readonly resourcesOf?: (order: StartOrder) => Resources;
  /** Gang of a run; null, the default, for a run that works by itself. */
  readonly gangOf?: (order: StartOrder) => FleetGangMembership | null;
  /** Time from the execution of a start until the run crashes its endpoint, in milliseconds; null for no crash. */
  readonly crashDelayOf?: (order: StartOrder) => number | null;
  /** How endpoints that a run has crashed come back; under a new id after 3 s by default. */
  readonly restartAfterRunCrash?: FleetRestart;
  readonly latencyMilliseconds?: number;
  /** Numbers in [0, 1) that decide which orders are late if only a fraction is; always 0.5 by default. */
  readonly random?: () => number;
  /** Called before a late order is executed. */
  readonly onLateOrder?: (order: FleetLateOrder) => void;
  /** Called when an incarnation goes down, and when the next one on its machine has started. */
  readonly onStateChange?: (entry: EndpointEntry, isUp: boolean) => void;
}
