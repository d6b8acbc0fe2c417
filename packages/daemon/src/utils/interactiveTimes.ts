/** Longest time between the sending of a request to an endpoint and its end, in milliseconds. */
export const MAXIMUM_REQUEST_MILLISECONDS = 10_000;

/** Time in which a live endpoint answers a health call, in milliseconds. */
export const HEALTH_CHECK_TIMEOUT_MILLISECONDS = 1_500;

/** Longest difference between two wall clocks, in milliseconds. */
export const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 500;

/** Oldest idempotency key of a request that can still be told from a new one, in milliseconds. */
export const REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS = 600_000;

/** Expected wait from which a request is sent to another partition, in milliseconds. */
export const OVERFLOW_MINIMUM_WAIT_MILLISECONDS = 20;
