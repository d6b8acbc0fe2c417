import type { EndpointState } from './endpointTable.js';

/**
 * Maximum age of a capacity that new starts are judged by, in milliseconds. An endpoint tolerates starts by its
 * former capacity for at least 3 s after it has reported a new one; the rest covers the way of the start.
 */
const MAXIMUM_CAPACITY_AGE_MILLISECONDS = 2_500;

/**
 * @param now current time, in monotonic milliseconds
 * @returns whether the capacity of an endpoint was read recently enough for new starts
 */
export function isCapacityRecent({ entryReadAt }: EndpointState, now: number): boolean {
  return now - entryReadAt <= MAXIMUM_CAPACITY_AGE_MILLISECONDS;
}
