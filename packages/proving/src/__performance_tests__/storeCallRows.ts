/** Benchmarks the store calls, processor time and memory per task, from acceptance to end, at several rates. */
import { createSystemClock, sleep } from '@chicorybend/common';
import type { BenchOptions, BenchRow } from '@chicorybend/common';

import { applyExample } from '../core/demoRun.js';
import { startLocalCell } from '../core/localCell.js';
import type { LocalCell } from '../core/localCell.js';
import { readProcessUsage } from '../core/processUsage.js';
import type { ProcessUsage } from '../core/processUsage.js';
import { createWorkCaller } from '../core/workCaller.js';
import type { Example } from '../types/cellPlan.js';
import { readExample } from '../utils/readExample.js';
import { waitUntil } from '../utils/waitUntil.js';

/** Peak number of task starts per second in the whole cell. */
const PEAK_STARTS_PER_SECOND = 6_300;
/** Writes per second that the store allows for the whole cell. */
const STORE_WRITES_PER_SECOND = 300;
const RATES_PER_SECOND = [50, 200] as const;
/** Limit on accepted tasks that have not ended, so that no hidden backlog builds up at the highest rate. */
const MAXIMUM_UNFINISHED = 600;
/** Far above any achievable rate, so that only the limits on unfinished tasks and open calls apply. */
const UNBOUNDED_RATE = 100_000;
const MAXIMUM_OPEN_CALLS = 400;
const TICK_MILLISECONDS = 10;
const SETTLE_MILLISECONDS = 8_000;
const MILLISECONDS_PER_SECOND = 1_000;
const DRAIN_LIMIT_MILLISECONDS = 30_000;
const TEAMS = ['taoyuan-works', 'kaohsiung-works', 'taichung-works'] as const;
const QUEUE = 'certificates';
/** High enough that no load here reaches them; refused starts would hide store calls. */
const TEAM_LIMITS = { tasks: 20_000, requests: 100 };
const RUN_MILLISECONDS = 100;
const TASK_RESOURCES = { processors: 0.1, memoryBytes: 1_048_576, accelerators: 0 };

const clock = createSystemClock();

/** Cost per second at one submission rate, over a window of steady load. */
interface RateCost {
  readonly acceptedPerSecond: number;
  readonly endedPerSecond: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Processor time of all daemons, in milliseconds per second. */
  readonly processorPerSecond: number;
}

interface RunningTotals {
  readonly at: number;
  readonly accepted: number;
  readonly ended: number;
  readonly writes: number;
  readonly reads: number;
  readonly processorMilliseconds: number;
}

interface LoadGenerator {
  /**
   * Submits tasks at a rate per second. The measurement starts after a warm-up in which commit groups, shares of
   * team limits and leases settle.
   *
   * @throws if accepted tasks do not end in time afterwards
   */
  measure(rate: number, measureMilliseconds: number): Promise<RateCost>;
  close(): Promise<void>;
}

function readExampleWithHighLimits(): Example {
  const example = readExample('coldline');
  const teams = example.configuration.teams as Record<string, object>;
  const teamsWithHighLimits = Object.fromEntries(
    Object.entries(teams).map(([name, team]) => [name, { ...team, limits: TEAM_LIMITS }]),
  );
  return { ...example, configuration: { ...example.configuration, teams: teamsWithHighLimits } };
}

function readDaemonUsage(cell: LocalCell): readonly ProcessUsage[] {
  return cell.daemons.flatMap((daemon) => daemon.processId() ?? []).map(readProcessUsage);
}

function sumOf(usages: readonly ProcessUsage[], field: keyof ProcessUsage): number {
  return usages.reduce((sum, usage) => sum + usage[field], 0);
}

/** Counts the ended tasks in the record incrementally, so that no entry is read twice. */
function createEndedTaskCounter(cell: LocalCell): () => number {
  let read = 0;
  let ended = 0;
  return () => {
    const entries = cell.platform.record.entries();
    for (; read < entries.length; read += 1) {
      if (entries[read]?.type === 'task-ended') ended += 1;
    }
    return ended;
  };
}

