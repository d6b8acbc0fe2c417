import type { Resources } from '@chicorybend/common';

/** Samples kept per team and queue; older ones give way, so that a changed workload is learnt. */
const MAXIMUM_SAMPLES = 64;
/** Below this many samples, the declaration counts alone. */
const MINIMUM_SAMPLES = 5;
/** Run times are estimated at the median: the declared ones are too long and too short alike. */
const RUN_TIME_QUANTILE = 0.5;
/** Sizes are estimated near the top, because a size that is too small harms the neighbours. */
const SIZE_QUANTILE = 0.95;

/** An execution as reported by a worker, after the fact. */
export interface ExecutionSample {
  readonly team: string;
  readonly queue: string;
  readonly runMilliseconds: number;
  readonly peak: Resources;
}

/** Usage of a task that still runs; lags behind. */
export interface UsageSample {
  readonly team: string;
  readonly queue: string;
  readonly used: Resources;
}

/** Learns run times and sizes per team and queue. */
export interface RunTimeEstimator {
  /** Learns from an execution that ended. */
  recordExecution(sample: ExecutionSample): void;
  /** Learns from a task that still runs; its usage so far is a lower bound of its peak. */
  recordUsage(sample: UsageSample): void;
  /** @returns expected run time in milliseconds; the declared one until enough was learnt */
  estimateRunMilliseconds(team: string, queue: string, declaredMilliseconds: number): number;
  /** @returns size to charge: learnt amounts, never below the declared ones */
  estimateCharge(team: string, queue: string, declared: Resources): Resources;
  /** @returns amounts likely to be used, for reports; may be below what is declared */
  estimateUsage(team: string, queue: string, declared: Resources): Resources;
}

interface SampleWindow {
  add(value: number): void;
  quantile(fraction: number): number | null;
}

function createSampleWindow(): SampleWindow {
  const ring: number[] = [];
  let next = 0;
  return {
    add(value) {
      ring[next] = value;
      next = (next + 1) % MAXIMUM_SAMPLES;
    },
    quantile(fraction) {
      if (ring.length < MINIMUM_SAMPLES) return null;
      const sorted = [...ring].sort((left, right) => left - right);
      return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!;
    },
  };
}

interface LearntSamples {
  readonly runMilliseconds: SampleWindow;
  readonly processors: SampleWindow;
  readonly memoryBytes: SampleWindow;
  readonly accelerators: SampleWindow;
}

const createLearntSamples = (): LearntSamples => ({
  runMilliseconds: createSampleWindow(),
  processors: createSampleWindow(),
  memoryBytes: createSampleWindow(),
  accelerators: createSampleWindow(),
});

/**
 * Creates an estimator that knows nothing yet.
 *
 * @returns estimator
 */
export function createRunTimeEstimator(): RunTimeEstimator {
  const samplesByKey = new Map<string, LearntSamples>();
  // Names hold no slash, so the key is unambiguous.
  const keyOf = (team: string, queue: string): string => `${team}/${queue}`;

  function samplesFor(team: string, queue: string): LearntSamples {
    const key = keyOf(team, queue);
    const learnt = samplesByKey.get(key) ?? createLearntSamples();
    samplesByKey.set(key, learnt);
    return learnt;
  }

  function addSize(learnt: LearntSamples, size: Resources): void {
    learnt.processors.add(size.processors);
    learnt.memoryBytes.add(size.memoryBytes);
    learnt.accelerators.add(size.accelerators);
  }

  function estimateUse(team: string, queue: string, declared: Resources): Resources {
    const learnt = samplesByKey.get(keyOf(team, queue));
    if (!learnt) return declared;
    return {
      processors: learnt.processors.quantile(SIZE_QUANTILE) ?? declared.processors,
      memoryBytes: learnt.memoryBytes.quantile(SIZE_QUANTILE) ?? declared.memoryBytes,
      accelerators: learnt.accelerators.quantile(SIZE_QUANTILE) ?? declared.accelerators,
    };
  }

  return {
    recordExecution(sample) {
      const learnt = samplesFor(sample.team, sample.queue);
      learnt.runMilliseconds.add(sample.runMilliseconds);
      addSize(learnt, sample.peak);
    },
    recordUsage(sample) {
      const learnt = samplesFor(sample.team, sample.queue);
      const known = estimateUse(sample.team, sample.queue, sample.used);
      // A running task only counts when it already exceeds what is known; its peak is yet to come.
      const exceeds =
        sample.used.processors > known.processors ||
        sample.used.memoryBytes > known.memoryBytes ||
        sample.used.accelerators > known.accelerators;
      if (exceeds) addSize(learnt, sample.used);
    },
    estimateRunMilliseconds: (team, queue, declaredMilliseconds) =>
      samplesByKey.get(keyOf(team, queue))?.runMilliseconds.quantile(RUN_TIME_QUANTILE) ??
      declaredMilliseconds,
    estimateCharge(team, queue, declared) {
      const use = estimateUse(team, queue, declared);
      return {
        processors: Math.max(declared.processors, use.processors),
        memoryBytes: Math.max(declared.memoryBytes, use.memoryBytes),
        accelerators: Math.max(declared.accelerators, use.accelerators),
      };
    },
    estimateUsage: estimateUse,
  };
}
