/** Factor by which each new run reduces the weight of the earlier ones; roughly the last 200 runs count. */
const DECAY_FACTOR = 0.995;
/** While the weights of the recorded runs sum to less, the estimate of the caller is returned unchanged. */
const MINIMUM_RUNS = 10;
/** Shorter times count as this one, so that logarithms stay finite. */
const MINIMUM_MILLISECONDS = 1;

/** Predicts run times from the kind of a task and the rough estimate of its caller. */
export interface RunTimeRegression {
  /** Adds a successful run; times are in milliseconds. */
  record(kind: string, estimatedMilliseconds: number, milliseconds: number): void;
  /** @returns whether enough runs of a kind are recorded, so that the estimate of a caller is not taken as it is */
  hasEnoughRuns(kind: string): boolean;
  /** @returns expected time of a run in milliseconds; the estimate itself until enough runs of the kind are recorded */
  predict(kind: string, estimatedMilliseconds: number): number;
}

/** Weighted sums over the logarithms of estimates and run times; the weights decay exponentially. */
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

/** Slope of the regression of run times on estimates, limited to [0, 1]; 0 if the estimates hardly vary. */
function computeSlope({
  weightSum,
  estimateSum,
  timeSum,
  estimateSquareSum,
  productSum,
}: Moments): number {
  const variance = estimateSquareSum / weightSum - (estimateSum / weightSum) ** 2;
  const covariance = productSum / weightSum - (estimateSum / weightSum) * (timeSum / weightSum);
  return variance > 1e-6 ? Math.min(1, Math.max(0, covariance / variance)) : 0;
}

/**
 * Creates a regression without recorded runs. Callers' estimates are off by factors, so the regression is on
 * logarithms. A noisy estimate moves the prediction little from the mean of its kind.
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
    hasEnoughRuns: (kind) => (kinds.get(kind)?.weightSum ?? 0) >= MINIMUM_RUNS,
    predict(kind, estimatedMilliseconds) {
      const moments = kinds.get(kind);
      if (!moments || moments.weightSum < MINIMUM_RUNS) return estimatedMilliseconds;
      const { weightSum, estimateSum, timeSum } = moments;
      const deviation = logarithm(estimatedMilliseconds) - estimateSum / weightSum;
      return Math.exp(timeSum / weightSum + computeSlope(moments) * deviation);
    },
  };
}