function computeRateCost(after: RunningTotals, before: RunningTotals): RateCost {
  const perSecond = (field: Exclude<keyof RunningTotals, 'at'>): number =>
    ((after[field] - before[field]) / (after.at - before.at)) * MILLISECONDS_PER_SECOND;
  return {
    acceptedPerSecond: perSecond('accepted'),
    endedPerSecond: perSecond('ended'),
    writesPerSecond: perSecond('writes'),
    readsPerSecond: perSecond('reads'),
    processorPerSecond: perSecond('processorMilliseconds'),
  };
}

function createLoadGenerator(
  cell: LocalCell,
  example: Example,
  warmUpMilliseconds: number,
): LoadGenerator {
  const caller = createWorkCaller();
  const countEndedTasks = createEndedTaskCounter(cell);
  let submitted = 0;
  let accepted = 0;
  let open = 0;

  function readTotals(): RunningTotals {
    const { reads, writes } = cell.platform.store.counts;
    return {
      at: clock.monotonicMilliseconds(),
      accepted,
      ended: countEndedTasks(),
      reads,
      writes,
      processorMilliseconds: sumOf(readDaemonUsage(cell), 'processorMilliseconds'),
    };
  }

  async function submit(): Promise<void> {
    const daemon = cell.daemons[submitted % cell.daemons.length];
    const team = TEAMS[submitted % TEAMS.length] ?? TEAMS[0];
    submitted += 1;
    open += 1;
    const outcome = await caller.submitJob(
      daemon?.apiAddress ?? '',
      {
        queue: QUEUE,
        kind: 'batch',
        tasks: 1,
        resources: TASK_RESOURCES,
        idempotent: true,
        urgent: false,
        expectedRunMilliseconds: RUN_MILLISECONDS,
        payload: { runMilliseconds: RUN_MILLISECONDS },
      },
      { keyText: example.keys.teams[team] ?? '' },
    );
    open -= 1;
    if (outcome.kind === 'answered') accepted += 1;
  }

  function canSubmit(): boolean {
    return open < MAXIMUM_OPEN_CALLS && accepted + open - countEndedTasks() < MAXIMUM_UNFINISHED;
  }

  async function submitAtRate(rate: number, milliseconds: number): Promise<void> {
    const startedAt = clock.monotonicMilliseconds();
    let sent = 0;
    let elapsed = 0;
    while (elapsed < milliseconds) {
      while (sent < (elapsed * rate) / MILLISECONDS_PER_SECOND && canSubmit()) {
        void submit();
        sent += 1;
      }
      await sleep(clock, TICK_MILLISECONDS);
      elapsed = clock.monotonicMilliseconds() - startedAt;
    }
  }

  return {
    async measure(rate, measureMilliseconds) {
      await submitAtRate(rate, warmUpMilliseconds);
      const before = readTotals();
      await submitAtRate(rate, measureMilliseconds);
      const cost = computeRateCost(readTotals(), before);
      const isDrained = await waitUntil(
        () => open === 0 && countEndedTasks() >= accepted,
        DRAIN_LIMIT_MILLISECONDS,
      );
      if (!isDrained) throw new Error(`${accepted - countEndedTasks()} accepted tasks did not end`);
      return cost;
    },
    close: () => caller.close(),
  };
}

function writesPerTask(cost: RateCost): number {
  return cost.writesPerSecond / cost.acceptedPerSecond;
}

function createRow(name: string, measured: number, unit: string): BenchRow {
  return { name: `store calls: ${name}`, measured, bound: null, direction: 'at-most', unit };
}

function createRateRows(name: string, cost: RateCost): BenchRow[] {
  return [
    createRow(`tasks accepted ${name}`, cost.acceptedPerSecond, '1/s'),
    createRow(`tasks ended ${name}`, cost.endedPerSecond, '1/s'),
    createRow(`writes per accepted task ${name}`, writesPerTask(cost), 'calls'),
    createRow(
      `reads per accepted task ${name}`,
      cost.readsPerSecond / cost.acceptedPerSecond,
      'calls',
    ),
  ];
}

