/**
 * A cell in memory for the tests of jobs: daemons, workers, the links between them, and journals. Its manual clock
 * moves only through `advance`, so that the tests are deterministic in time.
 */
import {
  createFailure,
  createLocalCounters,
  createManualClock,
  createSilentLog,
  Err,
  Ok,
  partitionOf,
} from '@chicorybend/common';
import type {
  Configuration,
  FinishedTask,
  JobRequest,
  JobView,
  LocalCounters,
  ManualClock,
  PolicySection,
  RenewRequest,
  Resources,
  Result,
  RunningTask,
  SealRequest,
  SealResponse,
  StartRequest,
  StartResponse,
  StartResult,
  TaskAttempt,
  TaskCommand,
  TaskEnd,
  TaskStart,
  VmRecord,
  WorkerCommand,
} from '@chicorybend/common';
import {
  createBestFitPolicy,
  createQuarantine,
  createQueueOrderPolicy,
  createTaskQueue,
  createWorkerPool,
} from '@chicorybend/decisions';

import { createJobService } from '../core/jobService.js';
import { readPolicy } from '../core/queuePolicy.js';
import type { WorkerCallError, WorkerClient } from '../core/workerClient.js';
import { createWorkerService } from '../core/workerService.js';
import type { WorkerService } from '../core/workerService.js';
import type {
  Allotments,
  ConfigurationView,
  Journal,
  JournalError,
  JournalRecord,
  PartitionDirectory,
  PartitionLease,
  PartitionLoad,
  PartitionOwner,
  PartitionService,
  PeerError,
  PeerLink,
  PeerMethod,
  PeerMethods,
  VmDirectory,
} from '../index.js';

const STEP_MILLISECONDS = 5;
const FLUSHES_PER_STEP = 2;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const COMMIT_MILLISECONDS = 5;
const CALL_DEADLINE_MILLISECONDS = 4_000;

/** Capacity of a worker in the tests. */
export const WORKER_CAPACITY: Resources = {
  processors: 4,
  memoryBytes: 8_000,
  accelerators: 0,
};

/** Resources of a task in the tests; four tasks fit on a worker. */
export const TASK_RESOURCES: Resources = { processors: 1, memoryBytes: 1_000, accelerators: 0 };

type WorkerFault = 'none' | 'silent' | 'answers-lost' | 'refusing-connections';

interface TestTask {
  readonly start: TaskStart;
  readonly startedAt: number;
  leaseEndsAt: number;
}

/** An in-memory implementation of the worker protocol, with faults. */
export interface TestWorker {
  readonly id: string;
  fault: WorkerFault;
  /** Called for each task when it starts. */
  onStart: (start: TaskStart) => void;
  /** Every execution that began, in order. */
  readonly executions: TaskStart[];
  /** Names of the calls that arrived. */
  readonly calls: string[];
  readonly acknowledged: TaskAttempt[];
  running(): readonly TaskStart[];
  finish(taskId: string, end: TaskEnd, result?: unknown): void;
  restart(): void;
  readonly client: Pick<WorkerClient, 'seal' | 'start' | 'renew' | 'command'>;
}

function executionKeyOf({ taskId, attempt }: TaskAttempt): string {
  return `${taskId}#${attempt}`;
}

