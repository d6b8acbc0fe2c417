import type { FailureCode } from '@chicorybend/common';
import { z } from 'zod';

import type {
  CallOutcome,
  JobObservation,
  Observations,
  RequestObservation,
} from '../types/observation.js';

/**
 * Refusals that a mixed load meets in a cell of one build too, because of load, of the operator's changes and of
 * planned stops. Any other one, such as `invalid-body` or `unknown-route`, tells of a message or a field that one
 * build does not know.
 */
const EXPECTED_OF_CALLERS: ReadonlySet<string> = new Set<FailureCode>([
  // For some milliseconds, between hearing of a change and reading it.
  'configuration-not-fresh',
  'deadline-passed',
  'draining',
  // A gang that is larger than a lowered limit.
  'never-fits',
  'over-limit',
  'overloaded',
  'queue-full',
  'revoked-key',
]);

/** Refusals between daemons, of which the asking one takes care. A method that is not known is `not-ready`. */
const EXPECTED_OF_DAEMONS: ReadonlySet<string> = new Set<FailureCode>([
  'deadline-passed',
  'never-fits',
  'not-cancellable',
  'not-owner',
  'over-limit',
  'overloaded',
  'queue-full',
]);

const QUIET_LEVELS: ReadonlySet<string> = new Set(['DEBUG', 'INFO']);

const lineSchema = z.object({ level: z.string() });
/** A daemon logs each call of another one that it refuses as an error. */
const refusalSchema = z.object({
  level: z.literal('ERROR'),
  details: z.object({
    data: z.object({ data: z.object({ code: z.string(), run: z.string() }) }),
  }),
});

/** What the log of a daemon holds besides changes of state. */
export interface LogFindings {
  /** Errors, warnings, and lines that are not of the log, such as traces. */
  readonly problems: readonly string[];
  /** Codes of the expected refusals of other daemons' calls, one for each. */
  readonly refusals: readonly string[];
}

function parseLine(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return null;
  }
}

function findRefusal(line: string): string | null {
  const code = refusalSchema.safeParse(parseLine(line)).data?.details.data.data.code;
  return code !== undefined && EXPECTED_OF_DAEMONS.has(code) ? code : null;
}

function isQuiet(line: string): boolean {
  return QUIET_LEVELS.has(lineSchema.safeParse(parseLine(line)).data?.level ?? '');
}

/**
 * Finds errors and warnings in the output of a daemon.
 *
 * @param output content of its output file
 * @returns findings
 */
export function readLog(output: string): LogFindings {
  const lines = output.split('\n').filter((line) => line !== '' && !isQuiet(line));
  return {
    problems: lines.filter((line) => findRefusal(line) === null),
    refusals: lines.flatMap((line) => findRefusal(line) ?? []),
  };
}

/** @returns how often each name occurs */
export function countNames(names: readonly string[]): Readonly<Record<string, number>> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return Object.fromEntries(counts);
}

/** @returns code of a failed call, or `lost`; null for an answered one */
function nameFailure(outcome: CallOutcome<unknown>): string | null {
  if (outcome.kind === 'answered') return null;
  return outcome.kind === 'failed' ? outcome.code : outcome.kind;
}

/** @returns codes of all failed calls */
export function listFailures({ requests, jobs }: Observations): readonly string[] {
  const outcomes: readonly CallOutcome<unknown>[] = [
    ...requests.flatMap((request) => request.outcomes),
    ...jobs.flatMap((job) => job.outcomes),
  ];
  return outcomes.flatMap((outcome) => nameFailure(outcome) ?? []);
}

function describeWork(work: RequestObservation | JobObservation): string {
  const sentAt = new Date(work.sentAt).toISOString();
  if (!('endedAt' in work)) return `job ${work.marker}, sent at ${sentAt}`;
  const elapsed = Math.round(work.endedAt - work.sentAt);
  return `request ${work.marker} through ${work.daemonId}, sent at ${sentAt}, ended after ${elapsed} ms`;
}

/**
 * Finds calls that were lost, or failed for a reason other than load, changes and planned stops.
 *
 * @param observations what callers saw
 * @returns one line per call
 */
export function findUnexpectedFailures({ requests, jobs }: Observations): readonly string[] {
  return [...requests, ...jobs].flatMap((work) => {
    const outcomes: readonly CallOutcome<unknown>[] = work.outcomes;
    return outcomes
      .filter((outcome) => {
        const name = nameFailure(outcome);
        return name !== null && !EXPECTED_OF_CALLERS.has(name);
      })
      .map((outcome) => `${describeWork(work)}: ${JSON.stringify(outcome)}`);
  });
}

/**
 * Finds accepted jobs that neither succeeded nor were cancelled, although nothing failed.
 *
 * @param observations what callers saw
 * @returns one line per job
 */
export function findBadEnds({ jobs }: Observations): readonly string[] {
  return jobs
    .filter(({ outcomes }) => outcomes.some(({ kind }) => kind === 'answered'))
    .filter(({ finalView }) => !['succeeded', 'cancelled'].includes(finalView?.state ?? ''))
    .map(({ marker, finalView }) => `job ${marker} ended as ${finalView?.state ?? 'not read'}`);
}
