import type { BenchOptions, BenchRow } from '@chicorybend/common';
import {
  createBestFitPolicy,
  createFirstFitPolicy,
  createQueueOrderPolicy,
  createRandomPolicy,
} from '../index.js';
import type { WorkItem, QueueOrderPolicy } from '../index.js';
import { createRandom } from './fleet.js';
import { runReplay } from './replay.js';
import type { ReplayResult, ReplayVariant } from './replay.js';
import { createTrace, REPLAY_KINDS } from './replayTrace.js';
import type { ReplayKind, Trace } from './replayTrace.js';

/** Several seeds, because differences of a few percent between two variants depend on the trace. */
const TRACE_SEEDS = [3, 11, 29] as const;
const PLACEMENT_SEED = 4;
const SHORT_TRACE = { workers: 40, durationMilliseconds: 720_000 };
const FULL_TRACE = { workers: 100, durationMilliseconds: 1_800_000 };
const PERCENTILES = [50, 99, 99.9];
/** Time within which urgent work must start, from the design page. */
const URGENT_START_MILLISECONDS = 6_400;

const OLDEST_FIRST: QueueOrderPolicy = {
  name: 'waiting-time-first',
  rank: (_, waitedMilliseconds) => -waitedMilliseconds,
};

const withoutTeams = (work: WorkItem): WorkItem => ({ ...work, team: 'all' });
const withoutTeamsAndPriorities = (work: WorkItem): WorkItem => ({
  ...withoutTeams(work),
  priority: 'normal',
});

/** Policies and baselines to compare. */
export const VARIANTS = {
  shareFirst: {
    name: 'share-first',
    createPlacement: createBestFitPolicy,
    createOrder: () => createQueueOrderPolicy('share-first'),
    usesHolds: true,
  },
  waitingTimeFirst: {
    name: 'waiting-time-first',
    createPlacement: createBestFitPolicy,
    createOrder: () => createQueueOrderPolicy('waiting-time-first'),
    usesHolds: true,
  },
  firstCome: {
    name: 'baseline first-come first-fit',
    createPlacement: createFirstFitPolicy,
    createOrder: () => OLDEST_FIRST,
    transformWork: withoutTeamsAndPriorities,
  },
  randomPlacement: {
    name: 'baseline random placement',
    createPlacement: () => createRandomPolicy(createRandom(PLACEMENT_SEED)),
    createOrder: () => createQueueOrderPolicy('share-first'),
    usesHolds: true,
  },
  sharesOff: {
    name: 'baseline shares off',
    createPlacement: createBestFitPolicy,
    createOrder: () => OLDEST_FIRST,
    usesHolds: true,
    transformWork: withoutTeams,
  },
} as const satisfies Record<string, ReplayVariant>;

type Results = Readonly<Record<keyof typeof VARIANTS, ReplayResult>>;

const waitOf = (result: ReplayResult, kind: ReplayKind, percentile: number): number =>
  result.waits[kind].getValueAtPercentile(percentile);

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Rows of one variant under one trace, without bounds. */
function reportRows(result: ReplayResult): readonly BenchRow[] {
  const row = (name: string, measured: number, unit: string): BenchRow => ({
    name: `replay ${result.name}: ${name}, mean of ${TRACE_SEEDS.length} seeds`,
    measured,
    bound: null,
    direction: 'at-most',
    unit,
  });
  const waits = REPLAY_KINDS.flatMap((kind) =>
    PERCENTILES.map((percentile) =>
      row(`${kind} wait p${percentile}`, waitOf(result, kind, percentile), 'ms'),
    ),
  );
  const sorted = [...result.distances].sort((left, right) => left - right);
  return [
    ...waits,
    row('processors in use while work waits', result.packing, 'fraction'),
    row('distance from share, mean of windows', meanOf(result.distances), 'fraction'),
    row(
      'distance from share, p99 of windows',
      sorted[Math.floor(0.99 * sorted.length)] ?? 0,
      'fraction',
    ),
  ];
}

/** Combines the rows of several traces, which are in the same order for each. */
function combineRows(
  rowsBySeed: readonly (readonly BenchRow[])[],
  combine: (values: readonly number[], row: BenchRow) => number,
): readonly BenchRow[] {
  const [first = []] = rowsBySeed;
  return first.map((row, index) => ({
    ...row,
    measured: combine(
      rowsBySeed.map((rows) => rows[index]!.measured),
      row,
    ),
  }));
}

