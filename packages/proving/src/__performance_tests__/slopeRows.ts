import { createSystemClock, sleep } from '@chicorybend/common';
import type { BenchOptions, BenchRow } from '@chicorybend/common';

import { applyExample } from '../core/demoRun.js';
import { startLocalCell } from '../core/localCell.js';
import { readProcessUsage } from '../core/processUsage.js';
import type { CellPlan } from '../types/cellPlan.js';
import { readExample } from '../utils/readExample.js';

const SETTLE_MILLISECONDS = 8_000;
const MEASURE_MILLISECONDS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MANY_WORKERS_FACTOR = 6;
const FEW_DAEMONS = 3;

const clock = createSystemClock();
const example = readExample('coldline');

/** Cost of an idle cell: cores and memory per daemon on average, store calls per second of the whole cell. */
interface IdleCost {
  readonly cores: number;
  readonly privateBytes: number;
  readonly storeReads: number;
  readonly storeWrites: number;
}

function multiplyWorkers(plan: CellPlan, factor: number): CellPlan {
  const racks = Array.from({ length: factor }, (_, copy) =>
    plan.racks.map((rack) => ({
      ...rack,
      name: `${rack.name}-${copy}`,
      workers: rack.workers.map((worker) => `${worker}-${copy}`),
    })),
  ).flat();
  return { ...plan, racks };
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

async function measureIdleCost(plan: CellPlan): Promise<IdleCost> {
  const cell = await startLocalCell({
    plan,
    prepare: (started) => applyExample(started, example),
  });
  try {
    await sleep(clock, SETTLE_MILLISECONDS);
    const processIds = cell.daemons.flatMap((daemon) => daemon.processId() ?? []);
    const { counts } = cell.platform.store;
    const callsBefore = { ...counts };
    const before = processIds.map(readProcessUsage);
    await sleep(clock, MEASURE_MILLISECONDS);
    const after = processIds.map(readProcessUsage);
    const processorMilliseconds = after.map(
      (usage, index) => usage.processorMilliseconds - (before[index]?.processorMilliseconds ?? 0),
    );
    const seconds = MEASURE_MILLISECONDS / MILLISECONDS_PER_SECOND;
    return {
      cores: average(processorMilliseconds) / MEASURE_MILLISECONDS,
      privateBytes: average(after.map((usage) => usage.privateBytes)),
      storeReads: (counts.reads - callsBefore.reads) / seconds,
      storeWrites: (counts.writes - callsBefore.writes) / seconds,
    };
  } finally {
    await cell.close();
  }
}

function createRow(name: string, measured: number, unit: string): BenchRow {
  return { name: `slope: ${name}`, measured, bound: null, direction: 'at-most', unit };
}

/**
 * Measures how the cost of an idle daemon grows with the workers and with the daemons of the cell.
 *
 * @param options size of the run; a short run gives no rows, because all figures depend on the machine
 * @returns slopes, without bounds
 */
export async function collectSlopeRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  if (options.isShort) return [];
  const { plan } = example;
  const daemons = plan.daemons.length;
  const baseCost = await measureIdleCost(plan);
  const manyWorkersCost = await measureIdleCost(multiplyWorkers(plan, MANY_WORKERS_FACTOR));
  const fewDaemonsCost = await measureIdleCost({
    ...plan,
    daemons: plan.daemons.slice(0, FEW_DAEMONS),
  });
  const workers = plan.racks.flatMap((rack) => rack.workers).length;
  const additionalWorkersPerDaemon = (workers * (MANY_WORKERS_FACTOR - 1)) / daemons;
  const additionalDaemons = daemons - FEW_DAEMONS;
  return [
    createRow('idle daemon, six daemons and 30 workers', baseCost.cores, 'cores'),
    createRow('private memory of it', baseCost.privateBytes, 'bytes'),
    createRow(
      'per worker of the daemon',
      (manyWorkersCost.cores - baseCost.cores) / additionalWorkersPerDaemon,
      'cores',
    ),
    createRow(
      'memory per worker of the daemon',
      (manyWorkersCost.privateBytes - baseCost.privateBytes) / additionalWorkersPerDaemon,
      'bytes',
    ),
    createRow('idle daemon, three daemons and 30 workers', fewDaemonsCost.cores, 'cores'),
    createRow(
      'store reads per daemon',
      (baseCost.storeReads - fewDaemonsCost.storeReads) / additionalDaemons,
      'calls/s',
    ),
    createRow(
      'store writes per daemon',
      (baseCost.storeWrites - fewDaemonsCost.storeWrites) / additionalDaemons,
      'calls/s',
    ),
  ];
}
