import { parseConfiguration } from '@chicorybend/common';
import type {
  BenchOptions,
  BenchRow,
  ConfigurationDocument,
  RenewResponse,
  RunningTask,
} from '@chicorybend/common';
import { createBestFitPolicy, createWorkerPool } from '@chicorybend/decisions';

import { applyRecord, createJobsState } from '../core/jobState.js';
import type { JournalRecord } from '../types/journalRecord.js';
import type { PartitionLoad } from '../types/partition.js';

const MEBIBYTE = 1_048_576;
const GIBIBYTE = 1_024 * MEBIBYTE;
const TEAMS_AT_DESIGN_SIZE = 750;
const KEYS_PER_TEAM = 4;
const DIGEST = 'a'.repeat(64);
const RESOURCES = { processors: 2, memoryBytes: 4 * GIBIBYTE, accelerators: 0 };
const CAPACITY = { processors: 32, memoryBytes: 128 * GIBIBYTE, accelerators: 0 };

function report(name: string, measured: number, unit: string): BenchRow {
  return { name: `capacity: ${name}`, measured, bound: null, direction: 'at-most', unit };
}

function measureHeap<Value>(create: () => Value): { bytes: number; value: Value } {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const value = create();
  globalThis.gc?.();
  return { bytes: process.memoryUsage().heapUsed - before, value };
}

/** Average time of a call in milliseconds, after a warm-up. */
function measureTime(rounds: number, call: () => unknown): number {
  for (let round = 0; round < rounds / 10; round += 1) call();
  const startedAt = performance.now();
  for (let round = 0; round < rounds; round += 1) call();
  return (performance.now() - startedAt) / rounds;
}

function createJobRecords(jobs: number): JournalRecord[] {
  return Array.from({ length: jobs }, (_, index): JournalRecord[] => {
    const jobId = `3-0b6f3c1e-6f5f-7d0e-9b0a-${String(index).padStart(12, '0')}`;
    return [
      {
        type: 'job-accepted',
        jobId,
        team: `team-${index % TEAMS_AT_DESIGN_SIZE}`,
        idempotencyKey: `key-${index}`,
        bodyHash: DIGEST,
        acceptedAt: 1_700_000_000_000,
        request: {
          queue: 'sorting',
          kind: 'batch',
          tasks: 1,
          resources: RESOURCES,
          idempotent: false,
          urgent: false,
          expectedRunMilliseconds: 60_000,
          payload: { lot: index },
        },
      },
      {
        type: 'task-intent',
        taskId: `${jobId}/0`,
        attempt: 1,
        workerId: `worker-${index % 300}`,
        workerPartition: 3,
      },
    ];
  }).flat();
}

function measureJobs(jobs: number): BenchRow[] {
  const records = createJobRecords(jobs);
  const bytes = records.reduce((sum, record) => sum + JSON.stringify(record).length, 0);
  const { bytes: heap } = measureHeap(() => {
    const state = createJobsState();
    records.forEach((record) => applyRecord(state, record));
    return state;
  });
  const milliseconds = measureTime(5, () => {
    const state = createJobsState();
    records.forEach((record) => applyRecord(state, record));
  });
  return [
    report('journal bytes per job of one task until it runs', bytes / jobs, 'bytes'),
    report('memory per job of one running task', heap / jobs, 'bytes'),
    report('processor time to replay a job', (milliseconds / jobs) * 1_000, 'µs'),
  ];
}

function createRunning(tasks: number): RunningTask[] {
  return Array.from({ length: tasks }, (_, index) => ({
    taskId: `3-0b6f3c1e-6f5f-7d0e-9b0a-${String(index).padStart(12, '0')}/0`,
    attempt: 1,
    team: `team-${index % TEAMS_AT_DESIGN_SIZE}`,
    jobPartition: 3,
    resources: RESOURCES,
    used: RESOURCES,
    leaseRemainingMilliseconds: 11_000,
    startedAt: 1_700_000_000_000,
    throttled: false,
  }));
}

function measureRenewal(): BenchRow[] {
  const encode = (tasks: number): string =>
    JSON.stringify({
      workerId: 'worker-1',
      incarnation: 'a',
      workerMilliseconds: 1,
      capacity: CAPACITY,
      running: createRunning(tasks),
      finished: [],
    } satisfies RenewResponse);
  const small = encode(0);
  const large = encode(100);
  return [
    report('bytes of a renewal answer without tasks', small.length, 'bytes'),
    report(
      'bytes of a renewal answer per running task',
      (large.length - small.length) / 100,
      'bytes',
    ),
    report(
      'processor time to read a renewal answer per running task',
      (measureTime(2_000, () => JSON.parse(large)) / 100) * 1_000,
      'µs',
    ),
  ];
}