export function createTestWorker(id: string, clock: ManualClock): TestWorker {
  const tasks = new Map<string, TestTask>();
  const finished = new Map<string, FinishedTask>();
  const highest = new Map<number, number>();
  let incarnation = 1;

  function endTask(key: string, how: TaskEnd, result: unknown): void {
    const task = tasks.get(key);
    if (!task) return;
    tasks.delete(key);
    const { taskId, attempt, team, jobPartition, resources } = task.start;
    const { startedAt } = task;
    const endedAt = clock.wallMilliseconds();
    const identity = { taskId, attempt, team, jobPartition, resources, peak: resources };
    finished.set(key, { ...identity, end: how, result, startedAt, endedAt });
  }

  function endLapsedTasks(): void {
    const now = clock.monotonicMilliseconds();
    tasks.forEach((task, key) => {
      if (task.leaseEndsAt <= now) endTask(key, 'lease-lapsed', null);
    });
  }

  function report(): SealResponse {
    const now = clock.monotonicMilliseconds();
    const running = [...tasks.values()].map(({ start, startedAt, leaseEndsAt }): RunningTask => {
      const { taskId, attempt, team, jobPartition, resources } = start;
      const leaseRemainingMilliseconds = leaseEndsAt - now;
      const identity = { taskId, attempt, team, jobPartition, resources, used: resources };
      return { ...identity, leaseRemainingMilliseconds, startedAt, throttled: false };
    });
    return {
      workerId: id,
      incarnation: String(incarnation),
      workerMilliseconds: now,
      capacity: WORKER_CAPACITY,
      running,
      finished: [...finished.values()],
    };
  }

  function refuse(
    refused: 'stale-epoch' | 'past-not-after' | 'other-incarnation',
  ): Result<never, WorkerCallError> {
    return Err({ kind: 'refused', refusal: { refused, highestEpoch: 0 } });
  }

  function checkEpoch({ partition, epoch }: WorkerCommand): boolean {
    if (epoch < (highest.get(partition) ?? 0)) return false;
    highest.set(partition, epoch);
    return true;
  }

  async function answer<Response>(
    name: string,
    process: () => Result<Response, WorkerCallError>,
  ): Promise<Result<Response, WorkerCallError>> {
    endLapsedTasks();
    if (worker.fault === 'refusing-connections') {
      return Err({ kind: 'not-sent', reason: 'refused' });
    }
    if (worker.fault === 'silent') {
      await wait(clock, CALL_TIMEOUT_MILLISECONDS);
      return Err({ kind: 'lost', reason: 'timeout' });
    }
    worker.calls.push(name);
    const outcome = process();
    if (worker.fault === 'answers-lost') return Err({ kind: 'lost', reason: 'timeout' });
    return outcome;
  }

  function startOne(start: TaskStart, leaseMilliseconds: number): StartResult {
    const key = executionKeyOf(start);
    const { taskId, attempt } = start;
    if (tasks.has(key) || finished.has(key)) return { taskId, attempt, outcome: 'duplicate' };
    const leaseEndsAt = clock.monotonicMilliseconds() + leaseMilliseconds;
    tasks.set(key, { start, startedAt: clock.wallMilliseconds(), leaseEndsAt });
    worker.executions.push(start);
    worker.onStart(start);
    return { taskId, attempt, outcome: 'started' };
  }

  function startAll(body: StartRequest): Result<StartResponse, WorkerCallError> {
    const now = clock.monotonicMilliseconds();
    if (!checkEpoch(body)) return refuse('stale-epoch');
    if (body.incarnation !== String(incarnation)) return refuse('other-incarnation');
    if (now > body.notAfterWorkerMilliseconds) return refuse('past-not-after');
    const results = body.tasks.map((task) => startOne(task, body.leaseMilliseconds));
    return Ok({ workerMilliseconds: now, results });
  }

  function renew(body: RenewRequest): Result<SealResponse, WorkerCallError> {
    if (!checkEpoch(body)) return refuse('stale-epoch');
    body.acknowledged.forEach((attempt) => {
      worker.acknowledged.push(attempt);
      finished.delete(executionKeyOf(attempt));
    });
    tasks.forEach((task) => {
      const own = task;
      own.leaseEndsAt = clock.monotonicMilliseconds() + body.leaseMilliseconds;
    });
    return Ok(report());
  }

  function seal(body: SealRequest): Result<SealResponse, WorkerCallError> {
    return checkEpoch(body) ? Ok(report()) : refuse('stale-epoch');
  }

  function stop(body: TaskCommand): Result<{ affected: TaskAttempt[] }, WorkerCallError> {
    if (!checkEpoch(body)) return refuse('stale-epoch');
    const affected = body.tasks.filter((attempt) => tasks.has(executionKeyOf(attempt)));
    affected.forEach((attempt) => endTask(executionKeyOf(attempt), 'stopped', null));
    return Ok({ affected });
  }

  const worker: TestWorker = {
    id,
    fault: 'none',
    onStart: () => {},
    executions: [],
    calls: [],
    acknowledged: [],
    running() {
      endLapsedTasks();
      return [...tasks.values()].map((task) => task.start);
    },
    finish(taskId, how, result = null) {
      [...tasks.keys()]
        .filter((key) => key.startsWith(`${taskId}#`))
        .forEach((key) => {
          endTask(key, how, result);
        });
    },
    restart() {
      incarnation += 1;
      tasks.clear();
      finished.clear();
    },
    client: {
      seal: (_, body) => answer('seal', () => seal(body)),
      start: (_, body) => answer('start', () => startAll(body)),
      renew: (_, body) => answer('renew', () => renew(body)),
      command: (_, mode, body) => answer(mode, () => stop(body)),
    },
  };
  return worker;
}

