import type { WorkItem, QueuePriority } from '../index.js';
import { pickRandom, createRandom } from './fleet.js';
import type { Random } from './fleet.js';

const GIBIBYTE = 2 ** 30;

/** Kind of work in a replay. */
export type ReplayKind = 'urgent' | 'batch' | 'gang' | 'overnight';

/** Kinds in the order in which they are reported. */
export const REPLAY_KINDS: readonly ReplayKind[] = ['urgent', 'batch', 'gang', 'overnight'];

/** Work that arrives in a replay. */
export interface Arrival {
  readonly kind: ReplayKind;
  readonly work: WorkItem;
  readonly runMilliseconds: number;
}

export interface Trace {
  readonly workers: number;
  readonly durationMilliseconds: number;
  readonly shares: Readonly<Record<string, number>>;
  readonly arrivals: readonly Arrival[];
}

interface KindSettings {
  readonly priority: QueuePriority;
  /** Fraction of all arrivals. */
  readonly weight: number;
  readonly processors: readonly number[];
  readonly tasks: readonly number[];
  readonly meanRunMilliseconds: number;
  /** Fraction of the work whose tasks need one accelerator each. */
  readonly acceleratorFraction: number;
}

const KINDS: Readonly<Record<ReplayKind, KindSettings>> = {
  urgent: {
    priority: 'urgent',
    weight: 0.2,
    processors: [0.5, 1, 2],
    tasks: [1],
    meanRunMilliseconds: 8_000,
    acceleratorFraction: 0.02,
  },
  batch: {
    priority: 'normal',
    weight: 0.65,
    processors: [1, 2, 4, 8],
    tasks: [1],
    meanRunMilliseconds: 30_000,
    acceleratorFraction: 0.03,
  },
  gang: {
    priority: 'normal',
    weight: 0.02,
    processors: [4, 8],
    tasks: [4, 8, 12],
    meanRunMilliseconds: 40_000,
    acceleratorFraction: 0.25,
  },
  overnight: {
    priority: 'overnight',
    weight: 0.13,
    processors: [2, 8, 16],
    tasks: [1],
    meanRunMilliseconds: 45_000,
    acceleratorFraction: 0,
  },
};

/** Weights of the shares and of the arrivals of each team; the first team sends far more than its share. */
const TEAMS = [
  { name: 'flooding', share: 2, arrivals: 8 },
  { name: 'large', share: 4, arrivals: 4 },
  { name: 'middle', share: 2, arrivals: 2 },
  { name: 'small-0', share: 1, arrivals: 1 },
  { name: 'small-1', share: 1, arrivals: 1 },
  { name: 'small-2', share: 1, arrivals: 0.5 },
];

/** Arrivals per worker and second; on average they need about nine tenths of the capacity. */
const ARRIVALS_PER_WORKER_SECOND = 0.21;
/** Period of the waves in which work arrives; the peak rate is twice the mean. */
const WAVE_MILLISECONDS = 180_000;

const drawExponential = (random: Random, mean: number): number => -Math.log(1 - random()) * mean;

function drawWeighted<Value>(
  random: Random,
  values: readonly Value[],
  weightOf: (value: Value) => number,
): Value {
  const total = values.reduce((sum, value) => sum + weightOf(value), 0);
  let remaining = random() * total;
  return (
    values.find((value) => {
      remaining -= weightOf(value);
      return remaining < 0;
    }) ?? values[values.length - 1]!
  );
}

function drawArrival(random: Random, index: number, time: number): Arrival {
  const kind = drawWeighted(random, REPLAY_KINDS, (name) => KINDS[name].weight);
  const settings = KINDS[kind];
  const processors = pickRandom(random, settings.processors);
  const team = drawWeighted(random, TEAMS, ({ arrivals }) => arrivals).name;
  const needsAccelerator = random() < settings.acceleratorFraction;
  return {
    kind,
    work: {
      workId: `work-${index}`,
      jobId: `job-${index}`,
      team,
      priority: settings.priority,
      resources: {
        processors,
        memoryBytes: Math.floor(processors * (1 + 5 * random()) * GIBIBYTE),
        accelerators: needsAccelerator ? 1 : 0,
      },
      taskCount: pickRandom(random, settings.tasks),
      enqueuedAt: time,
      notBefore: time,
    },
    runMilliseconds: 500 + drawExponential(random, settings.meanRunMilliseconds),
  };
}

/**
 * Creates a trace of arrivals in waves, with one team that sends four times its share.
 *
 * @param workers number of workers
 * @param durationMilliseconds time over which work arrives
 */
export function createTrace(seed: number, workers: number, durationMilliseconds: number): Trace {
  const random = createRandom(seed);
  const arrivals: Arrival[] = [];
  const peakPerMillisecond = (2 * ARRIVALS_PER_WORKER_SECOND * workers) / 1_000;
  let at = drawExponential(random, 1 / peakPerMillisecond);
  while (at < durationMilliseconds) {
    const arrivalProbability = 0.5 - 0.5 * Math.cos((2 * Math.PI * at) / WAVE_MILLISECONDS);
    if (random() < arrivalProbability) arrivals.push(drawArrival(random, arrivals.length, at));
    at += drawExponential(random, 1 / peakPerMillisecond);
  }
  const shares = Object.fromEntries(TEAMS.map(({ name, share }) => [name, share]));
  return { workers, durationMilliseconds, shares, arrivals };
}