/** The higher the rate, the more tasks share a commit, so the writes per task must not grow with the rate. */
function createSharingRow(costAt50: RateCost, costAt200: RateCost): BenchRow {
  return {
    ...createRow('writes per accepted task at 200/s over 50/s', 0, 'ratio'),
    measured: writesPerTask(costAt200) / writesPerTask(costAt50),
    bound: 1,
  };
}

/**
 * Extrapolates the store writes to the peak rate. The slope falls with the rate, so the line through the two highest
 * rates overestimates. It starts from the larger number of writes of both rates, because daemons that lack processor
 * time commit less often.
 */
function createSlopeRows(lower: RateCost, highest: RateCost): BenchRow[] {
  const slope =
    (highest.writesPerSecond - lower.writesPerSecond) /
    (highest.acceptedPerSecond - lower.acceptedPerSecond);
  const mostWrites = Math.max(lower.writesPerSecond, highest.writesPerSecond);
  const remainingRate = PEAK_STARTS_PER_SECOND - highest.acceptedPerSecond;
  return [
    createRow('further writes per further task, from 200/s to the highest rate', slope, 'calls'),
    {
      ...createRow('writes of the whole cell at 6,300 tasks/s, from the slope', 0, 'calls/s'),
      measured: mostWrites + Math.max(0, slope) * remainingRate,
      bound: STORE_WRITES_PER_SECOND,
    },
  ];
}

/** The control overhead is the same at every rate, so the difference between two rates is the cost of the tasks. */
function createDaemonRows(cell: LocalCell, costAt50: RateCost, costAt200: RateCost): BenchRow[] {
  const perTask =
    (costAt200.processorPerSecond - costAt50.processorPerSecond) /
    (costAt200.acceptedPerSecond - costAt50.acceptedPerSecond);
  const memory = readDaemonUsage(cell).map(({ privateBytes }) => privateBytes);
  const shared = { bound: null, direction: 'at-most' as const };
  const name = 'loaded daemons: processor time per further task, from 50/s to 200/s';
  return [
    { ...shared, name, measured: perTask, unit: 'ms' },
    {
      ...shared,
      name: 'loaded daemons: private memory after the highest rate, largest',
      measured: Math.max(...memory),
      unit: 'bytes',
    },
  ];
}

async function measureRates(cell: LocalCell, example: Example, isShort: boolean) {
  const load = createLoadGenerator(cell, example, isShort ? 2_000 : 4_000);
  const milliseconds = isShort ? 5_000 : 8_000;
  try {
    const costAt50 = await load.measure(RATES_PER_SECOND[0], milliseconds);
    const costAt200 = await load.measure(RATES_PER_SECOND[1], milliseconds);
    const sharing = createSharingRow(costAt50, costAt200);
    if (isShort) return [sharing];
    const highest = await load.measure(UNBOUNDED_RATE, milliseconds);
    return [
      ...createRateRows('at 50/s', costAt50),
      ...createRateRows('at 200/s', costAt200),
      ...createRateRows('at the highest rate', highest),
      createRow('writes of the whole cell at the highest rate', highest.writesPerSecond, 'calls/s'),
      sharing,
      ...createSlopeRows(costAt200, highest),
      ...createDaemonRows(cell, costAt50, costAt200),
    ];
  } finally {
    await load.close();
  }
}

/**
 * Measures the store calls per accepted task, including everything else that the cell writes meanwhile: acceptance,
 * start intent and end of tasks, shares of team limits, snapshots, sessions and owner records.
 *
 * @param options size of the run; a short run gives only the ratio between two rates
 * @returns rows; the bound on the writes of the whole cell is what the store allows
 * @throws if accepted tasks do not end
 */
export async function collectStoreCallRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  const example = readExampleWithHighLimits();
  const cell = await startLocalCell({
    plan: example.plan,
    prepare: (started) => applyExample(started, example),
  });
  try {
    await sleep(clock, SETTLE_MILLISECONDS);
    return await measureRates(cell, example, options.isShort);
  } finally {
    await cell.close();
  }
}
