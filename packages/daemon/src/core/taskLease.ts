/**
 * Times of task leases. The renewals of an owner and the waiting times of its successor must use the same numbers.
 */

/** Time after which a worker stops a task whose lease its owner has not renewed. */
export const TASK_LEASE_MILLISECONDS = 12_000;
/** More than the clocks of two VMs can drift apart during a lease. */
export const CLOCK_MARGIN_MILLISECONDS = 500;
/** Leases are renewed twelve times before they would lapse. */
export const LEASE_RENEWAL_INTERVAL_MILLISECONDS = 1_000;
/** A worker without tasks has no leases to renew; the contact only checks that it still answers. */
export const IDLE_CONTACT_INTERVAL_MILLISECONDS = 2_000;
/** A worker refuses a command that arrives later than this after it was sent, so that it grants no lease. */
export const COMMAND_WINDOW_MILLISECONDS = 1_000;

/**
 * Computes the time by which every lease that a command can have granted has certainly lapsed.
 *
 * @param sentAt monotonic time at which the command was sent, in milliseconds
 * @returns monotonic time in milliseconds
 */
export function latestLeaseEndAfterSend(sentAt: number): number {
  return sentAt + COMMAND_WINDOW_MILLISECONDS + TASK_LEASE_MILLISECONDS + CLOCK_MARGIN_MILLISECONDS;
}

/**
 * Computes the time by which every lease that a command can have granted has certainly lapsed, from the end of
 * its call. Differs from {@link latestLeaseEndAfterSend} if the process was paused during the call.
 *
 * @param endedAt monotonic time at which the call ended, in milliseconds
 * @returns monotonic time in milliseconds
 */
export function latestLeaseEndAfterCall(endedAt: number): number {
  return endedAt + TASK_LEASE_MILLISECONDS + CLOCK_MARGIN_MILLISECONDS;
}
