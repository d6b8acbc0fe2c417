import type { FailureCode, FailureDetail } from '@chicorybend/common';

import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

/** Cause of a failed command, its exit code and what the operator can do next. */
export interface Problem {
  readonly exitCode: ExitCode;
  readonly message: string;
  readonly details: readonly FailureDetail[];
  readonly nextStep: string;
}

const NEXT_STEPS: Readonly<Partial<Record<FailureCode, string>>> = {
  'operator-required':
    'Set --operator and --token (CHICORYBEND_OPERATOR, CHICORYBEND_TOKEN) to an operator of section operators.',
  'section-not-allowed': 'Ask an operator who may change the section, or leave it out.',
  'invalid-configuration':
    'Correct the fields listed above and run "chicorybend config check <file>".',
  'configuration-conflict':
    'Run "chicorybend config get" again, make your edit on the newer revision and apply that.',
  'configuration-busy': 'Run the same command again.',
  'announcement-refused':
    'Run "chicorybend daemons list"; repeat the command when a majority of the daemons is reachable.',
  'configuration-unknown':
    'Run "chicorybend config history" to see whether the change was made; sending the same change again is safe.',
  'store-unavailable': 'Repeat the command when the platform store is available.',
  'configuration-not-fresh': 'Repeat the command; if it fails again, use another daemon.',
  'unknown-key': 'Run "chicorybend keys list" for the ids of the keys.',
  'unknown-team': 'Run "chicorybend teams list" for the names of the teams.',
  'unknown-queue': 'Run "chicorybend queues list" for the names of the queues.',
  'wrong-queue-kind': 'Run "chicorybend queues list" for the kinds of the queues.',
  'unknown-daemon': 'Run "chicorybend daemons list" for the ids of the daemons.',
  'unknown-worker': 'Run "chicorybend workers list" for the ids of the workers.',
  'not-held': 'Run "chicorybend jobs list" for the states of the jobs.',
  'not-quarantined': 'Run "chicorybend workers list" for the states of the workers.',
  'unknown-job': 'Check the job id, and that the key belongs to the team of the job.',
  'missing-key': 'Set --key (CHICORYBEND_KEY) to a key of an allowed team.',
  'wrong-key':
    'Check --key (CHICORYBEND_KEY), or issue a new key with "chicorybend keys issue <team>".',
  'revoked-key': 'Issue a new key with "chicorybend keys issue <team>".',
  'acceptance-unknown': 'Repeat the command with the same --idempotency-key.',
  'idempotency-key-reused': 'Use a new idempotency key for another body.',
  'idempotency-key-expired':
    'Check at the endpoint whether the request was run; then use a new key.',
  'outcome-unknown': 'Check at the endpoint whether the request was run before sending it again.',
  'never-fits': 'Lower the resources per task; "chicorybend workers list" shows the capacities.',
  'invalid-body': 'Correct the fields listed above.',
};

const DEFAULT_NEXT_STEP = 'Run "chicorybend <command> --help" for the arguments of the command.';
const UNKNOWN_OUTCOME_NEXT_STEP = 'Check the current state before you repeat the command.';

/**
 * Returns the next step after a failure, as a sentence.
 *
 * @param code failure code of the response; empty if there was none
 * @param isOutcomeUnknown whether the change may have been made, or the job or request run, without confirmation
 */
export function nextStepFor(code: string, isOutcomeUnknown: boolean): string {
  const fallback = isOutcomeUnknown ? UNKNOWN_OUTCOME_NEXT_STEP : DEFAULT_NEXT_STEP;
  return NEXT_STEPS[code as FailureCode] ?? fallback;
}

/** Creates the problem for wrong arguments, with exit code 2. */
export function usageProblem(message: string, nextStep = DEFAULT_NEXT_STEP): Problem {
  return { exitCode: EXIT_CODES.usage, message, details: [], nextStep };
}
