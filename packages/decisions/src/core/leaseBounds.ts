/**
 * Time within which the last order for a former incarnation is sent to an endpoint that was replaced under its id, in
 * milliseconds: until then the last call has ended or timed out, and the starts that had been recorded are sent.
 */
const REPLACEMENT_NOTICE_MILLISECONDS = 5_200;
/** Maximum difference between the clocks of two VMs, in milliseconds. */
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 2_500;
/** Maximum difference if the clock of one of them was stepped, in milliseconds. */
const MAXIMUM_CLOCK_STEP_MILLISECONDS = 7_500;

/** Times after which leases that are granted now have certainly expired, in milliseconds. */
export interface LeaseDurations {
  /** For a lease as owners request it. */
  readonly requested: number;
  /** For the longest lease. A later incarnation grants it for any order that was meant for a former one. */
  readonly longest: number;
  /** For the longest lease, if the order that grants it is executed as late as possible. */
  readonly late: number;
}

/**
 * Bounds the leases of an incarnation that orders for former incarnations have widened, by its age.
 *
 * @param now monotonic time in milliseconds
 * @param ageMilliseconds time since the incarnation began, in milliseconds
 * @returns when such leases have certainly expired, in monotonic milliseconds; in the past for most incarnations
 */
export function boundWidenedLeasesByAge(
  now: number,
  ageMilliseconds: number,
  { late }: LeaseDurations,
): number {
  return now + REPLACEMENT_NOTICE_MILLISECONDS + late - ageMilliseconds;
}

/**
 * Bounds the same leases for a new owner, by what a former one has stored.
 *
 * @param startedAt start of the term, in monotonic milliseconds; all orders of former owners were sent before
 * @param widenedUntil when they expire by the clock of the former owner; null if it has not stored that
 * @returns when they have certainly expired, in monotonic milliseconds
 */
export function boundFormerWidenedLeases(
  startedAt: number,
  widenedUntil: number | null,
  { late }: LeaseDurations,
): number {
  const latest = startedAt + late;
  if (widenedUntil === null) return latest;
  return Math.min(latest, widenedUntil + MAXIMUM_CLOCK_SKEW_MILLISECONDS);
}

/**
 * Bounds, for a new owner, until when a start that a former one has given up may be executed.
 *
 * @param startedAt start of the term, in monotonic milliseconds; all orders of former owners were sent before
 * @param until the bound by the clock of the former owner, in monotonic milliseconds
 * @param orderDelay latest execution of an order after it was sent, in milliseconds
 */
export function boundFormerOutstandingStart(
  startedAt: number,
  until: number,
  orderDelay: number,
): number {
  return Math.min(startedAt + orderDelay, until + MAXIMUM_CLOCK_STEP_MILLISECONDS);
}

/**
 * Decides whether a run that a former owner had not confirmed is in the recorded incarnation, if it exists. In a later
 * one, that owner would have noticed and recorded the replacement, or it stopped widening leases there so long ago that
 * they expire before those that it requested.
 *
 * @param startedAt start of the term, in monotonic milliseconds
 * @param recordedAt last time at which the run was recorded without a confirmation, in monotonic milliseconds; null if
 *   that is not known
 */
export function isReplacementNoticed(
  startedAt: number,
  recordedAt: number | null,
  { requested, late }: LeaseDurations,
): boolean {
  if (recordedAt === null) return false;
  const lastOrderAt =
    recordedAt + MAXIMUM_CLOCK_SKEW_MILLISECONDS + REPLACEMENT_NOTICE_MILLISECONDS;
  return lastOrderAt + late <= startedAt + requested;
}
