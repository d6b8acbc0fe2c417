import type { FaultKind, PlannedFault } from '../types/fault.js';
import type { WindowExpectations } from '../types/faultWindow.js';

/** Names of the faults that last much longer than leases and takeovers. */
export const LONG_FAULT_NAMES = [
  'store-outage',
  'data-centres-split',
  'data-centre-cut-off',
] as const;

/** Name of a long fault. */
export type LongFaultName = (typeof LONG_FAULT_NAMES)[number];

/** Durations of the load before, during and after a long fault, in milliseconds. */
export interface LongFaultTimes {
  readonly before: number;
  readonly during: number;
  readonly after: number;
}

/** A long fault under load, and the minimum service expected during it. */
export interface LongFault {
  readonly faults: readonly PlannedFault[];
  /** Duration of the load, in milliseconds. */
  readonly durationMilliseconds: number;
  readonly expectations: WindowExpectations;
}

const FAULT_KIND: Readonly<Record<LongFaultName, FaultKind>> = {
  'store-outage': 'store-down',
  'data-centres-split': 'data-centres-split',
  'data-centre-cut-off': 'data-centre-cut-off',
};

const EXPECTATIONS: Readonly<Record<LongFaultName, WindowExpectations>> = {
  // Partition owners act on votes of the daemons, so interactive requests do not depend on the store.
  'store-outage': { answeredPart: 0.9, acceptsJobs: false, resumesWithinMilliseconds: 5_000 },
  // At most a third of the daemons can reach a given home partition; the others refuse its requests.
  'data-centres-split': { answeredPart: 0.1, acceptsJobs: true, resumesWithinMilliseconds: 5_000 },
  // The majority takes over; calls that still go to the daemons that were cut off fail at first.
  'data-centre-cut-off': { answeredPart: 0.6, acceptsJobs: true, resumesWithinMilliseconds: 5_000 },
};

/**
 * Plans a long fault.
 *
 * @param times durations of the load before, during and after the fault, in milliseconds
 */
export function planLongFault(name: LongFaultName, times: LongFaultTimes): LongFault {
  const fault = {
    kind: FAULT_KIND[name],
    at: times.before,
    durationMilliseconds: times.during,
    target: 0,
    other: 0,
  };
  return {
    faults: [fault],
    durationMilliseconds: times.before + times.during + times.after,
    expectations: EXPECTATIONS[name],
  };
}