function wait(clock: ManualClock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(resolve, milliseconds);
  });
}

/** Faults of the store; the `unknown` ones lose the answer, with or without making the record durable. */
export type JournalFault = 'none' | 'down' | 'unknown-durable' | 'unknown-not-durable' | 'refusing';

/** Journal of one partition, which survives changes of its owner. */
export interface TestJournal {
  fault: JournalFault;
  epoch: number;
  readonly records: JournalRecord[];
  open(epoch: number): Journal;
}

function createTestJournal(clock: ManualClock): TestJournal {
  const records: JournalRecord[] = [];
  const shared: TestJournal = {
    fault: 'none',
    epoch: 0,
    records,
    open(epoch) {
      shared.epoch = epoch;
      return { append: (record, deadline) => append(epoch, record, deadline) };
    },
  };

  async function append(
    epoch: number,
    record: JournalRecord,
    deadlineMilliseconds: number,
  ): Promise<Result<void, JournalError>> {
    const givesUpAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
    await wait(clock, COMMIT_MILLISECONDS);
    while (shared.fault === 'down') {
      if (clock.monotonicMilliseconds() >= givesUpAt) {
        return Err({ kind: 'not-durable', reason: 'down' });
      }
      await wait(clock, COMMIT_MILLISECONDS);
    }
    if (epoch !== shared.epoch) return Err({ kind: 'fenced', reason: 'another epoch' });
    if (shared.fault === 'refusing') return Err({ kind: 'not-durable', reason: 'refusing' });
    if (shared.fault === 'unknown-not-durable') return Err({ kind: 'unknown', reason: 'lost' });
    records.push(record);
    return shared.fault === 'unknown-durable'
      ? Err({ kind: 'unknown', reason: 'lost' })
      : Ok(undefined);
  }

  return shared;
}

/** Faults of a call; `lost-before` loses the request, `lost-after` loses the answer. */
export type LinkFault = 'none' | 'not-sent' | 'lost-before' | 'lost-after';

export interface TestDaemon {
  readonly id: string;
  /** While true, the leases of the daemon do not allow it to act. */
  isPaused: boolean;
  readonly jobs: PartitionService;
  readonly workers: WorkerService;
  readonly counters: LocalCounters;
}

export interface TestCell {
  readonly clock: ManualClock;
  readonly workers: readonly TestWorker[];
  readonly vms: VmRecord[];
  readonly taskLimits: Map<string, number>;
  readonly usedTasks: Map<string, number>;
  /** Puts a configuration into effect at all daemons. Initially there is none. */
  configure(next: Configuration): void;
  /** Chooses the fault of each call between daemons. */
  onCall: (method: PeerMethod, params: unknown, from: string) => LinkFault;
  journal(partition: number): TestJournal;
  createDaemon(id: string): TestDaemon;
  /** Makes a daemon the owner of a partition, as after a takeover. */
  takeOver(daemon: TestDaemon, partition: number): Promise<void>;
  /** Closes a partition at a daemon without a handover, as after a crash of the daemon. */
  crashOwner(daemon: TestDaemon, partition: number): void;
  /** Calls the owner of a partition, and advances the clock until it has answered. */
  call<Method extends PeerMethod>(
    partition: number,
    method: Method,
    params: PeerMethods[Method]['params'],
  ): Promise<Result<PeerMethods[Method]['result'], PeerError>>;
  /** Calls the owner of a partition without advancing the clock. */
  startCall<Method extends PeerMethod>(
    partition: number,
    method: Method,
    params: PeerMethods[Method]['params'],
  ): Promise<Result<PeerMethods[Method]['result'], PeerError>>;
  submit(
    partition: number,
    request: Partial<JobRequest>,
    key?: string,
    team?: string,
  ): Promise<string>;
  read(jobId: string): Promise<JobView>;
  cancel(jobId: string): Promise<void>;
  /** Advances the clock in small steps, with turns of the event loop in between. */
  advance(milliseconds: number): Promise<void>;
  /**
   * Advances the clock until a condition holds.
   *
   * @throws Error if it does not hold within the limit
   */
  advanceUntil(condition: () => boolean, limitMilliseconds?: number): Promise<void>;
  notifyVmChange(): void;
  worker(id: string | null): TestWorker;
}

