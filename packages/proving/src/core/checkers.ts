import type { RunEntry } from '@chicorybend/standins';

import type { Observations } from '../types/observation.js';
import type { Violation } from '../types/violation.js';
import { checkAcceptedJobs } from './checkAcceptedJobs.js';
import { checkJobAnswers, checkRequestAnswers } from './checkAnswers.js';
import { checkCapacity } from './checkCapacity.js';
import { checkEndpoints } from './checkEndpoints.js';
import { checkLeavingVms } from './checkLeavingVms.js';
import { checkRefusals } from './checkRefusals.js';
import { checkRequestRepetition } from './checkRequests.js';
import { checkRevokedKeys } from './checkRevokedKeys.js';
import { checkTaskOverlap, checkTaskRepetition } from './checkTasks.js';
import { checkTeamLimits } from './checkTeamLimits.js';

/** Outcome of one check. */
export interface CheckResult {
  readonly name: string;
  readonly violations: readonly Violation[];
}

/** A check relies only on the record of the stand-ins and what callers and operators saw, never on the daemons. */
type Check = (entries: readonly RunEntry[], observations: Observations) => Violation[];

const CHECKS: Readonly<Record<string, Check>> = {
  'no worker over capacity': (entries) => checkCapacity(entries),
  'no task in two places or twice': (entries) => checkTaskOverlap(entries),
  'no non-idempotent task repeated': (entries, { jobs }) => checkTaskRepetition(entries, jobs),
  'no non-idempotent request repeated': (entries, { requests }) =>
    checkRequestRepetition(entries, requests),
  'whole answers to own requests': (entries, { requests, jobs }) => [
    ...checkRequestAnswers(entries, requests),
    ...checkJobAnswers(jobs),
  ],
  '"not run" is true': (entries, { requests, jobs }) =>
    checkRefusals(entries, [...requests, ...jobs]),
  'accepted jobs end as reported': (entries, { jobs }) => checkAcceptedJobs(entries, jobs),
  'no team over its limit': (entries, { limits }) => checkTeamLimits(entries, limits),
  'leaving VMs get no new work': (entries) => checkLeavingVms(entries),
  'revoked keys stop working': (entries, { requests, revokedKeys }) =>
    checkRevokedKeys(entries, requests, revokedKeys),
  'endpoint slots and connections kept': (entries) => checkEndpoints(entries),
};

/**
 * Runs all checks.
 *
 * @param entries record of the stand-ins
 * @param observations what callers and operators saw
 * @returns one result per check, also for checks without violations
 */
export function runChecks(
  entries: readonly RunEntry[],
  observations: Observations,
): readonly CheckResult[] {
  return Object.entries(CHECKS).map(([name, check]) => ({
    name,
    violations: check(entries, observations),
  }));
}
