/** Work whose turn is to be decided. */
export interface OrderedWork {
  /** Priority of the queue; 0 comes first. */
  readonly priority: number;
  /** When the work should be complete, in monotonic milliseconds. */
  readonly objectiveAt: number;
  /** What remains on its longest chain, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** What the team has running, as its dominant share divided by its weight. */
  readonly weightedShare: number;
}

/** Shares that differ by less count as equal, so that small teams do not alternate with every task. */
const SHARE_STEP = 0.05;

/**
 * Orders work: priority, then the team that is furthest below its share, then the least time to spare until
 * the objective.
 *
 * @param left work
 * @param right other work
 * @returns negative if `left` comes first, positive if `right` does
 */
export function compareWork(left: OrderedWork, right: OrderedWork): number {
  if (left.priority !== right.priority) return left.priority - right.priority;
  const leftShare = Math.floor(left.weightedShare / SHARE_STEP);
  const rightShare = Math.floor(right.weightedShare / SHARE_STEP);
  if (leftShare !== rightShare) return leftShare - rightShare;
  const leftSlack = left.objectiveAt - left.remainingMilliseconds;
  const rightSlack = right.objectiveAt - right.remainingMilliseconds;
  return leftSlack - rightSlack;
}