/** Settings of {@link createTestCell}. */
export interface TestCellOptions {
  readonly partitionCount?: number;
  /** Number of workers, or the partition of each of them. */
  readonly workers: number | readonly number[];
  /** Clock of the cell; by default a manual clock. */
  readonly clock?: ManualClock;
  /** Creates the journal of a partition. */
  readonly createJournal?: (clock: ManualClock) => TestJournal;
}

function findWorkerId(partition: number, partitionCount: number, taken: Set<string>): string {
  for (let index = 0; ; index += 1) {
    const id = `worker-${index}`;
    if (!taken.has(id) && partitionOf(id, partitionCount) === partition) return id;
  }
}

function chooseWorkerIds(options: TestCellOptions, partitionCount: number): readonly string[] {
  if (typeof options.workers === 'number') {
    return Array.from({ length: options.workers }, (_, index) => `worker-${index}`);
  }
  const taken = new Set<string>();
  options.workers.forEach((partition) => {
    taken.add(findWorkerId(partition, partitionCount, taken));
  });
  return [...taken];
}

/** Request of a batch with one task that may not run twice. */
export const NON_IDEMPOTENT_JOB: JobRequest = {
  queue: 'sorts',
  kind: 'batch',
  tasks: 1,
  resources: TASK_RESOURCES,
  idempotent: false,
  urgent: false,
  expectedRunMilliseconds: 1_000,
  payload: { lot: 7 },
};

/**
 * Creates a configuration with high limits.
 *
 * @param shares weights of the teams
 * @param policy order of the queues
 */
export function createConfiguration(
  shares: Readonly<Record<string, number>>,
  policy: PolicySection,
): Configuration {
  const limits = { tasks: 1_000, requests: 1_000 };
  const teams = Object.entries(shares).map(([team, share]) => [team, { share, limits }]);
  return {
    revision: 1,
    cell: { name: 'cell', maximumRequestMilliseconds: 10_000, maximumQueuedRequests: 256 },
    policy,
    operators: {},
    teams: Object.fromEntries(teams),
    queues: {},
    keys: {},
  };
}

