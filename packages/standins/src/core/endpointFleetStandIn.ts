import { sleep } from '@chicorybend/common';
import type { Clock, Resources } from '@chicorybend/common';
import type {
  AdviceClient,
  EndKind,
  EndpointClient,
  EndpointDirectory,
  EndpointEntry,
  EndReport,
  HoldOutcome,
  OrderOutcome,
  OrderTarget,
  RunId,
  StartOrder,
} from '@chicorybend/scheduler';

/** Faults of an endpoint; all may be changed at any time. */
export interface FleetEndpointFaults {
  /** Calls get no answer and have no effect; runs at the endpoint continue under their lease. */
  isCutOff: boolean;
  /** Start orders get no answer and are executed this much later, in milliseconds; null for no delay. */
  unansweredStartDelayMilliseconds: number | null;
  /** Every run ends as failed. */
  failsEveryRun: boolean;
  /** Factor on the duration of runs that start from now on; Infinity for runs that never end by themselves. */
  slowness: number;
}

/** Record of a run as it was executed at an endpoint. */
export interface FleetRun extends RunId {
  readonly endpointId: string;
  readonly bornAt: number;
  readonly fencingToken: number;
  readonly startedAt: number;
  endedAt: number | null;
  kind: EndKind | 'crashed' | null;
  /** Monotonic time in milliseconds at which a client acknowledged the end; null if none has. */
  acknowledgedAt: number | null;
}

/** In-memory endpoints that execute runs under leases and fencing tokens, with a record of all runs. */
export interface EndpointFleetStandIn {
  readonly client: EndpointClient;
  readonly directory: EndpointDirectory;
  /** Advice service that grants a ticket for every endpoint. */
  readonly advice: AdviceClient;
  readonly history: readonly FleetRun[];
  faultsOf(endpointId: string): FleetEndpointFaults;
  /** Crashes an endpoint and starts it as a new incarnation, without its runs, ends and fencing token. */
  restart(endpointId: string): void;
  /** Crashes an endpoint for good; the directory lists it until `unlist` is called. */
  kill(endpointId: string): void;
  unlist(endpointId: string): void;
  /** Ends a run as failed; no effect if the endpoint does not execute it. */
  failRun(endpointId: string, taskId: string): void;
  drain(endpointId: string, remainingMilliseconds: number): void;
  /** Changes the capacity in the directory entry; the endpoint executes whatever it is ordered to start. */
  resize(endpointId: string, capacity: Resources): void;
  /** @returns violations in the record: overlapping runs of a task, or a run after an acknowledged success */
  violations(): string[];
}

export interface EndpointFleetOptions {
  readonly clock: Clock;
  readonly count: number;
  readonly service: string;
  readonly capacity: Resources;
  /** Number of endpoints per rack. */
  readonly rackSize: number;
  /** Duration of a run in milliseconds; Infinity runs until stopped. */
  readonly durationOf: (order: StartOrder) => number;
  readonly latencyMilliseconds?: number;
}

const DEFAULT_LATENCY_MILLISECONDS = 5;
const MAXIMUM_LEASE_MILLISECONDS = 10_000;
const STOP_DELAY_MILLISECONDS = 50;
const FIRST_BORN_AT = 1_000;

interface Endpoint {
  entry: EndpointEntry;
  isAlive: boolean;
  clockOrigin: number;
  highestFencingToken: number;
  leaseDeadline: number;
  running: Map<string, { record: FleetRun; checkpoint: string; duration: number }>;
  unacknowledgedEnds: EndReport[];
  lastSequence: number;
  /** Highest run number that was stopped or has ended at this endpoint, by task. */
  highestEndedRuns: Map<string, number>;
  readonly faults: FleetEndpointFaults;
  readonly endListeners: Set<() => void>;
}

