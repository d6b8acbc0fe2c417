import type { Resources } from '@chicorybend/common';

/** Samples kept per team and queue; the oldest is overwritten, so that estimates follow a changed workload. */
const MAXIMUM_SAMPLES = 64;
/** With fewer samples, the declared values are used. */
const MINIMUM_SAMPLES = 5;
/** The median, because declared run times err on both sides. */
const RUN_TIME_QUANTILE = 0.5;
/** A high quantile, because a size that is estimated too low harms other tasks on the worker. */
const SIZE_QUANTILE = 0.95;

/** A finished execution, as reported by its worker. */
export interface ExecutionSample {
  readonly team: string;
  readonly queue: string;
  readonly runMilliseconds: number;
  readonly peak: Resources;
}

/** Usage reported for a running task; it lags behind the actual usage. */
export interface UsageSample {
  readonly team: string;
  readonly queue: string;
  readonly used: Resources;
}

/** Estimates run times and sizes (amounts of resources) of tasks from past executions, by team and queue. */
export interface RunTimeEstimator {
  /** Adds the run time and the peak usage of a finished execution. */
  recordExecution(sample: ExecutionSample): void;
  /** Adds the usage of a running task; it is a lower bound of the peak. */
  recordUsage(sample: UsageSample): void;
  /** @returns expected run time in milliseconds; the declared one until there are enough samples */
  estimateRunMilliseconds(team: string, queue: string, declaredMilliseconds: number): number;
  /** @returns size to charge: estimated amounts, never below the declared ones */
  estimateCharge(team: string, queue: string, declared: Resources): Resources;
  /** @returns amounts likely to be used, for reports; may be below the declared ones */
  estimateUsage(team: string, queue: string, declared: Resources): Resources;
}

/** The most recent samples of one quantity. */
interface SampleWindow {
  add(value: number): void;
  /** @returns the quantile, or null with fewer than {@link MINIMUM_SAMPLES} samples */
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

/** Creates an estimator without samples. */
export function createRunTimeEstimator(): RunTimeEstimator {
  const samplesByKey = new Map<string, LearntSamples>();
  // Names of teams and queues contain no slash, so the key is unambiguous.
  const keyOf = (team: string, queue: string): string => `${team}/${queue}`;

  function samplesFor(team: string, queue: string): LearntSamples {
    const key = keyOf(team, queue);
    const samples = samplesByKey.get(key) ?? createLearntSamples();
    samplesByKey.set(key, samples);
    return samples;
  }

  function addSize(samples: LearntSamples, size: Resources): void {
    samples.processors.add(size.processors);
    samples.memoryBytes.add(size.memoryBytes);
    samples.accelerators.add(size.accelerators);
  }

  function estimateUsage(team: string, queue: string, declared: Resources): Resources {
    const samples = samplesByKey.get(keyOf(team, queue));
    if (!samples) return declared;
    return {
      processors: samples.processors.quantile(SIZE_QUANTILE) ?? declared.processors,
      memoryBytes: samples.memoryBytes.quantile(SIZE_QUANTILE) ?? declared.memoryBytes,
      accelerators: samples.accelerators.quantile(SIZE_QUANTILE) ?? declared.accelerators,
    };
  }

  return {
    recordExecution(sample) {
      const samples = samplesFor(sample.team, sample.queue);
      samples.runMilliseconds.add(sample.runMilliseconds);
      addSize(samples, sample.peak);
    },
    recordUsage(sample) {
      const samples = samplesFor(sample.team, sample.queue);
      const estimate = estimateUsage(sample.team, sample.queue, sample.used);
      // The peak may be yet to come, so a running task counts only once it exceeds the estimate.
      const exceedsEstimate =
        sample.used.processors > estimate.processors ||
        sample.used.memoryBytes > estimate.memoryBytes ||
        sample.used.accelerators > estimate.accelerators;
      if (exceedsEstimate) addSize(samples, sample.used);
    },
    estimateRunMilliseconds: (team, queue, declaredMilliseconds) =>
      samplesByKey.get(keyOf(team, queue))?.runMilliseconds.quantile(RUN_TIME_QUANTILE) ??
      declaredMilliseconds,
    estimateCharge(team, queue, declared) {
      const usage = estimateUsage(team, queue, declared);
      return {
        processors: Math.max(declared.processors, usage.processors),
        memoryBytes: Math.max(declared.memoryBytes, usage.memoryBytes),
        accelerators: Math.max(declared.accelerators, usage.accelerators),
      };
    },
    estimateUsage,
  };
}
