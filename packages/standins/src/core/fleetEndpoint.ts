import type { Clock, Resources } from '@chicorybend/common';
import type {
  EndKind,
  EndpointEntry,
  EndReport,
  HoldOutcome,
  OrderOutcome,
  OrderTarget,
  RunId,
  RunReport,
  StartOrder,
} from '@chicorybend/scheduler';

import type {
  FleetEndKind,
  FleetEndpointFaults,
  FleetGangMembership,
  FleetRun,
} from '../types/fleet.js';
import type { FleetGangs } from './fleetGangs.js';

const MAXIMUM_LEASE_MILLISECONDS = 10_000;
const STOP_DELAY_MILLISECONDS = 50;
/** Maximum number of ends in one list, as on the platform. */
const MAXIMUM_LISTED_ENDS = 500;
/** Timers of the system clock can fire early by about a millisecond. */
const EARLY_TIMER_MILLISECONDS = 2;

interface ExecutingRun {
  readonly record: FleetRun;
  readonly checkpoint: string;
  readonly duration: number;
  readonly gang: FleetGangMembership | null;
}

/** State of an incarnation; calls get no answer if it is `silent`, and connections are refused if it is `down`. */
export type IncarnationState = 'up' | 'silent' | 'down';

/** One incarnation of an endpoint. */
export interface FleetEndpoint {
  entry: EndpointEntry;
  state: IncarnationState;
  readonly faults: FleetEndpointFaults;
  runs(): FleetRun[];
  /** @returns true if the token is older than the highest one seen; otherwise records it as the highest */
  rejectsStaleToken(target: OrderTarget): boolean;
  start(target: OrderTarget, order: StartOrder): OrderOutcome;
  stop(run: RunId): OrderOutcome;
  extendLease(deadline: number): void;
  expireLease(): void;
  acknowledge(sequence: number): void;
  /** Resolves once there are unacknowledged ends, the time is up, or the endpoint is down. */
  awaitEnd(waitMilliseconds: number): Promise<void>;
  describe(): HoldOutcome;
  endRun(taskId: string, kind: EndKind): void;
  /** Ends all runs without reports, and the calls in flight. */
  takeDown(state: Exclude<IncarnationState, 'up'>, kind: FleetEndKind): void;
  /** @param listener called when the incarnation goes down @returns function that removes it */
  onDown(listener: () => void): () => void;
}

export interface FleetEndpointOptions {
  readonly clock: Clock;
  readonly entry: EndpointEntry;
  readonly faults: FleetEndpointFaults;
  readonly durationOf: (order: StartOrder) => number;
  readonly resourcesOf: (order: StartOrder) => Resources;
  readonly gangOf: (order: StartOrder) => FleetGangMembership | null;
  readonly gangs: FleetGangs;
  /** Called when a start has been executed. */
  readonly onStart: (record: FleetRun, order: StartOrder) => void;
}