function createLoad(teams: number): PartitionLoad {
  return {
    partition: 3,
    freeSlots: 8,
    queuedRequests: 0,
    freeTotal: CAPACITY,
    freeLargest: CAPACITY,
    runningByTeam: Object.fromEntries(
      Array.from({ length: teams }, (_, index) => [`team-${index}`, 97]),
    ),
  };
}

function measureHeartbeat(): BenchRow[] {
  const small = JSON.stringify(createLoad(0)).length;
  const large = JSON.stringify(createLoad(TEAMS_AT_DESIGN_SIZE)).length;
  return [
    report('bytes of a heartbeat per partition', small, 'bytes'),
    report(
      'bytes of a heartbeat per team with running tasks in a partition',
      (large - small) / TEAMS_AT_DESIGN_SIZE,
      'bytes',
    ),
  ];
}

function createDocument(teams: number): ConfigurationDocument {
  const names = Array.from({ length: teams }, (_, index) => `team-${index}`);
  return {
    cell: { name: 'cell' },
    policy: { order: 'share-first' },
    operators: {},
    teams: Object.fromEntries(
      names.map((name) => [name, { share: 1, limits: { tasks: 100, requests: 20 } }]),
    ),
    queues: Object.fromEntries(
      names.map((name) => [`${name}-queue`, { kind: 'batch', access: 'keyed', teams: [name] }]),
    ),
    keys: Object.fromEntries(
      names.flatMap((name) =>
        Array.from({ length: KEYS_PER_TEAM }, (_, index) => [
          `${name}-key-${index}`,
          { team: name, secretHash: DIGEST, issuedAt: 1_700_000_000_000, issuedBy: 'operator' },
        ]),
      ),
    ),
  };
}

function measureConfiguration(): BenchRow[] {
  const document = createDocument(TEAMS_AT_DESIGN_SIZE);
  const text = JSON.stringify(document);
  const { bytes } = measureHeap(() => parseConfiguration(JSON.parse(text) as never, 1));
  const milliseconds = measureTime(20, () => parseConfiguration(JSON.parse(text) as never, 1));
  return [
    report('bytes of the configuration per team', text.length / TEAMS_AT_DESIGN_SIZE, 'bytes'),
    report('memory of the configuration per team', bytes / TEAMS_AT_DESIGN_SIZE, 'bytes'),
    report(
      'processor time to check the configuration per team',
      (milliseconds / TEAMS_AT_DESIGN_SIZE) * 1_000,
      'µs',
    ),
  ];
}

function measurePool(workers: number, tasks: number): BenchRow[] {
  const create = () => {
    const pool = createWorkerPool(createBestFitPolicy());
    for (let index = 0; index < workers; index += 1) {
      const rack = `rack-${Math.floor(index / 8)}`;
      pool.upsert({ workerId: `worker-${index}`, dataCentre: 'a', rack, capacity: CAPACITY });
    }
    return pool;
  };
  const { bytes, value: pool } = measureHeap(create);
  const request = { resources: RESOURCES, avoidRacks: [], avoidWorkers: [] };
  const startedAt = performance.now();
  for (let index = 0; index < tasks; index += 1) {
    const workerId = pool.place(request);
    if (workerId) pool.allocate(workerId, RESOURCES);
  }
  const milliseconds = (performance.now() - startedAt) / tasks;
  return [
    report(`memory of the pool per worker, at ${workers} workers`, bytes / workers, 'bytes'),
    report(`processor time per placement, at ${workers} workers`, milliseconds * 1_000, 'µs'),
  ];
}

/**
 * Measures the costs per unit (slopes) from which docs/CAPACITY.md is calculated. Memory figures are exact only with
 * `node --expose-gc`.
 *
 * @param options extent of the run; a short run gives no rows, because all figures are absolute
 * @returns slopes, without bounds
 */
export async function collectCapacityRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  if (options.isShort) return [];
  return [
    ...measureJobs(20_000),
    ...measureRenewal(),
    ...measureHeartbeat(),
    ...measureConfiguration(),
    ...measurePool(300, 3_000),
    ...measurePool(20_000, 73_000),
  ];
}
