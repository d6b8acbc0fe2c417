/** Weight of the past against each new run; about the last two hundred runs count. */
const DECAY_FACTOR = 0.995;
/** Below this many runs, the estimate of the caller counts alone. */
const MINIMUM_RUNS = 10;
/** Shortest time that is told apart, in milliseconds. */
const MINIMUM_MILLISECONDS = 1;

/** Learns how long work takes by its kind and by the rough estimate that came with it. */
export interface RunTimeRegression {
  /** Learns from a run that has ended with success. */
  record(kind: string, estimatedMilliseconds: number, milliseconds: number): void;
  /** @returns expected time of a run in milliseconds; the estimate itself until enough was learnt */
  predict(kind: string, estimatedMilliseconds: number): number;
}

/** Moments of the logarithms of estimates and of times, with weights that decay. */
interface Moments {
  weightSum: number;
  estimateSum: number;
  timeSum: number;
  estimateSquareSum: number;
  productSum: number;
}

function logarithm(milliseconds: number): number {
  return Math.log(Math.max(MINIMUM_MILLISECONDS, milliseconds));
}

/** Part of a deviation of the estimate from its mean that shows in the times. */
function computeSlope({
  weightSum: weight,
  estimateSum: estimate,
  timeSum: time,
  estimateSquareSum: estimateSquare,
  productSum: product,
}: Moments): number {
  const variance = estimateSquare / weight - (estimate / weight) ** 2;
  const covariance = product / weight - (estimate / weight) * (time / weight);
  return variance > 1e-6 ? Math.min(1, Math.max(0, covariance / variance)) : 0;
}

/**
 * Creates a model that has learnt nothing. Callers' estimates are off by factors, so that times are predicted
 * by a regression on the logarithms: a noisy estimate moves the prediction little from the mean of its kind.
 *
 * @returns model
 */
export function createRunTimeRegression(): RunTimeRegression {
  const kinds = new Map<string, Moments>();

  return {
    record(kind, estimatedMilliseconds, milliseconds) {
      const estimate = logarithm(estimatedMilliseconds);
      const time = logarithm(milliseconds);
      const past = kinds.get(kind);
      kinds.set(kind, {
        weightSum: DECAY_FACTOR * (past?.weightSum ?? 0) + 1,
        estimateSum: DECAY_FACTOR * (past?.estimateSum ?? 0) + estimate,
        timeSum: DECAY_FACTOR * (past?.timeSum ?? 0) + time,
        estimateSquareSum: DECAY_FACTOR * (past?.estimateSquareSum ?? 0) + estimate ** 2,
        productSum: DECAY_FACTOR * (past?.productSum ?? 0) + estimate * time,
      });
    },
    predict(kind, estimatedMilliseconds) {
      const moments = kinds.get(kind);
      if (!moments || moments.weightSum < MINIMUM_RUNS) return estimatedMilliseconds;
      const { weightSum: weight, estimateSum: estimate, timeSum: time } = moments;
      const deviation = logarithm(estimatedMilliseconds) - estimate / weight;
      return Math.exp(time / weight + computeSlope(moments) * deviation);
    },
  };
}
