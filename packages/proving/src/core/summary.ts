import Table from 'cli-table3';
import { build } from 'hdr-histogram-js';

import type { RunEntry } from '@chicorybend/standins';

import type {
  CallOutcome,
  JobObservation,
  Observations,
  RequestObservation,
} from '../types/observation.js';
import { groupBy } from '../utils/groupBy.js';
import type { CheckResult } from './checkers.js';

/** Counts and waiting times of the requests or jobs of one kind. */
export interface SummaryRow {
  readonly kind: string;
  readonly submitted: number;
  /** Answered requests, or jobs that ended as succeeded or were cancelled. */
  readonly done: number;
  /** Last call was refused as not run. */
  readonly refused: number;
  /** Everything else: failed, unknown, lost or not ended. */
  readonly other: number;
  /** Executions in the record of the stand-ins. */
  readonly executions: number;
  /** Time from the submission to the first execution in the record, in milliseconds. */
  readonly waitMedian: number;
  readonly waitNinetyNinth: number;
}

type WorkObservation = RequestObservation | JobObservation;

const KINDS = [
  'interactive, idempotent',
  'interactive, non-idempotent',
  'batch',
  'gang',
  'service',
] as const;
const MEDIAN = 50;
const NINETY_NINTH = 99;
const LISTED_VIOLATIONS = 10;

function isJob(work: WorkObservation): work is JobObservation {
  return 'finalView' in work;
}

function kindOf(work: WorkObservation): string {
  if (isJob(work)) return work.kind;
  return work.isIdempotent ? 'interactive, idempotent' : 'interactive, non-idempotent';
}

function isDone(work: WorkObservation): boolean {
  const last: CallOutcome<unknown> | undefined = work.outcomes.at(-1);
  if (last?.kind !== 'answered') return false;
  if (!isJob(work)) return true;
  return work.finalView?.state === 'succeeded' || work.finalView?.state === 'cancelled';
}

function isRefused(work: WorkObservation): boolean {
  const last: CallOutcome<unknown> | undefined = work.outcomes.at(-1);
  return last?.kind === 'failed' && last.run === 'not-run';
}

function findStarts(entries: readonly RunEntry[]): Map<string, number[]> {
  const starts = new Map<string, number[]>();
  entries.forEach((entry) => {
    const isStart = entry.type === 'request-started' || entry.type === 'task-started';
    if (!isStart || entry.marker === null) return;
    starts.set(entry.marker, [...(starts.get(entry.marker) ?? []), entry.at]);
  });
  return starts;
}

function summarizeKind(
  kind: string,
  works: readonly WorkObservation[],
  starts: ReadonlyMap<string, number[]>,
): SummaryRow {
  const waits = build();
  let executions = 0;
  works.forEach((work) => {
    const own = starts.get(work.marker) ?? [];
    executions += own.length;
    const [first] = own;
    if (first !== undefined) waits.recordValue(Math.max(0, Math.round(first - work.sentAt)));
  });
  const done = works.filter(isDone).length;
  const refused = works.filter(isRefused).length;
  return {
    kind,
    submitted: works.length,
    done,
    refused,
    other: works.length - done - refused,
    executions,
    waitMedian: waits.getValueAtPercentile(MEDIAN),
    waitNinetyNinth: waits.getValueAtPercentile(NINETY_NINTH),
  };
}

/**
 * Counts requests and jobs by kind; executions and waiting times come from the record of the stand-ins.
 *
 * @param entries record of the stand-ins
 * @param observations what callers saw
 * @returns one row for each kind that was submitted
 */
export function summarize(
  entries: readonly RunEntry[],
  observations: Observations,
): readonly SummaryRow[] {
  const starts = findStarts(entries);
  const works: WorkObservation[] = [...observations.requests, ...observations.jobs];
  const byKind = groupBy(works, kindOf);
  return KINDS.flatMap((kind) => {
    const own = byKind.get(kind);
    return own ? [summarizeKind(kind, own, starts)] : [];
  });
}

/** Formats the summary of a run as a text table. */
export function formatSummary(rows: readonly SummaryRow[]): string {
  const table = new Table({
    head: ['work', 'submitted', 'done', 'refused', 'other', 'executions', 'wait p50 ms', 'p99 ms'],
    style: { head: [], border: [] },
  });
  rows.forEach((row) => {
    const { kind, submitted, done, refused, other, executions, waitMedian, waitNinetyNinth } = row;
    table.push([kind, submitted, done, refused, other, executions, waitMedian, waitNinetyNinth]);
  });
  return table.toString();
}

/**
 * Formats the results of the checks.
 *
 * @returns text table of violation counts, followed by the first violations of each check as JSON
 */
export function formatChecks(results: readonly CheckResult[]): string {
  const table = new Table({ head: ['check', 'violations'], style: { head: [], border: [] } });
  results.forEach(({ name, violations }) => table.push([name, violations.length]));
  const details = results.flatMap(({ name, violations }) =>
    violations
      .slice(0, LISTED_VIOLATIONS)
      .map((violation) => `${name}: ${JSON.stringify(violation)}`),
  );
  return [table.toString(), ...details].join('\n');
}