/** The value closest to violating the bound, so that the bound holds under every seed. */
const worstOf = (values: readonly number[], { direction }: BenchRow): number =>
  direction === 'at-most' ? Math.max(...values) : Math.min(...values);

/** Comparisons within one run in simulated time, which are the same on every machine. */
function comparisonRows(results: Results, startMismatches: number): readonly BenchRow[] {
  const { shareFirst, waitingTimeFirst, firstCome, randomPlacement, sharesOff } = results;
  const ratio = (name: string, measured: number, direction: BenchRow['direction']): BenchRow => ({
    name: `replay: ${name}`,
    measured,
    bound: 1,
    direction,
    unit: 'ratio',
  });
  const urgentRows = [shareFirst, waitingTimeFirst].flatMap((result): readonly BenchRow[] => [
    {
      name: `replay ${result.name}: urgent wait p99.9`,
      measured: waitOf(result, 'urgent', 99.9),
      bound: URGENT_START_MILLISECONDS,
      direction: 'at-most',
      unit: 'simulated ms',
    },
    ratio(
      `urgent wait p99, ${result.name} over first-come first-fit`,
      waitOf(result, 'urgent', 99) / waitOf(firstCome, 'urgent', 99),
      'at-most',
    ),
  ]);
  return [
    ...urgentRows,
    ratio(
      'batch wait p50, waiting-time-first over first-come first-fit',
      waitOf(waitingTimeFirst, 'batch', 50) / waitOf(firstCome, 'batch', 50),
      'at-most',
    ),
    ratio(
      'batch wait p99, waiting-time-first over first-come first-fit',
      waitOf(waitingTimeFirst, 'batch', 99) / waitOf(firstCome, 'batch', 99),
      'at-most',
    ),
    ratio(
      'distance from share, share-first over shares off',
      meanOf(shareFirst.distances) / meanOf(sharesOff.distances),
      'at-most',
    ),
    ratio(
      'distance from share, share-first over first-come first-fit',
      meanOf(shareFirst.distances) / meanOf(firstCome.distances),
      'at-most',
    ),
    ratio(
      'packing, best fit over random placement',
      shareFirst.packing / randomPlacement.packing,
      'at-least',
    ),
    {
      name: 'replay: work that was not started, most of all variants',
      measured: startMismatches,
      bound: 0,
      direction: 'at-most',
      unit: 'count',
    },
  ];
}

function replayTrace(trace: Trace): Results {
  const run = (variant: ReplayVariant): ReplayResult => runReplay(trace, variant);
  return {
    shareFirst: run(VARIANTS.shareFirst),
    waitingTimeFirst: run(VARIANTS.waitingTimeFirst),
    firstCome: run(VARIANTS.firstCome),
    randomPlacement: run(VARIANTS.randomPlacement),
    sharesOff: run(VARIANTS.sharesOff),
  };
}

/** Largest difference between arrivals and starts of any variant: work not started, or started twice. */
function countStartMismatches(results: Results, arrived: number): number {
  return Math.max(...Object.values(results).map(({ started }) => Math.abs(arrived - started)));
}

/**
 * Replays seeded traces under the policies and the baselines. Each comparison reports its worst seed.
 *
 * @param options extent; short mode uses a smaller trace and reports only the comparisons
 */
export function collectReplayRows({ isShort }: BenchOptions): readonly BenchRow[] {
  const { workers, durationMilliseconds } = isShort ? SHORT_TRACE : FULL_TRACE;
  const traces = TRACE_SEEDS.map((seed) => createTrace(seed, workers, durationMilliseconds));
  const results = traces.map(replayTrace);
  const reports = results.map((bySeed) => Object.values(bySeed).flatMap(reportRows));
  const comparisons = results.map((bySeed, index) =>
    comparisonRows(bySeed, countStartMismatches(bySeed, traces[index]!.arrivals.length)),
  );
  return [...(isShort ? [] : combineRows(reports, meanOf)), ...combineRows(comparisons, worstOf)];
}
