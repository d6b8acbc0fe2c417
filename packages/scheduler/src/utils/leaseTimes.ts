/** Lease that a hold asks for, in milliseconds; outlives a takeover and is over soon after an endpoint is lost. */
const LEASE_MILLISECONDS = 6_000;
/** Lease clocks may be this much slower than the clock of this process. */
const CLOCK_RATE_FACTOR = 1.02;
/** Margin for the time of an order on its way, in milliseconds. */
const EXPIRY_MARGIN_MILLISECONDS = 300;

/** @returns lease to ask for, in milliseconds, where the platform allows at most `maximumMilliseconds` */
export function requestedLeaseMilliseconds(maximumMilliseconds: number): number {
  return Math.min(LEASE_MILLISECONDS, maximumMilliseconds);
}

/** @returns time after which a lease granted now has certainly lapsed, in milliseconds of the own clock */
export function leaseExpiryMilliseconds(leaseMilliseconds: number): number {
  return leaseMilliseconds * CLOCK_RATE_FACTOR + EXPIRY_MARGIN_MILLISECONDS;
}
