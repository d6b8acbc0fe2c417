import type { EndpointState } from './endpointTable.js';

/**
 * Time after a new capacity is in the directory for which an endpoint tolerates starts by the former one, in
 * milliseconds.
 */
const CHANGE_TOLERANCE_MILLISECONDS = 3_000;
/** Time that a start has at least to reach its endpoint, in milliseconds. */
const MINIMUM_TRANSIT_MILLISECONDS = 500;

/**
 * @param now current time, in monotonic milliseconds
 * @returns time for which starts by the capacity that was read last may still begin, in milliseconds; 0 or less if
 *   none
 */
export function remainingToleranceMilliseconds(
  { entryReadAt }: EndpointState,
  now: number,
): number {
  return entryReadAt + CHANGE_TOLERANCE_MILLISECONDS - now;
}

/**
 * @param now current time, in monotonic milliseconds
 * @returns whether the capacity of an endpoint was read recently enough for new starts
 */
export function isCapacityRecent(state: EndpointState, now: number): boolean {
  return remainingToleranceMilliseconds(state, now) >= MINIMUM_TRANSIT_MILLISECONDS;
}
