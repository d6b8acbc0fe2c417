/** Local cell, callers, checkers and runs that prove the promises of the scheduler. */

/** Checks on the record of the stand-ins and on what callers saw. */
export { runChecks } from './core/checkers.js';
export type { CheckResult } from './core/checkers.js';
export type {
  CallOutcome,
  JobObservation,
  Observations,
  RequestObservation,
  TeamLimit,
} from './types/observation.js';
export type { Violation, ViolationKind } from './types/violation.js';
