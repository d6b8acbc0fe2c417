/** Fractions of the fleet, or weights, by team. */
export type Amounts = Readonly<Record<string, number>>;

const sumOf = (amounts: Amounts): number =>
  Object.values(amounts).reduce((sum, amount) => sum + amount, 0);

/**
 * Divides an amount by weight, with no team entitled to more than it demands (weighted max-min fairness).
 *
 * @param available amount to divide
 * @param demands amount that each team could use
 * @param shares weights
 * @returns entitlement of each team
 */
export function computeEntitlements(
  available: number,
  demands: Amounts,
  shares: Amounts,
): Record<string, number> {
  const entitled: Record<string, number> = {};
  let remaining = available;
  // The team whose demand is smallest for its weight is satisfied first.
  const teams = Object.keys(demands).sort(
    (left, right) => demands[left]! / shares[left]! - demands[right]! / shares[right]!,
  );
  let weights = teams.reduce((sum, team) => sum + shares[team]!, 0);
  teams.forEach((team) => {
    const amount = Math.min(demands[team]!, (remaining * shares[team]!) / weights);
    entitled[team] = amount;
    remaining -= amount;
    weights -= shares[team]!;
  });
  return entitled;
}

/** Measures how far the usage of the teams is from their shares, over a sliding window. */
export interface DistanceMeter {
  /** Adds a sample; samples must be taken at equal intervals. */
  add(used: Amounts, demands: Amounts): void;
  /** @returns fraction of the used amount beyond the entitlements of its teams, per position of the window */
  distances(): readonly number[];
}

/**
 * @param shares weights
 * @param windowSamples samples per window
 */
export function createDistanceMeter(shares: Amounts, windowSamples: number): DistanceMeter {
  const samples: { used: Amounts; entitled: Amounts }[] = [];
  const windowDistances: number[] = [];

  function measureWindow(): number {
    const window = samples.slice(-windowSamples);
    const excess = Object.keys(shares).reduce((sum, team) => {
      const used = window.reduce((total, sample) => total + (sample.used[team] ?? 0), 0);
      const entitled = window.reduce((total, sample) => total + (sample.entitled[team] ?? 0), 0);
      return sum + Math.max(0, used - entitled);
    }, 0);
    const total = window.reduce((sum, sample) => sum + sumOf(sample.used), 0);
    return total > 0 ? excess / total : 0;
  }

  return {
    add(used, demands) {
      samples.push({ used, entitled: computeEntitlements(sumOf(used), demands, shares) });
      if (samples.length >= windowSamples) windowDistances.push(measureWindow());
    },
    distances: () => windowDistances,
  };
}