/** Creates a fleet of identical endpoints named `endpoint-0`, `endpoint-1` and so on. */
export function createEndpointFleetStandIn(options: EndpointFleetOptions): EndpointFleetStandIn {
  const { clock } = options;
  const latency = options.latencyMilliseconds ?? DEFAULT_LATENCY_MILLISECONDS;
  const endpoints = new Map<string, Endpoint>();
  const unlisted = new Set<string>();
  const history: FleetRun[] = [];
  let latestBornAt = FIRST_BORN_AT;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function createEndpoint(index: number): Endpoint {
    const endpointId = `endpoint-${index}`;
    return {
      entry: {
        endpointId,
        service: options.service,
        address: `10.0.0.${index + 1}:80`,
        dataCentre: 'one',
        isDraining: false,
        drainRemainingMilliseconds: null,
        capacity: options.capacity,
        hardware: 'a',
        rack: `rack-${Math.floor(index / options.rackSize)}`,
        bornAt: FIRST_BORN_AT,
      },
      isAlive: true,
      clockOrigin: now(),
      highestFencingToken: 0,
      leaseDeadline: 0,
      running: new Map(),
      unacknowledgedEnds: [],
      lastSequence: 0,
      highestEndedRuns: new Map(),
      faults: {
        isCutOff: false,
        unansweredStartDelayMilliseconds: null,
        failsEveryRun: false,
        slowness: 1,
      },
      endListeners: new Set(),
    };
  }

  for (let index = 0; index < options.count; index += 1) {
    endpoints.set(`endpoint-${index}`, createEndpoint(index));
  }

  function readEndpointClock(endpoint: Endpoint): number {
    return Math.round(now() - endpoint.clockOrigin);
  }

  function endRun(endpoint: Endpoint, taskId: string, kind: EndKind): void {
    const running = endpoint.running.get(taskId);
    if (!running) return;
    endpoint.running.delete(taskId);
    running.record.endedAt = now();
    running.record.kind = kind;
    endpoint.highestEndedRuns.set(taskId, running.record.run);
    endpoint.lastSequence += 1;
    endpoint.unacknowledgedEnds.push({
      sequence: endpoint.lastSequence,
      taskId,
      run: running.record.run,
      kind,
      checkpoint: running.checkpoint,
    });
    [...endpoint.endListeners].forEach((notify) => notify());
  }

  function expireLease(endpoint: Endpoint): void {
    if (readEndpointClock(endpoint) < endpoint.leaseDeadline) return;
    [...endpoint.running.keys()].forEach((taskId) => endRun(endpoint, taskId, 'lapsed'));
  }

  function extendLease(endpoint: Endpoint, deadline: number): void {
    const latestDeadline = readEndpointClock(endpoint) + MAXIMUM_LEASE_MILLISECONDS;
    endpoint.leaseDeadline = Math.max(endpoint.leaseDeadline, Math.min(deadline, latestDeadline));
    const { bornAt } = endpoint.entry;
    clock.setTimer(
      () => {
        if (endpoint.entry.bornAt === bornAt) expireLease(endpoint);
      },
      endpoint.leaseDeadline - readEndpointClock(endpoint),
    );
  }

  /** Returns true if the token is older than the highest one seen; otherwise records it as the highest. */
  function rejectsStaleToken(endpoint: Endpoint, { fencingToken }: OrderTarget): boolean {
    if (fencingToken < endpoint.highestFencingToken) return true;
    endpoint.highestFencingToken = fencingToken;
    return false;
  }

  function executeStart(endpoint: Endpoint, target: OrderTarget, order: StartOrder): OrderOutcome {
    expireLease(endpoint);
    if (rejectsStaleToken(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
    const { taskId, run } = order;
    const done: OrderOutcome = {
      kind: 'done',
      endpointClockMilliseconds: readEndpointClock(endpoint),
    };
    if (endpoint.running.get(taskId)?.record.run === run) return done;
    if (run <= (endpoint.highestEndedRuns.get(taskId) ?? 0)) {
      return { kind: 'refused', reason: 'superseded' };
    }
    if (order.deadlineOnEndpointMilliseconds <= readEndpointClock(endpoint)) {
      return { kind: 'refused', reason: 'late' };
    }
    extendLease(endpoint, order.deadlineOnEndpointMilliseconds);
    const record: FleetRun = {
      taskId,
      run,
      endpointId: endpoint.entry.endpointId,
      bornAt: endpoint.entry.bornAt,
      fencingToken: target.fencingToken,
      startedAt: now(),
      endedAt: null,
      kind: null,
      acknowledgedAt: null,
    };
    history.push(record);
    const duration = options.durationOf(order) * endpoint.faults.slowness;
    endpoint.running.set(taskId, { record, checkpoint: '', duration });
    const kind = endpoint.faults.failsEveryRun ? 'failed' : 'done';
    if (Number.isFinite(duration)) {
      clock.setTimer(() => {
        if (record.endedAt === null) endRun(endpoint, taskId, kind);
      }, duration);
    }
    return done;
  }

  function acknowledge(endpoint: Endpoint, sequence: number): void {
    endpoint.unacknowledgedEnds
      .filter((end) => end.sequence <= sequence)
      .forEach((end) => {
        const { bornAt, endpointId } = endpoint.entry;
        const record = history.find(
          (entry) =>
            entry.taskId === end.taskId &&
            entry.run === end.run &&
            entry.endpointId === endpointId &&
            entry.bornAt === bornAt,
        );
        if (record) record.acknowledgedAt ??= now();
      });
    endpoint.unacknowledgedEnds = endpoint.unacknowledgedEnds.filter(
      (end) => end.sequence > sequence,
    );
  }

  /** Applies latency and outage. Returns null, after the time-out, if the endpoint cannot be reached. */
  async function awaitDelivery(
    target: OrderTarget,
    timeoutMilliseconds: number,
  ): Promise<Endpoint | null> {
    const endpoint = endpoints.get(target.endpointId);
    if (!endpoint || !endpoint.isAlive || endpoint.faults.isCutOff) {
      await sleep(clock, timeoutMilliseconds);
      return null;
    }
    await sleep(clock, latency / 2);
    return endpoint;
  }

  async function awaitEnd(endpoint: Endpoint, waitMilliseconds: number): Promise<void> {
    if (endpoint.unacknowledgedEnds.length > 0 || waitMilliseconds <= 0) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        endpoint.endListeners.delete(finish);
        resolve();
      };
      endpoint.endListeners.add(finish);
      clock.setTimer(finish, waitMilliseconds);
    });
  }

  const noAnswer = { kind: 'unknown', reason: 'lost' } as const;

  const client: EndpointClient = {
    async start(target, order, timeoutMilliseconds) {
      const endpoint = await awaitDelivery(target, timeoutMilliseconds);
      if (!endpoint) return noAnswer;
      const startDelayMilliseconds = endpoint.faults.unansweredStartDelayMilliseconds;
      if (startDelayMilliseconds !== null) {
        clock.setTimer(() => executeStart(endpoint, target, order), startDelayMilliseconds);
        await sleep(clock, timeoutMilliseconds);
        return noAnswer;
      }
      const outcome = executeStart(endpoint, target, order);
      await sleep(clock, latency / 2);
      return outcome;
    },
    async stop(target, { taskId, run }, timeoutMilliseconds) {
      const endpoint = await awaitDelivery(target, timeoutMilliseconds);
      if (!endpoint) return noAnswer;
      if (rejectsStaleToken(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
      const highestEndedRun = endpoint.highestEndedRuns.get(taskId) ?? 0;
      if (endpoint.running.get(taskId)?.record.run === run) {
        clock.setTimer(() => endRun(endpoint, taskId, 'stopped'), STOP_DELAY_MILLISECONDS);
      } else endpoint.highestEndedRuns.set(taskId, Math.max(highestEndedRun, run));
      await sleep(clock, latency / 2);
      return { kind: 'done', endpointClockMilliseconds: readEndpointClock(endpoint) };
    },
    async hold(target, order, timeoutMilliseconds): Promise<HoldOutcome> {
      const endpoint = await awaitDelivery(target, order.waitMilliseconds + timeoutMilliseconds);
      if (!endpoint) return { kind: 'failed', reason: 'lost' };
      expireLease(endpoint);
      if (rejectsStaleToken(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
      const deadline = order.deadlineOnEndpointMilliseconds;
      if (deadline !== null) extendLease(endpoint, deadline);
      acknowledge(endpoint, order.acknowledgedSequence);
      await awaitEnd(endpoint, order.waitMilliseconds);
      if (endpoint.faults.isCutOff || !endpoint.isAlive) {
        await sleep(clock, timeoutMilliseconds);
        return { kind: 'failed', reason: 'lost' };
      }
      const outcome: HoldOutcome = {
        kind: 'answered',
        endpointClockMilliseconds: readEndpointClock(endpoint),
        bornAt: endpoint.entry.bornAt,
        running: [...endpoint.running.values()].map(({ record, checkpoint, duration }) => ({
          taskId: record.taskId,
          run: record.run,
          checkpoint,
          progressPercent: Math.floor((100 * (now() - record.startedAt)) / duration),
          load: 0,
        })),
        ends: [...endpoint.unacknowledgedEnds],
      };
      await sleep(clock, latency / 2);
      return outcome;
    },
    async pace(target, _run, _percent, timeoutMilliseconds) {
      const endpoint = await awaitDelivery(target, timeoutMilliseconds);
      if (!endpoint) return noAnswer;
      return { kind: 'done', endpointClockMilliseconds: readEndpointClock(endpoint) };
    },
  };

  function crash(endpoint: Endpoint): void {
    endpoint.running.forEach(({ record }) => {
      record.endedAt = now();
      record.kind = 'crashed';
    });
    endpoint.running = new Map();
  }

  function overlaps(left: FleetRun, right: FleetRun): boolean {
    return (
      (left.endedAt ?? Infinity) > right.startedAt && (right.endedAt ?? Infinity) > left.startedAt
    );
  }

  return {
    client,
    history,
    directory: {
      async list() {
        await sleep(clock, latency);
        const entries = [...endpoints.values()]
          .map(({ entry }) => entry)
          .filter(({ endpointId }) => !unlisted.has(endpointId));
        return { kind: 'answered', entries };
      },
    },
    advice: {
      async advise(stepId, endpointIds) {
        await sleep(clock, latency);
        const tickets = endpointIds.map((endpointId) => ({
          endpointId,
          ticket: `${stepId}/${endpointId}`,
        }));
        return { kind: 'answered', tickets, validMilliseconds: 2_000 };
      },
    },
    faultsOf: (endpointId) => endpoints.get(endpointId)!.faults,
    restart(endpointId) {
      const endpoint = endpoints.get(endpointId)!;
      crash(endpoint);
      latestBornAt += 1;
      endpoint.entry = { ...endpoint.entry, bornAt: latestBornAt };
      Object.assign(endpoint, {
        isAlive: true,
        clockOrigin: now(),
        highestFencingToken: 0,
        leaseDeadline: 0,
        unacknowledgedEnds: [],
        lastSequence: 0,
        highestEndedRuns: new Map(),
      });
    },
    kill(endpointId) {
      const endpoint = endpoints.get(endpointId)!;
      crash(endpoint);
      endpoint.isAlive = false;
    },
    unlist(endpointId) {
      unlisted.add(endpointId);
    },
    failRun(endpointId, taskId) {
      endRun(endpoints.get(endpointId)!, taskId, 'failed');
    },
    drain(endpointId, remainingMilliseconds) {
      const endpoint = endpoints.get(endpointId)!;
      endpoint.entry = {
        ...endpoint.entry,
        isDraining: true,
        drainRemainingMilliseconds: remainingMilliseconds,
      };
    },
    resize(endpointId, capacity) {
      const endpoint = endpoints.get(endpointId)!;
      endpoint.entry = { ...endpoint.entry, capacity };
    },
    violations() {
      const runsByTask = new Map<string, FleetRun[]>();
      history.forEach((run) =>
        runsByTask.set(run.taskId, [...(runsByTask.get(run.taskId) ?? []), run]),
      );
      return [...runsByTask.values()].flatMap((runs) =>
        runs.flatMap((left, index) =>
          runs.slice(index + 1).flatMap((right) => {
            if (overlaps(left, right)) return [`overlapping runs of task ${left.taskId}`];
            const wasAcknowledgedSuccess = left.kind === 'done' && left.acknowledgedAt !== null;
            return wasAcknowledgedSuccess && right.startedAt >= left.endedAt!
              ? [`run of task ${left.taskId} after its acknowledged success`]
              : [];
          }),
        ),
      );
    },
  };
}