/** Creates a cell without daemons. */
export function createTestCell(options: TestCellOptions): TestCell {
  const partitionCount = options.partitionCount ?? 1;
  const clock = options.clock ?? createManualClock();
  const createJournal = options.createJournal ?? createTestJournal;
  const workers = chooseWorkerIds(options, partitionCount).map((id) => createTestWorker(id, clock));
  const byAddress = new Map(workers.map((worker) => [`http://${worker.id}`, worker]));
  const vms: VmRecord[] = workers.map((worker, index) => ({
    id: worker.id,
    role: 'worker',
    state: 'live',
    address: `http://${worker.id}`,
    dataCentre: 'one',
    rack: `rack-${index % 3}`,
    capacity: WORKER_CAPACITY,
  }));
  const journals = new Map<number, TestJournal>();
  const owners = new Map<number, PartitionOwner>();
  const epochs = new Map<number, number>();
  const handlers = new Map<string, Map<string, (params: never, context: never) => unknown>>();
  const vmListeners: (() => void)[] = [];
  const limits = new Map<string, number>();
  const usedTasks = new Map<string, number>();
  const daemons: TestDaemon[] = [];
  const configurationListeners: ((next: Configuration) => void)[] = [];
  let configuration: Configuration | null = null;
  let nextKey = 0;

  const client: WorkerClient = {
    seal: (address, body) => findClient(address).seal(address, body),
    start: (address, body) => findClient(address).start(address, body),
    renew: (address, body) => findClient(address).renew(address, body),
    command: (address, mode, body) => findClient(address).command(address, mode, body),
    close: async () => {},
  };

  function findClient(address: string): TestWorker['client'] {
    const worker = byAddress.get(address);
    if (!worker) throw new Error(`no worker at ${address}`);
    return worker.client;
  }

  const vmDirectory: VmDirectory = {
    workers: () => vms,
    endpoints: () => [],
    isEntryVmGone: () => false,
    onChange: (listener) => vmListeners.push(listener),
  };

  const allotments: Allotments = {
    charge(_, team, __, count) {
      const next = (usedTasks.get(team) ?? 0) + count;
      if (next > (limits.get(team) ?? Infinity)) return Err(createFailure('over-limit', { team }));
      usedTasks.set(team, next);
      return Ok(undefined);
    },
    adopt: (_, team, __, count) => usedTasks.set(team, (usedTasks.get(team) ?? 0) + count),
    release: (_, team, __, count) => usedTasks.set(team, (usedTasks.get(team) ?? 0) - count),
  };

  function createLink(self: string): PeerLink {
    return {
      handle(method, handler) {
        const own = handlers.get(self) ?? new Map();
        handlers.set(self, own);
        own.set(method, handler);
      },
      call: (daemonId, method, params, deadline) => send(self, daemonId, method, params, deadline),
    };
  }

  async function send<Method extends PeerMethod>(
    from: string,
    to: string,
    method: Method,
    params: PeerMethods[Method]['params'],
    deadlineMilliseconds: number,
  ): Promise<Result<PeerMethods[Method]['result'], PeerError>> {
    const fault = cell.onCall(method, params, from);
    const handler = handlers.get(to)?.get(method);
    if (fault === 'not-sent' || !handler) return Err({ kind: 'not-sent', reason: 'cut' });
    const context = { from, remainingMilliseconds: deadlineMilliseconds };
    if (fault !== 'lost-before') {
      const handling = handler(params as never, context as never) as Promise<Result<never, never>>;
      const outcome = await Promise.race([handling, wait(clock, deadlineMilliseconds)]);
      if (fault === 'none' && outcome) {
        return outcome.mapErr((failure): PeerError => ({ kind: 'refused', failure }));
      }
    }
    return Err({ kind: 'lost', reason: 'cut' });
  }

  function createDirectory(id: string): PartitionDirectory {
    return {
      partitionCount,
      ownerOf: (partition) => owners.get(partition) ?? null,
      leaseOf: () => null,
      isOwnerSilent: () => false,
      servedPartitions: () =>
        [...owners].filter(([, { daemonId }]) => daemonId === id).map(([number]) => number),
      refreshOwner: () => {},
    };
  }

  function loads(): ReadonlyMap<number, PartitionLoad> {
    const all = daemons
      .flatMap((daemon) => daemon.workers.loads())
      .map((load): [number, PartitionLoad] => [
        load.partition,
        { ...load, freeSlots: 0, queuedRequests: 0 },
      ]);
    return new Map(all);
  }

  const configurationView: ConfigurationView = {
    current: () => configuration,
    isFresh: () => true,
    authenticate: () => Err(createFailure('wrong-key')),
    onChange: (listener) => configurationListeners.push(listener),
  };

  function createDaemon(id: string): TestDaemon {
    const counters = createLocalCounters();
    const common = {
      daemonId: id,
      link: createLink(id),
      directory: createDirectory(id),
      vmDirectory,
      clock,
      random: Math.random,
      counters,
      log: createSilentLog(),
      createQuarantine: () => createQuarantine({ firstBackoffMilliseconds: 2_000 }),
    };
    const daemon: TestDaemon = {
      id,
      isPaused: false,
      counters,
      jobs: createJobService({
        ...common,
        loadBoard: { loads },
        configuration: configurationView,
        allotments,
        createQueue() {
          const { order, agingMilliseconds } = readPolicy(configurationView);
          return createTaskQueue(createQueueOrderPolicy(order), { agingMilliseconds });
        },
      }),
      workers: createWorkerService({
        ...common,
        client,
        createPool: () => createWorkerPool(createBestFitPolicy()),
      }),
    };
    daemons.push(daemon);
    return daemon;
  }

  function journal(partition: number): TestJournal {
    const known = journals.get(partition) ?? createJournal(clock);
    journals.set(partition, known);
    return known;
  }

  async function takeOver(daemon: TestDaemon, partition: number): Promise<void> {
    const epoch = (epochs.get(partition) ?? 0) + 1;
    epochs.set(partition, epoch);
    const lease: PartitionLease = {
      partition,
      epoch,
      journal: journal(partition).open(epoch),
      mayAct: () => !daemon.isPaused,
    };
    owners.set(partition, { daemonId: daemon.id, epoch });
    const records = [...journal(partition).records];
    const formerOwnerStoppedAt = clock.monotonicMilliseconds();
    const opening = { lease, records, handedOver: null, formerOwnerStoppedAt };
    await daemon.workers.open(opening);
    await daemon.jobs.open(opening);
  }

  async function advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      clock.advance(STEP_MILLISECONDS);
      for (let flush = 0; flush < FLUSHES_PER_STEP; flush += 1) {
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
    }
  }

  async function advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let isDone = false;
    const settled = promise.finally(() => {
      isDone = true;
    });
    while (!isDone) await advance(STEP_MILLISECONDS);
    return settled;
  }

  const cell: TestCell = {
    clock,
    workers,
    vms,
    taskLimits: limits,
    usedTasks,
    configure(next) {
      configuration = next;
      configurationListeners.forEach((listener) => listener(next));
    },
    onCall: () => 'none',
    journal,
    createDaemon,
    takeOver,
    crashOwner(daemon, partition) {
      daemon.jobs.close(partition);
      daemon.workers.close(partition);
    },
    call: (partition, method, params) =>
      advanceUntilSettled(cell.startCall(partition, method, params)),
    startCall(partition, method, params) {
      const owner = owners.get(partition)?.daemonId ?? '';
      return send('entry', owner, method, params, CALL_DEADLINE_MILLISECONDS);
    },
    async submit(partition, request, key, team = 'harbour') {
      nextKey += 1;
      const outcome = await cell.call(partition, 'job.submit', {
        partition,
        team,
        idempotencyKey: key ?? `key-${nextKey}`,
        bodyHash: JSON.stringify(request),
        request: { ...NON_IDEMPOTENT_JOB, ...request },
      });
      return outcome.unwrap().jobId;
    },
    async read(jobId) {
      const partition = Number.parseInt(jobId, 10);
      const outcome = await cell.call(partition, 'job.read', { jobId, team: 'harbour' });
      return outcome.unwrap();
    },
    async cancel(jobId) {
      const partition = Number.parseInt(jobId, 10);
      (await cell.call(partition, 'job.cancel', { jobId, team: 'harbour' })).unwrap();
    },
    advance,
    async advanceUntil(condition, limitMilliseconds = 30_000) {
      const endsAt = clock.monotonicMilliseconds() + limitMilliseconds;
      while (!condition()) {
        if (clock.monotonicMilliseconds() > endsAt) {
          throw new Error(`the condition did not hold within ${limitMilliseconds} ms`);
        }
        await advance(STEP_MILLISECONDS);
      }
    },
    notifyVmChange: () => vmListeners.forEach((listener) => listener()),
    worker(id) {
      const found = workers.find((worker) => worker.id === id);
      if (!found) throw new Error(`no worker ${id}`);
      return found;
    },
  };
  return cell;
}

/** Creates a cell with one daemon that owns all partitions and has sealed the workers. */
export async function createRunningCell(
  options: TestCellOptions,
): Promise<{ cell: TestCell; daemon: TestDaemon }> {
  const cell = createTestCell(options);
  const daemon = cell.createDaemon('first');
  for (let partition = 0; partition < (options.partitionCount ?? 1); partition += 1) {
    await cell.takeOver(daemon, partition);
  }
  await cell.advance(200);
  return { cell, daemon };
}
