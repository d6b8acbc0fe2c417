/** What a job can still earn: its objective, a late completion, or nothing that its caller waits for. */
export type Punctuality = 'on-time' | 'late' | 'overdue';

/** Work whose turn is to be decided. */
export interface OrderedWork {
  /** Priority of the queue; 0 comes first. */
  readonly priority: number;
  readonly punctuality: Punctuality;
  /** When the work should be complete, in monotonic milliseconds. */
  readonly objectiveAt: number;
  /** What remains on its longest chain, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** What the team has running, as its dominant share divided by its weight. */
  readonly weightedShare: number;
}

/** Times of work against its objective. */
export interface ObjectiveTimes {
  /** Time since the work was due, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Time from when it was due until it should be complete, in milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Estimate of what remains on its longest chain, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/** Shares that differ by less count as equal, so that small teams do not alternate with every task. */
const SHARE_STEP = 0.05;
/** A completion within this multiple of the objective is late; after it the caller has no use for it. */
const LATE_FACTOR = 3;
/** Estimates are often too high, so that work counts as late only when even this part of one does not fit. */
const OPTIMISTIC_PART = 0.5;

const PUNCTUALITY_ORDER: Readonly<Record<Punctuality, number>> = {
  'on-time': 0,
  late: 1,
  overdue: 2,
};

/**
 * Tells what a piece of work can still reach if it starts now.
 *
 * @param times age, objective and remaining time of the work
 * @returns the best outcome that is still possible
 */
export function judgePunctuality(times: ObjectiveTimes): Punctuality {
  const { ageMilliseconds, objectiveMilliseconds, remainingMilliseconds } = times;
  const earliest = ageMilliseconds + OPTIMISTIC_PART * remainingMilliseconds;
  if (earliest <= objectiveMilliseconds) return 'on-time';
  return earliest <= LATE_FACTOR * objectiveMilliseconds ? 'late' : 'overdue';
}

/**
 * Orders work: overdue work last, then by priority, then the team that is furthest below its share, then what
 * can still be on time, then the least time to spare until the objective.
 *
 * The load that it answers: a team sends several times what its limit lets run. By the least time to spare
 * alone, every job of that team would wait until it is late.
 *
 * @param left work
 * @param right other work
 * @returns negative if `left` comes first, positive if `right` does
 */
export function compareWork(left: OrderedWork, right: OrderedWork): number {
  const leftIsOverdue = left.punctuality === 'overdue';
  if (leftIsOverdue !== (right.punctuality === 'overdue')) return leftIsOverdue ? 1 : -1;
  if (left.priority !== right.priority) return left.priority - right.priority;
  const leftShare = Math.floor(left.weightedShare / SHARE_STEP);
  const rightShare = Math.floor(right.weightedShare / SHARE_STEP);
  if (leftShare !== rightShare) return leftShare - rightShare;
  const punctuality = PUNCTUALITY_ORDER[left.punctuality] - PUNCTUALITY_ORDER[right.punctuality];
  if (punctuality !== 0) return punctuality;
  const leftSlack = left.objectiveAt - left.remainingMilliseconds;
  const rightSlack = right.objectiveAt - right.remainingMilliseconds;
  return leftSlack - rightSlack;
}
