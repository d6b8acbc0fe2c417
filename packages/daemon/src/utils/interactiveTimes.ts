/** Longest time from sending a request to an endpoint until its run has ended, in milliseconds. */
export const MAXIMUM_REQUEST_MILLISECONDS = 10_000;

/** Time within which a live endpoint answers a health check, in milliseconds. */
export const HEALTH_CHECK_TIMEOUT_MILLISECONDS = 1_500;

/** Largest assumed difference between the wall clocks of two VMs, in milliseconds. */
export const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 500;

/** Age of an idempotency key above which a repeated request cannot be told from a new one, in milliseconds. */
export const REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS = 600_000;

/** Expected wait above which a request is forwarded to an overflow partition, in milliseconds. */
export const OVERFLOW_MINIMUM_WAIT_MILLISECONDS = 20;
