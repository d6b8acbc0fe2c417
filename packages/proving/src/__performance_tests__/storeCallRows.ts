/** Store calls, processor time and memory that durable work costs from its acceptance to its end, at several rates. */
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

/** Task starts per second of the whole cell at the peak. */
const PEAK_STARTS_PER_SECOND = 6_300;
/** Writes per second of the whole cell that the store allows. */
const STORE_WRITES_PER_SECOND = 300;
const RATES_PER_SECOND = [50, 200] as const;
/** Accepted tasks without an end at the highest rate, so that no backlog builds up unseen. */
const MAXIMUM_UNFINISHED_TASKS = 600;
/** Far above every rate, so that only the unfinished tasks limit it. */
const UNBOUNDED_RATE = 100_000;
const MAXIMUM_OPEN_CALLS = 400;
const TICK_MILLISECONDS = 10;
const SETTLE_MILLISECONDS = 8_000;
const MILLISECONDS_PER_SECOND = 1_000;
const DRAIN_LIMIT_MILLISECONDS = 30_000;
const TEAMS = ['taoyuan-works', 'kaohsiung-works', 'taichung-works'] as const;
const QUEUE = 'certificates';
/** Limits that no load here reaches, because refused starts would hide calls. */
const TEAM_LIMITS = { tasks: 20_000, requests: 100 };
const RUN_MILLISECONDS = 100;
const TASK_RESOURCES = { processors: 0.1, memoryBytes: 1_048_576, accelerators: 0 };

const clock = createSystemClock();

/** What one rate cost, in a window of steady load. */
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
  /** Runs a rate, and measures after a time in which groups, parts of limits and leases settle. */
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

/** Counts the ends in the record without reading an entry twice. */
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
    return (
      open < MAXIMUM_OPEN_CALLS && accepted + open - countEndedTasks() < MAXIMUM_UNFINISHED_TASKS
    );
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
      if (!isDrained)
        throw new Error(`${accepted - countEndedTasks()} accepted tasks have not ended`);
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

/** Commits are shared by more tasks the more there are, so the cost a task may not grow with the rate. */
function createSharingRow(few: RateCost, many: RateCost): BenchRow {
  return {
    ...createRow('writes per accepted task at 200/s over 50/s', 0, 'ratio'),
    measured: writesPerTask(many) / writesPerTask(few),
    bound: 1,
  };
}

/**
 * The slope falls with the rate, so the line through the two highest rates lies above the real figure. It
 * starts from the most writes of both rates, because daemons that lack processor time commit less often.
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

/** Control goes on at every rate, so that the difference between two rates is the cost of the work alone. */
function createDaemonRows(cell: LocalCell, few: RateCost, many: RateCost): BenchRow[] {
  const perTask =
    (many.processorPerSecond - few.processorPerSecond) /
    (many.acceptedPerSecond - few.acceptedPerSecond);
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
    const few = await load.measure(RATES_PER_SECOND[0], milliseconds);
    const many = await load.measure(RATES_PER_SECOND[1], milliseconds);
    const sharing = createSharingRow(few, many);
    if (isShort) return [sharing];
    const highest = await load.measure(UNBOUNDED_RATE, milliseconds);
    return [
      ...createRateRows('at 50/s', few),
      ...createRateRows('at 200/s', many),
      ...createRateRows('at the highest rate', highest),
      createRow('writes of the whole cell at the highest rate', highest.writesPerSecond, 'calls/s'),
      sharing,
      ...createSlopeRows(many, highest),
      ...createDaemonRows(cell, few, many),
    ];
  } finally {
    await load.close();
  }
}

/**
 * Measures the store calls per accepted task, with all that the cell does meanwhile: acceptance, intent and
 * end, parts of upper limits, snapshots, sessions and owner records.
 *
 * @param options extent of the run; a short run gives the ratio between two rates only
 * @returns rows; the bound on the writes of the whole cell is the stated target
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