export function createFleetEndpoint(options: FleetEndpointOptions): FleetEndpoint {
  const { clock, faults } = options;
  const clockOrigin = clock.monotonicMilliseconds();
  /** By task id and run; a late start of a lower run may be executed beside a higher one. */
  const executing = new Map<string, ExecutingRun>();
  /** Highest run number that was stopped or has ended, by task. */
  const highestEndedRuns = new Map<string, number>();
  const ended: FleetRun[] = [];
  const endListeners = new Set<() => void>();
  const downListeners = new Set<() => void>();
  let unacknowledgedEnds: EndReport[] = [];
  let lastSequence = 0;
  let highestFencingToken = 0;
  let leaseDeadline = 0;
  /** When the lease last lapsed, in monotonic milliseconds. */
  let lapsedAt = -Infinity;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function readEndpointClock(): number {
    return Math.round(now() - clockOrigin);
  }

  function done(): OrderOutcome {
    return { kind: 'done', endpointClockMilliseconds: readEndpointClock() };
  }

  function notify(listeners: Set<() => void>): void {
    [...listeners].forEach((listener) => listener());
  }

  function keyOf({ taskId, run }: RunId): string {
    return `${taskId}/${run}`;
  }

  function close({ record, gang }: ExecutingRun, kind: FleetEndKind): void {
    executing.delete(keyOf(record));
    Object.assign(record, { endedAt: now(), kind });
    if (gang) options.gangs.leave(gang, record);
  }

  function noteEnded({ taskId, run }: RunId): void {
    highestEndedRuns.set(taskId, Math.max(highestEndedRuns.get(taskId) ?? 0, run));
  }

  function endRecord(record: FleetRun, kind: EndKind): void {
    const run = executing.get(keyOf(record));
    if (!run) return;
    close(run, kind);
    ended.push(record);
    noteEnded(record);
    lastSequence += 1;
    unacknowledgedEnds.push({
      sequence: lastSequence,
      taskId: record.taskId,
      run: record.run,
      kind,
      checkpoint: run.checkpoint,
    });
    notify(endListeners);
  }

  function expireLease(): void {
    if (readEndpointClock() < leaseDeadline) return;
    lapsedAt = clockOrigin + leaseDeadline;
    [...executing.values()].forEach(({ record }) => endRecord(record, 'lapsed'));
  }

  function extendLease(deadline: number): void {
    const latestDeadline = readEndpointClock() + MAXIMUM_LEASE_MILLISECONDS;
    leaseDeadline = Math.max(leaseDeadline, Math.min(deadline, latestDeadline));
    scheduleExpiry();
  }

  function scheduleExpiry(): void {
    clock.setTimer(() => {
      expireLease();
      const remaining = leaseDeadline - readEndpointClock();
      if (remaining > 0 && remaining <= EARLY_TIMER_MILLISECONDS) scheduleExpiry();
    }, leaseDeadline - readEndpointClock());
  }

  function rejectsStaleToken({ fencingToken }: OrderTarget): boolean {
    if (fencingToken < highestFencingToken) return true;
    highestFencingToken = fencingToken;
    return false;
  }

  function describeRun({ record, checkpoint, duration }: ExecutingRun): RunReport {
    return {
      taskId: record.taskId,
      run: record.run,
      checkpoint,
      progressPercent: Math.floor((100 * (now() - record.startedAt)) / duration),
      load: 0,
    };
  }

  function execute(target: OrderTarget, order: StartOrder): void {
    const { taskId, run } = order;
    const record: FleetRun = {
      taskId,
      run,
      endpointId: endpoint.entry.endpointId,
      bornAt: endpoint.entry.bornAt,
      fencingToken: target.fencingToken,
      resources: options.resourcesOf(order),
      startedAt: now(),
      endedAt: null,
      kind: null,
      acknowledgedAt: null,
    };
    const duration = options.durationOf(order) * faults.slowness;
    const gang = options.gangOf(order);
    executing.set(keyOf(order), { record, checkpoint: order.checkpoint, duration, gang });
    const kind = faults.failsEveryRun ? 'failed' : 'done';
    const endsAlone = gang === null || kind === 'failed';
    if (endsAlone && Number.isFinite(duration)) {
      clock.setTimer(() => endRecord(record, kind), duration);
    }
    options.onStart(record, order);
    if (gang) options.gangs.join(gang, record, duration, endRecord);
  }

  const endpoint: FleetEndpoint = {
    entry: options.entry,
    state: 'up',
    faults,
    runs: () => [...executing.values()].map(({ record }) => record),
    rejectsStaleToken,
    start(target, order) {
      expireLease();
      if (rejectsStaleToken(target)) return { kind: 'refused', reason: 'fenced' };
      const { taskId, run } = order;
      if (executing.has(keyOf(order))) return done();
      if (run <= (highestEndedRuns.get(taskId) ?? 0)) {
        extendLease(order.deadlineOnEndpointMilliseconds);
        return { kind: 'refused', reason: 'superseded' };
      }
      if (order.deadlineOnEndpointMilliseconds <= readEndpointClock()) {
        return { kind: 'refused', reason: 'late' };
      }
      extendLease(order.deadlineOnEndpointMilliseconds);
      execute(target, order);
      return done();
    },
    stop(run) {
      const record = executing.get(keyOf(run))?.record;
      if (record) clock.setTimer(() => endRecord(record, 'stopped'), STOP_DELAY_MILLISECONDS);
      else noteEnded(run);
      return done();
    },
    extendLease,
    expireLease,
    acknowledge(sequence) {
      unacknowledgedEnds
        .filter((end) => end.sequence <= sequence)
        .forEach((end) => {
          const record = ended.find(({ taskId, run }) => taskId === end.taskId && run === end.run);
          if (record && lapsedAt < record.endedAt!) record.acknowledgedAt ??= now();
        });
      unacknowledgedEnds = unacknowledgedEnds.filter((end) => end.sequence > sequence);
    },
    async awaitEnd(waitMilliseconds) {
      if (unacknowledgedEnds.length > 0 || waitMilliseconds <= 0) return;
      await new Promise<void>((resolve) => {
        const finish = () => {
          endListeners.delete(finish);
          resolve();
        };
        endListeners.add(finish);
        clock.setTimer(finish, waitMilliseconds);
      });
    },
    describe: () => ({
      kind: 'answered',
      endpointClockMilliseconds: readEndpointClock(),
      bornAt: endpoint.entry.bornAt,
      running: [...executing.values()].map(describeRun),
      ends: unacknowledgedEnds.slice(0, MAXIMUM_LISTED_ENDS),
    }),
    endRun(taskId, kind) {
      [...executing.values()]
        .filter(({ record }) => record.taskId === taskId)
        .forEach(({ record }) => endRecord(record, kind));
    },
    takeDown(state, kind) {
      endpoint.state = state;
      [...executing.values()].forEach((run) => close(run, kind));
      notify(downListeners);
      notify(endListeners);
    },
    onDown(listener) {
      downListeners.add(listener);
      return () => downListeners.delete(listener);
    },
  };
  return endpoint;
}
