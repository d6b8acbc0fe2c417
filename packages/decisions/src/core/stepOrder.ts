/** Best outcome that a step can still reach: within its objective, late, or too late to be of use to the caller. */
export type Punctuality = 'on-time' | 'late' | 'overdue';

/** What determines the position of a step in the order of placement. */
export interface OrderingKey {
  /** Identifies the steps of one team in one queue; they have the same priority and share. */
  readonly groupId: string;
  /** Priority of the queue; 0 comes first. */
  readonly priority: number;
  readonly punctuality: Punctuality;
  /** Monotonic time at which the step's job should be complete, in milliseconds. */
  readonly objectiveAt: number;
  /** Estimated run time of the longest chain of steps from this one on, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Dominant share of the team's running tasks divided by the team's weight. */
  readonly weightedShare: number;
}

/** Times of a step relative to the objective of its job, in milliseconds. */
export interface ObjectiveTimes {
  /** Time since the step was due. */
  readonly ageMilliseconds: number;
  /** Time from when the step was due until its job should be complete. */
  readonly objectiveMilliseconds: number;
  /** Estimated run time of the longest chain of steps from this one on. */
  readonly remainingMilliseconds: number;
}

/** Shares are rounded down to multiples of this, so that small teams do not alternate with every task. */
const SHARE_GRANULARITY = 0.05;
/** A completion within this multiple of the objective is late; a later one is of no use to the caller. */
const LATE_FACTOR = 3;

const PUNCTUALITY_ORDER: Readonly<Record<Punctuality, number>> = {
  'on-time': 0,
  late: 1,
  overdue: 2,
};

/**
 * Determines the best outcome that a step can still reach if it starts now.
 *
 * @param times age, objective and remaining time of the step
 */
export function judgePunctuality(times: ObjectiveTimes): Punctuality {
  const { ageMilliseconds, objectiveMilliseconds, remainingMilliseconds } = times;
  const earliest = ageMilliseconds + remainingMilliseconds;
  if (earliest <= objectiveMilliseconds) return 'on-time';
  return earliest <= LATE_FACTOR * objectiveMilliseconds ? 'late' : 'overdue';
}

function comparePriorityAndShare(left: OrderingKey, right: OrderingKey): number {
  if (left.priority !== right.priority) return left.priority - right.priority;
  const isLeftOverdue = left.punctuality === 'overdue';
  if (isLeftOverdue !== (right.punctuality === 'overdue')) return isLeftOverdue ? 1 : -1;
  const leftShare = Math.floor(left.weightedShare / SHARE_GRANULARITY);
  return leftShare - Math.floor(right.weightedShare / SHARE_GRANULARITY);
}

function compareSlack(left: OrderingKey, right: OrderingKey): number {
  const leftSlack = left.objectiveAt - left.remainingMilliseconds;
  return leftSlack - (right.objectiveAt - right.remainingMilliseconds);
}

/**
 * Compares steps of an overloaded group: by the best outcome, then the latest objective first. Least slack first
 * would start every step just when it has become late.
 */
function compareWhenOverloaded(left: OrderingKey, right: OrderingKey): number {
  const order = PUNCTUALITY_ORDER[left.punctuality] - PUNCTUALITY_ORDER[right.punctuality];
  if (order !== 0) return order;
  if (left.punctuality === 'overdue') return compareSlack(left, right);
  return right.objectiveAt - left.objectiveAt;
}

/** Sorts the steps of each given group for overload, within the positions that the group occupies. */
function reorderGroups<Step extends { readonly order: OrderingKey }>(
  ordered: Step[],
  groupIds: ReadonlySet<string>,
): void {
  const positionsByGroup = new Map<string, number[]>();
  ordered.forEach(({ order: { groupId } }, position) => {
    if (!groupIds.has(groupId)) return;
    const positions = positionsByGroup.get(groupId);
    if (positions) positions.push(position);
    else positionsByGroup.set(groupId, [position]);
  });
  positionsByGroup.forEach((positions) => {
    positions
      .map((position) => ordered[position]!)
      .sort((left, right) => compareWhenOverloaded(left.order, right.order))
      .forEach((step, index) => {
        ordered[positions[index]!] = step;
      });
  });
}

/**
 * Sorts steps by priority, then by weighted share (lowest first), then by slack, the time to spare until the
 * objective (least first). Overdue steps come after all others of their priority: their jobs are too late whatever is
 * done, and in their place one of another team would be on time.
 *
 * A group with a late step is overloaded, for instance because its team submits several times what its limit
 * allows to run. Its steps that can still be on time come first, the newest before the older, so that not all of
 * them become late. The positions of other groups do not change.
 *
 * @param steps steps in any order
 * @returns the same steps, in the order in which they are to be placed
 */
export function orderSteps<Step extends { readonly order: OrderingKey }>(
  steps: readonly Step[],
): Step[] {
  const ordered = [...steps].sort(
    ({ order: left }, { order: right }) =>
      comparePriorityAndShare(left, right) || compareSlack(left, right),
  );
  const overloadedGroupIds = new Set(
    steps.flatMap(({ order }) => (order.punctuality === 'on-time' ? [] : [order.groupId])),
  );
  reorderGroups(ordered, overloadedGroupIds);
  return ordered;
}

/**
 * Applies the factors of past use to the weighted shares of steps. Priority and punctuality come before the share, so
 * that a factor changes the order only within them; a team without running tasks has a share of 0 with any factor.
 *
 * @param factorOf factor of the step's group; at least 1
 * @returns the same steps if all factors are 1
 */
export function applyPastUse<Step extends { readonly order: OrderingKey }>(
  steps: readonly Step[],
  factorOf: (step: Step) => number,
): readonly Step[] {
  const factors = steps.map(factorOf);
  if (factors.every((factor) => factor === 1)) return steps;
  return steps.map((step, index) => {
    const { order } = step;
    return { ...step, order: { ...order, weightedShare: order.weightedShare * factors[index]! } };
  });
}
