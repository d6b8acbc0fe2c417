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

/** Load before, during and after a long fault, in milliseconds. */
export interface LongFaultTimes {
  readonly before: number;
  readonly during: number;
  readonly after: number;
}

/** A long fault under load, and what must go on meanwhile. */
export interface LongFault {
  readonly faults: readonly PlannedFault[];
  /** Time in which load runs, in milliseconds. */
  readonly durationMilliseconds: number;
  readonly expectations: WindowExpectations;
}

const FAULT_KIND: Readonly<Record<LongFaultName, FaultKind>> = {
  'store-outage': 'store-down',
  'data-centres-split': 'data-centres-split',
  'data-centre-cut-off': 'data-centre-cut-off',
};

const EXPECTATIONS: Readonly<Record<LongFaultName, WindowExpectations>> = {
  // Owners act by votes, so that the interactive path does not notice.
  'store-outage': { answeredPart: 0.9, acceptsJobs: false, resumesWithinMilliseconds: 5_000 },
  // A home partition is within reach of a third of the daemons at most; the others refuse.
  'data-centres-split': { answeredPart: 0.1, acceptsJobs: true, resumesWithinMilliseconds: 5_000 },
  // The majority takes over; a caller's first calls may meet the daemons that were cut off.
  'data-centre-cut-off': { answeredPart: 0.6, acceptsJobs: true, resumesWithinMilliseconds: 5_000 },
};

/**
 * Plans a long fault.
 *
 * @param name name of the fault
 * @param times load before, during and after it, in milliseconds
 * @returns fault, duration of the load and expectations
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
