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
export interface FleetFaults {
  /** Calls are not answered and not carried out; the endpoint runs on. */
  isCutOff: boolean;
  /** Starts are carried out this much later, without an answer, in milliseconds; null for at once. */
  lateStartMilliseconds: number | null;
  /** Every run ends as failed. */
  failsAll: boolean;
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
  faultsOf(endpointId: string): FleetFaults;
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
const MAXIMUM_HOLD_MILLISECONDS = 10_000;
const STOP_MILLISECONDS = 50;
const FIRST_BIRTH = 1_000;

interface Endpoint {
  entry: EndpointEntry;
  isAlive: boolean;
  clockOrigin: number;
  fence: number;
  deadline: number;
  running: Map<string, { run: FleetRun; checkpoint: string; duration: number }>;
  ends: EndReport[];
  lastSequence: number;
  /** Highest run that was stopped or has ended here, by task. */
  superseded: Map<string, number>;
  readonly faults: FleetFaults;
  readonly wake: Set<() => void>;
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
  let births = FIRST_BIRTH;

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
        bornAt: FIRST_BIRTH,
      },
      isAlive: true,
      clockOrigin: now(),
      fence: 0,
      deadline: 0,
      running: new Map(),
      ends: [],
      lastSequence: 0,
      superseded: new Map(),
      faults: { isCutOff: false, lateStartMilliseconds: null, failsAll: false, slowness: 1 },
      wake: new Set(),
    };
  }

  for (let index = 0; index < options.count; index += 1) {
    endpoints.set(`endpoint-${index}`, createEndpoint(index));
  }

  function clockOf(endpoint: Endpoint): number {
    return Math.round(now() - endpoint.clockOrigin);
  }

  function endRun(endpoint: Endpoint, taskId: string, kind: EndKind): void {
    const running = endpoint.running.get(taskId);
    if (!running) return;
    endpoint.running.delete(taskId);
    running.run.endedAt = now();
    running.run.kind = kind;
    endpoint.superseded.set(taskId, running.run.run);
    endpoint.lastSequence += 1;
    endpoint.ends.push({
      sequence: endpoint.lastSequence,
      taskId,
      run: running.run.run,
      kind,
      checkpoint: running.checkpoint,
    });
    [...endpoint.wake].forEach((wake) => wake());
  }

  function checkLease(endpoint: Endpoint): void {
    if (clockOf(endpoint) < endpoint.deadline) return;
    [...endpoint.running.keys()].forEach((taskId) => endRun(endpoint, taskId, 'lapsed'));
  }

  function extend(endpoint: Endpoint, deadline: number): void {
    const longest = clockOf(endpoint) + MAXIMUM_HOLD_MILLISECONDS;
    endpoint.deadline = Math.max(endpoint.deadline, Math.min(deadline, longest));
    const { bornAt } = endpoint.entry;
    clock.setTimer(
      () => {
        if (endpoint.entry.bornAt === bornAt) checkLease(endpoint);
      },
      endpoint.deadline - clockOf(endpoint),
    );
  }

  function isFenced(endpoint: Endpoint, { fencingToken }: OrderTarget): boolean {
    if (fencingToken < endpoint.fence) return true;
    endpoint.fence = fencingToken;
    return false;
  }

  function executeStart(endpoint: Endpoint, target: OrderTarget, order: StartOrder): OrderOutcome {
    checkLease(endpoint);
    if (isFenced(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
    const { taskId, run } = order;
    const done: OrderOutcome = { kind: 'done', endpointClockMilliseconds: clockOf(endpoint) };
    if (endpoint.running.get(taskId)?.run.run === run) return done;
    if (run <= (endpoint.superseded.get(taskId) ?? 0)) {
      return { kind: 'refused', reason: 'superseded' };
    }
    if (order.deadlineOnEndpointMilliseconds <= clockOf(endpoint)) {
      return { kind: 'refused', reason: 'late' };
    }
    extend(endpoint, order.deadlineOnEndpointMilliseconds);
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
    endpoint.running.set(taskId, { run: record, checkpoint: '', duration });
    const kind = endpoint.faults.failsAll ? 'failed' : 'done';
    if (Number.isFinite(duration)) {
      clock.setTimer(() => {
        if (record.endedAt === null) endRun(endpoint, taskId, kind);
      }, duration);
    }
    return done;
  }

  function acknowledge(endpoint: Endpoint, sequence: number): void {
    endpoint.ends
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
    endpoint.ends = endpoint.ends.filter((end) => end.sequence > sequence);
  }

  async function reach(target: OrderTarget, timeout: number): Promise<Endpoint | null> {
    const endpoint = endpoints.get(target.endpointId);
    if (!endpoint || !endpoint.isAlive || endpoint.faults.isCutOff) {
      await sleep(clock, timeout);
      return null;
    }
    await sleep(clock, latency / 2);
    return endpoint;
  }

  async function awaitEnd(endpoint: Endpoint, waitMilliseconds: number): Promise<void> {
    if (endpoint.ends.length > 0 || waitMilliseconds <= 0) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        endpoint.wake.delete(finish);
        resolve();
      };
      endpoint.wake.add(finish);
      clock.setTimer(finish, waitMilliseconds);
    });
  }

  const lost = { kind: 'unknown', reason: 'lost' } as const;

  const client: EndpointClient = {
    async start(target, order, timeout) {
      const endpoint = await reach(target, timeout);
      if (!endpoint) return lost;
      const late = endpoint.faults.lateStartMilliseconds;
      if (late !== null) {
        clock.setTimer(() => executeStart(endpoint, target, order), late);
        await sleep(clock, timeout);
        return lost;
      }
      const outcome = executeStart(endpoint, target, order);
      await sleep(clock, latency / 2);
      return outcome;
    },
    async stop(target, { taskId, run }, timeout) {
      const endpoint = await reach(target, timeout);
      if (!endpoint) return lost;
      if (isFenced(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
      const known = endpoint.superseded.get(taskId) ?? 0;
      if (endpoint.running.get(taskId)?.run.run === run) {
        clock.setTimer(() => endRun(endpoint, taskId, 'stopped'), STOP_MILLISECONDS);
      } else endpoint.superseded.set(taskId, Math.max(known, run));
      await sleep(clock, latency / 2);
      return { kind: 'done', endpointClockMilliseconds: clockOf(endpoint) };
    },
    async hold(target, order, timeout): Promise<HoldOutcome> {
      const endpoint = await reach(target, order.waitMilliseconds + timeout);
      if (!endpoint) return { kind: 'failed', reason: 'lost' };
      checkLease(endpoint);
      if (isFenced(endpoint, target)) return { kind: 'refused', reason: 'fenced' };
      const deadline = order.deadlineOnEndpointMilliseconds;
      if (deadline !== null) extend(endpoint, deadline);
      acknowledge(endpoint, order.acknowledgedSequence);
      await awaitEnd(endpoint, order.waitMilliseconds);
      if (endpoint.faults.isCutOff || !endpoint.isAlive) {
        await sleep(clock, timeout);
        return { kind: 'failed', reason: 'lost' };
      }
      const outcome: HoldOutcome = {
        kind: 'answered',
        endpointClockMilliseconds: clockOf(endpoint),
        bornAt: endpoint.entry.bornAt,
        running: [...endpoint.running.values()].map(({ run, checkpoint, duration }) => ({
          taskId: run.taskId,
          run: run.run,
          checkpoint,
          progressPercent: Math.floor((100 * (now() - run.startedAt)) / duration),
          load: 0,
        })),
        ends: [...endpoint.ends],
      };
      await sleep(clock, latency / 2);
      return outcome;
    },
    async pace(target, _run, _percent, timeout) {
      const endpoint = await reach(target, timeout);
      if (!endpoint) return lost;
      return { kind: 'done', endpointClockMilliseconds: clockOf(endpoint) };
    },
  };

  function crash(endpoint: Endpoint): void {
    endpoint.running.forEach(({ run }) => {
      run.endedAt = now();
      run.kind = 'crashed';
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
      births += 1;
      endpoint.entry = { ...endpoint.entry, bornAt: births };
      Object.assign(endpoint, {
        isAlive: true,
        clockOrigin: now(),
        fence: 0,
        deadline: 0,
        ends: [],
        lastSequence: 0,
        superseded: new Map(),
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
      const byTask = new Map<string, FleetRun[]>();
      history.forEach((run) => byTask.set(run.taskId, [...(byTask.get(run.taskId) ?? []), run]));
      return [...byTask.values()].flatMap((runs) =>
        runs.flatMap((left, index) =>
          runs.slice(index + 1).flatMap((right) => {
            if (overlaps(left, right)) return [`two runs at once: ${left.taskId}`];
            const wasDone = left.kind === 'done' && left.acknowledgedAt !== null;
            return wasDone && right.startedAt >= left.endedAt!
              ? [`run after success: ${left.taskId}`]
              : [];
          }),
        ),
      );
    },
  };
}
