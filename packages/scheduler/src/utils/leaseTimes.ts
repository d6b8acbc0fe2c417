import type { LeaseDurations } from '@chicorybend/decisions';

import type { EndpointTimeLimits } from '../types/termContext.js';

/** Preferred lease of runs; outlasts a takeover, and expires soon after an endpoint is lost. */
const LEASE_MILLISECONDS = 6_000;
/** Clocks of endpoints may be slower than the clock of this process by this factor. */
const CLOCK_RATE_FACTOR = 1.02;
/** Margin for the network delay of an order. */
const EXPIRY_MARGIN_MILLISECONDS = 300;

/** @returns lease to request, in milliseconds, where the platform allows at most `maximumMilliseconds` */
export function requestedLeaseMilliseconds(maximumMilliseconds: number): number {
  return Math.min(LEASE_MILLISECONDS, maximumMilliseconds);
}

/** @returns time after which a lease granted now has certainly expired, in milliseconds on the clock of this process */
export function leaseExpiryMilliseconds(leaseMilliseconds: number): number {
  return leaseMilliseconds * CLOCK_RATE_FACTOR + EXPIRY_MARGIN_MILLISECONDS;
}

/** @returns times after which leases have certainly expired */
export function leaseDurations({
  maximumLeaseMilliseconds,
  maximumOrderDelayMilliseconds,
}: EndpointTimeLimits): LeaseDurations {
  const longest = leaseExpiryMilliseconds(maximumLeaseMilliseconds);
  return {
    requested: leaseExpiryMilliseconds(requestedLeaseMilliseconds(maximumLeaseMilliseconds)),
    longest,
    late: maximumOrderDelayMilliseconds + longest,
  };
}
