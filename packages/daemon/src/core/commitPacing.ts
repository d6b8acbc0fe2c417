/** Fraction of the budget for journal commits; the rest is for sessions, owner records and upper limits. */
const COMMIT_FRACTION = 0.9;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Computes the time between two journal commits of a partition that keeps the whole cell within the write budget of
 * the store.
 *
 * @param servedPartitions partitions that this daemon serves
 * @param members daemons of the cell, which share the budget equally
 * @param storeWritesPerSecond budget of the whole cell, in writes per second
 * @returns interval in milliseconds
 */
export function computeCommitInterval(
  servedPartitions: number,
  members: number,
  storeWritesPerSecond: number,
): number {
  const writesPerSecond = (storeWritesPerSecond * COMMIT_FRACTION) / Math.max(1, members);
  return (servedPartitions / writesPerSecond) * MILLISECONDS_PER_SECOND;
}
