/**
 * Times of task leases. A successor's waiting times and a worker's renewals depend on the same numbers.
 */

/** Time for which a worker runs a task without hearing from its owner. */
export const TASK_LEASE_MILLISECONDS = 12_000;
/** Difference in the speed of two VMs' clocks over a lease, with room to spare. */
export const CLOCK_DRIFT_MARGIN_MILLISECONDS = 500;
/** Leases are renewed twelve times before they would lapse. */
export const LEASE_RENEWAL_INTERVAL_MILLISECONDS = 1_000;
/** A worker without tasks has no lease to lose; it is only asked whether it still answers. */
export const IDLE_CONTACT_INTERVAL_MILLISECONDS = 2_000;
/** A command that a worker has not received by then is refused by it, so that a late one grants no lease. */
export const COMMAND_WINDOW_MILLISECONDS = 1_000;

/**
 * Tells by when every lease that a command can have granted has certainly lapsed.
 *
 * @param sentAt monotonic time at which the command was sent, in milliseconds
 * @returns monotonic time in milliseconds
 */
export function latestLeaseEndAfterSend(sentAt: number): number {
  return (
    sentAt + COMMAND_WINDOW_MILLISECONDS + TASK_LEASE_MILLISECONDS + CLOCK_DRIFT_MARGIN_MILLISECONDS
  );
}

/**
 * Tells by when every lease has certainly lapsed that a command can have granted whose call has ended. Differs
 * from {@link latestLeaseEndAfterSend} if the process was paused during the call.
 *
 * @param endedAt monotonic time at which the call ended, in milliseconds
 * @returns monotonic time in milliseconds
 */
export function latestLeaseEndAfterCall(endedAt: number): number {
  return endedAt + TASK_LEASE_MILLISECONDS + CLOCK_DRIFT_MARGIN_MILLISECONDS;
}
