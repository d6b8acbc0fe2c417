/** What a piece of work can still reach: its objective, a late completion, or nothing that its caller waits for. */
export type Punctuality = 'on-time' | 'late' | 'overdue';

/** Work whose turn is to be decided. */
export interface OrderingKey {
  /** Work of one team in one queue, which has one priority and one share. */
  readonly groupId: string;
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

/** Times of work against its objective, in milliseconds. */
export interface ObjectiveTimes {
  /** Time since the work was due. */
  readonly ageMilliseconds: number;
  /** Time from when it was due until it should be complete. */
  readonly objectiveMilliseconds: number;
  /** Estimate of what remains on its longest chain. */
  readonly remainingMilliseconds: number;
}

/** Shares that differ by less count as equal, so that small teams do not alternate with every task. */
const SHARE_GRANULARITY = 0.05;
/** A completion within this multiple of the objective is late; after it the caller has no use for it. */
const LATE_FACTOR = 3;

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
  const earliest = ageMilliseconds + remainingMilliseconds;
  if (earliest <= objectiveMilliseconds) return 'on-time';
  return earliest <= LATE_FACTOR * objectiveMilliseconds ? 'late' : 'overdue';
}

function comparePriorityAndShare(left: OrderingKey, right: OrderingKey): number {
  if (left.priority !== right.priority) return left.priority - right.priority;
  const leftShare = Math.floor(left.weightedShare / SHARE_GRANULARITY);
  return leftShare - Math.floor(right.weightedShare / SHARE_GRANULARITY);
}

function compareSlack(left: OrderingKey, right: OrderingKey): number {
  const leftSlack = left.objectiveAt - left.remainingMilliseconds;
  return leftSlack - (right.objectiveAt - right.remainingMilliseconds);
}

/** The least time to spare would serve each piece of work when it has just become late. */
function compareWhenOverloaded(left: OrderingKey, right: OrderingKey): number {
  const order = PUNCTUALITY_ORDER[left.punctuality] - PUNCTUALITY_ORDER[right.punctuality];
  if (order !== 0) return order;
  if (left.punctuality === 'overdue') return compareSlack(left, right);
  return right.objectiveAt - left.objectiveAt;
}

/** Puts the work of a group into an order of its own, in the places that the group has among the others. */
function reorderGroup<Work extends { readonly order: OrderingKey }>(
  ordered: Work[],
  groupId: string,
): void {
  const positions = [...ordered.keys()].filter(
    (index) => ordered[index]!.order.groupId === groupId,
  );
  positions
    .map((index) => ordered[index]!)
    .sort((left, right) => compareWhenOverloaded(left.order, right.order))
    .forEach((work, position) => {
      ordered[positions[position]!] = work;
    });
}

/**
 * Orders work: by priority, then the team that is furthest below its share, then the least time to spare until
 * the objective. In a group of which some work is late already, what can still be on time comes first, the
 * newest before the older; the places of other groups do not change.
 *
 * The load that it answers: a team sends several times what its limit lets run.
 *
 * @param works work in any order
 * @returns the same work, in the order in which it is to be placed
 */
export function orderSteps<Work extends { readonly order: OrderingKey }>(
  works: readonly Work[],
): Work[] {
  const ordered = [...works].sort(
    ({ order: left }, { order: right }) =>
      comparePriorityAndShare(left, right) || compareSlack(left, right),
  );
  const overloadedGroupIds = new Set(
    works.flatMap(({ order }) => (order.punctuality === 'on-time' ? [] : [order.groupId])),
  );
  overloadedGroupIds.forEach((groupId) => reorderGroup(ordered, groupId));
  return ordered;
}
