import type { Failure, FailureCode, FailureDetail, RunOutcome } from '../types/failure.js';

interface FailureRow {
  readonly status: number;
  readonly run: RunOutcome;
  readonly text: string;
}

/**
 * All failures that are sent to callers, operators and peers: HTTP status, whether the work was run, and message.
 * {@link createFailure} replaces each placeholder `{name}`.
 */
export const FAILURE_TABLE = {
  'malformed-json': { status: 400, run: 'not-run', text: 'The body is not valid JSON: {reason}.' },
  'body-too-large': {
    status: 413,
    run: 'not-run',
    text: 'The body is larger than the limit of {limit} bytes.',
  },
  'job-too-large': {
    status: 413,
    run: 'not-run',
    text: 'The job has {tasks} tasks to be kept at once, and the limit is {limit}.',
  },
  'invalid-body': { status: 400, run: 'not-run', text: 'The body does not match the schema.' },
  'invalid-header': { status: 400, run: 'not-run', text: 'Header {header}: {reason}.' },
  'unsupported-media-type': {
    status: 415,
    run: 'not-run',
    text: 'The content type must be application/json.',
  },
  'unknown-route': { status: 404, run: 'not-run', text: 'There is no {method} {path}.' },
  'missing-key': {
    status: 401,
    run: 'not-run',
    text: 'Queue {queue} takes work only with a key of an allowed team.',
  },
  'wrong-key': { status: 401, run: 'not-run', text: 'The key is not known.' },
  'revoked-key': { status: 401, run: 'not-run', text: 'Key {keyId} has been revoked.' },
  'team-not-allowed': {
    status: 403,
    run: 'not-run',
    text: 'Team {team} may not use queue {queue}.',
  },
  'operator-required': {
    status: 401,
    run: 'not-run',
    text: 'A valid operator token and operator name are required.',
  },
  'section-not-allowed': {
    status: 403,
    run: 'not-run',
    text: 'Operator {operator} may not change section {section}.',
  },
  'unknown-queue': { status: 404, run: 'not-run', text: 'There is no queue {queue}.' },
  'wrong-queue-kind': {
    status: 400,
    run: 'not-run',
    text: 'Queue {queue} takes {kind} work.',
  },
  'unknown-team': { status: 404, run: 'not-run', text: 'There is no team {team}.' },
  'unknown-key': { status: 404, run: 'not-run', text: 'There is no key {keyId}.' },
  'unknown-job': { status: 404, run: 'not-run', text: 'There is no job {jobId}.' },
  'not-held': { status: 409, run: 'not-run', text: 'Job {jobId} is {state}, not held.' },
  'not-quarantined': {
    status: 409,
    run: 'not-run',
    text: 'Worker {workerId} is {state}, not quarantined.',
  },
  'unknown-daemon': { status: 404, run: 'not-run', text: 'There is no daemon {daemonId}.' },
  'usage-incomplete': {
    status: 503,
    run: 'not-run',
    text: 'Of {count} running executions only the use up to their last checkpoint is known now.',
  },
  'unknown-worker': { status: 404, run: 'not-run', text: 'There is no worker {workerId}.' },
  'idempotency-key-required': {
    status: 400,
    run: 'not-run',
    text: 'The header idempotency-key is required: {reason}.',
  },
  'idempotency-key-reused': {
    status: 409,
    run: 'not-run',
    text: 'The idempotency key was used before with another body; this body was not run.',
  },
  'idempotency-key-expired': {
    status: 409,
    run: 'unknown',
    text: 'The idempotency key is too old to tell whether its request was run.',
  },
  'idempotency-key-in-future': {
    status: 400,
    run: 'not-run',
    text: 'The timestamp in the idempotency key is {milliseconds} ms in the future.',
  },
  'never-fits': { status: 422, run: 'not-run', text: 'The job can never run: {reason}.' },
  'over-limit': {
    status: 429,
    run: 'not-run',
    text: 'Team {team} is at its upper limit of {limit} {dimension}.',
  },
  overloaded: {
    status: 503,
    run: 'not-run',
    text: 'No slot is expected to be free within the deadline.',
  },
  'queue-full': { status: 503, run: 'not-run', text: 'Queue {queue} is full for team {team}.' },
  'deadline-passed': {
    status: 504,
    run: 'not-run',
    text: 'The deadline passed before the work was started.',
  },
  'no-endpoint': { status: 503, run: 'not-run', text: 'No endpoint is available.' },
  'outcome-unknown': {
    status: 502,
    run: 'unknown',
    text: 'The work was sent to {target}, which gave no whole answer: {reason}.',
  },
  'endpoint-failed': {
    status: 502,
    run: 'run',
    text: 'Endpoint {target} ran the request and reported a failure: {reason}.',
  },
  'not-owner': {
    status: 503,
    run: 'not-run',
    text: 'Daemon {daemonId} does not own partition {partition}.',
  },
  'no-owner': { status: 503, run: 'not-run', text: 'Partition {partition} has no owner now.' },
  'peer-unreachable': { status: 503, run: 'not-run', text: 'Daemon {daemonId} is unreachable.' },
  'peer-lost': {
    status: 502,
    run: 'unknown',
    text: 'Daemon {daemonId} took the work and gave no answer.',
  },
  'store-unavailable': {
    status: 503,
    run: 'not-run',
    text: 'The platform store is unavailable; durable work cannot be accepted now.',
  },
  'owner-overloaded': {
    status: 503,
    run: 'not-run',
    text: 'The owner of all jobs is overloaded and cannot accept work in time.',
  },
  'acceptance-unknown': {
    status: 502,
    run: 'unknown',
    text: 'The store gave no answer; ask again with the same idempotency key.',
  },
  'configuration-not-fresh': {
    status: 503,
    run: 'not-run',
    text: 'This daemon cannot confirm that its configuration is current.',
  },
  'not-ready': { status: 503, run: 'not-run', text: 'This daemon is not ready.' },
  draining: { status: 503, run: 'not-run', text: 'This daemon is draining.' },
  'invalid-configuration': {
    status: 422,
    run: 'not-run',
    text: 'The configuration was refused as a whole; nothing changed.',
  },
  'configuration-conflict': {
    status: 409,
    run: 'not-run',
    text: 'Section {section} was changed by {changedBy} in revision {revision}, after your revision {base}.',
  },
  'announcement-refused': {
    status: 503,
    run: 'not-run',
    text: 'A majority of the daemons did not acknowledge the change; it was not applied.',
  },
  'configuration-busy': {
    status: 503,
    run: 'not-run',
    text: 'Other changes of the configuration kept coming first; nothing was changed.',
  },
  'configuration-unknown': {
    status: 502,
    run: 'unknown',
    text: 'The store gave no answer; read the configuration to see whether the change was applied.',
  },
  'not-cancellable': { status: 409, run: 'run', text: 'Job {jobId} has ended as {state}.' },
  'reservation-refused': {
    status: 409,
    run: 'not-run',
    text: 'The reservation was refused: {reason}.',
  },
  'worker-refused': { status: 409, run: 'not-run', text: 'Worker {target} refused: {reason}.' },
  'internal-error': { status: 500, run: 'unknown', text: 'Unexpected failure: {reason}.' },
} as const satisfies Record<string, FailureRow>;

/** Optional fields of a failure. */
export interface FailureOptions {
  readonly retryAfterMilliseconds?: number;
  readonly details?: readonly FailureDetail[];
}

/**
 * Creates a failure from its row in {@link FAILURE_TABLE}.
 *
 * @param values values of the placeholders, by name; a placeholder without a value becomes `?`
 */
export function createFailure(
  code: FailureCode,
  values: Readonly<Record<string, string | number>> = {},
  options: FailureOptions = {},
): Failure {
  const row: FailureRow = FAILURE_TABLE[code];
  const message = row.text.replace(/\{(\w+)\}/g, (_, name: string) => String(values[name] ?? '?'));
  return { code, run: row.run, message, status: row.status, ...options };
}
