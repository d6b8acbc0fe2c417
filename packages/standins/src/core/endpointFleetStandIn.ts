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

/** What is wrong with an endpoint, or with the way of all clients to it. */
export interface FleetEndpointFaults {
  /** Calls are not answered and not carried out; the endpoint runs on. */
  isCutOff: boolean;
  /** Starts are carried out this much later, without an answer, in milliseconds; null for at once. */
  unansweredStartDelayMilliseconds: number | null;
  /** Every run ends as failed. */
  failsEveryRun: boolean;
  /** Runs that start take this many times as long; Infinity for runs that stand still. */
  slowness: number;
}

/** A run as it really was. */
export interface FleetRun extends RunId {
  readonly endpointId: string;
  readonly bornAt: number;
  readonly fencingToken: number;
  readonly startedAt: number;
  endedAt: number | null;
  kind: EndKind | 'crashed' | null;
  /** When a client acknowledged the end; null if none has. */
  acknowledgedAt: number | null;
}

/** Endpoints that execute runs under leases and fencing tokens, and a record of what really ran. */
export interface EndpointFleetStandIn {
  readonly client: EndpointClient;
  readonly directory: EndpointDirectory;
  /** Advice that allows every endpoint. */
  readonly advice: AdviceClient;
  readonly history: readonly FleetRun[];
  faultsOf(endpointId: string): FleetEndpointFaults;
  /** Kills what runs on an endpoint and starts it again with no memory of before. */
  restart(endpointId: string): void;
  /** Kills an endpoint for good; the directory goes on listing it until it is unlisted. */
  kill(endpointId: string): void;
  unlist(endpointId: string): void;
  drain(endpointId: string, remainingMilliseconds: number): void;
  /** @returns what is wrong in the record: two runs of a task at once, or a run after an acknowledged success */
  violations(): string[];
}

/** Settings of the fleet. */
export interface EndpointFleetOptions {
  readonly clock: Clock;
  readonly count: number;
  readonly service: string;
  readonly capacity: Resources;
  /** Endpoints of one rack. */
  readonly rackSize: number;
  /** How long a run works, in milliseconds; Infinity for until it is stopped. */
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
  /** Highest run that was stopped or has ended here, by task. */
  highestEndedRuns: Map<string, number>;
  readonly faults: FleetEndpointFaults;
  readonly endListeners: Set<() => void>;
}

/**
 * Creates a fleet of equal endpoints named `endpoint-0` and so on.
 *
 * @param options settings
 * @returns fleet
 */
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
    endpoint.running.set(taskId, { record: record, checkpoint: '', duration });
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

  async function awaitDelivery(target: OrderTarget, timeout: number): Promise<Endpoint | null> {
    const endpoint = endpoints.get(target.endpointId);
    if (!endpoint || !endpoint.isAlive || endpoint.faults.isCutOff) {
      await sleep(clock, timeout);
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
    async start(target, order, timeout) {
      const endpoint = await awaitDelivery(target, timeout);
      if (!endpoint) return noAnswer;
      const startDelayMilliseconds = endpoint.faults.unansweredStartDelayMilliseconds;
      if (startDelayMilliseconds !== null) {
        clock.setTimer(() => executeStart(endpoint, target, order), startDelayMilliseconds);
        await sleep(clock, timeout);
        return noAnswer;
      }
      const outcome = executeStart(endpoint, target, order);
      await sleep(clock, latency / 2);
      return outcome;
    },
    async stop(target, { taskId, run }, timeout) {
      const endpoint = await awaitDelivery(target, timeout);
      if (!endpoint) return noAnswer;
      if (rejectsStaleToken(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
      const highestEndedRun = endpoint.highestEndedRuns.get(taskId) ?? 0;
      if (endpoint.running.get(taskId)?.record.run === run) {
        clock.setTimer(() => endRun(endpoint, taskId, 'stopped'), STOP_DELAY_MILLISECONDS);
      } else endpoint.highestEndedRuns.set(taskId, Math.max(highestEndedRun, run));
      await sleep(clock, latency / 2);
      return { kind: 'done', endpointClockMilliseconds: readEndpointClock(endpoint) };
    },
    async hold(target, order, timeout): Promise<HoldOutcome> {
      const endpoint = await awaitDelivery(target, order.waitMilliseconds + timeout);
      if (!endpoint) return { kind: 'failed', reason: 'lost' };
      expireLease(endpoint);
      if (rejectsStaleToken(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
      const deadline = order.deadlineOnEndpointMilliseconds;
      if (deadline !== null) extendLease(endpoint, deadline);
      acknowledge(endpoint, order.acknowledgedSequence);
      await awaitEnd(endpoint, order.waitMilliseconds);
      if (endpoint.faults.isCutOff || !endpoint.isAlive) {
        await sleep(clock, timeout);
        return { kind: 'failed', reason: 'lost' };
      }
      const outcome: HoldOutcome = {
        kind: 'answered',
        endpointClockMilliseconds: readEndpointClock(endpoint),
        bornAt: endpoint.entry.bornAt,
        running: [...endpoint.running.values()].map(({ record: record, checkpoint, duration }) => ({
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
    async pace(target, _run, _percent, timeout) {
      const endpoint = await awaitDelivery(target, timeout);
      if (!endpoint) return noAnswer;
      return { kind: 'done', endpointClockMilliseconds: readEndpointClock(endpoint) };
    },
  };

  function crash(endpoint: Endpoint): void {
    endpoint.running.forEach(({ record: record }) => {
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
    drain(endpointId, remainingMilliseconds) {
      const endpoint = endpoints.get(endpointId)!;
      endpoint.entry = {
        ...endpoint.entry,
        isDraining: true,
        drainRemainingMilliseconds: remainingMilliseconds,
      };
    },
    violations() {
      const runsByTask = new Map<string, FleetRun[]>();
      history.forEach((run) =>
        runsByTask.set(run.taskId, [...(runsByTask.get(run.taskId) ?? []), run]),
      );
      return [...runsByTask.values()].flatMap((runs) =>
        runs.flatMap((left, index) =>
          runs.slice(index + 1).flatMap((right) => {
            if (overlaps(left, right)) return [`two runs at once: ${left.taskId}`];
            const wasAcknowledgedSuccess = left.kind === 'done' && left.acknowledgedAt !== null;
            return wasAcknowledgedSuccess && right.startedAt >= left.endedAt!
              ? [`run after success: ${left.taskId}`]
              : [];
          }),
        ),
      );
    },
  };
}
