/**
 * Usage per team, queue and hour. An execution is counted in one or more consecutive intervals, measured by the clock
 * of its worker.
 */

import type { JobRequest, Resources } from '@chicorybend/common';

import type { TaskEndedRecord, UsageRecord, UsageTotalRecord } from '../types/journalRecord.js';
import type { UsageRow } from '../types/peerMethods.js';

const HOUR_MILLISECONDS = 3_600_000;
const SECOND_MILLISECONDS = 1_000;
/** Bounds the size of a partition's snapshot; readers of the reports keep older usage themselves if they need it. */
const USAGE_RETENTION_MILLISECONDS = 40 * 24 * HOUR_MILLISECONDS;

type MutableRow = { -readonly [Key in keyof UsageRow]: UsageRow[Key] };

/** Interval of an execution, as measured by its worker. */
export interface UsageInterval {
  readonly team: string;
  readonly queue: string;
  /** Wall-clock times of the worker in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly endedAt: number;
  /** Resources that the job requests. */
  readonly resources: Resources;
  /** Whether an earlier interval of the execution has been added; only the first one counts the task. */
  readonly isContinuation: boolean;
}

/** Usage of one partition. */
export interface UsageLedger {
  /** Adds an interval of an execution, divided among the hours that it spans. */
  addInterval(execution: UsageInterval): void;
  /** Adds a total from a snapshot. */
  addTotal(total: UsageTotalRecord): void;
  /** Returns copies of the rows, one per team, queue and hour. */
  rows(): readonly UsageRow[];
  /**
   * Creates the snapshot records of the ledger, without the hours beyond the retention time of 40 days.
   *
   * @param now wall-clock time in milliseconds since the Unix epoch
   */
  createTotalRecords(now: number): readonly UsageTotalRecord[];
}

export function createUsageLedger(): UsageLedger {
  const rowsByKey = new Map<string, MutableRow>();

  function getOrCreateRow(team: string, queue: string, hour: number): MutableRow {
    const key = JSON.stringify([team, queue, hour]);
    const existing = rowsByKey.get(key);
    if (existing) return existing;
    const row = {
      team,
      queue,
      hour,
      processorSeconds: 0,
      memoryByteSeconds: 0,
      acceleratorSeconds: 0,
      tasks: 0,
    };
    rowsByKey.set(key, row);
    return row;
  }

  function addSeconds(row: MutableRow, resources: Resources, seconds: number): void {
    row.processorSeconds += resources.processors * seconds;
    row.memoryByteSeconds += resources.memoryBytes * seconds;
    row.acceleratorSeconds += resources.accelerators * seconds;
  }

  return {
    addInterval({ team, queue, startedAt, endedAt, resources, isContinuation }) {
      let hour = Math.floor(startedAt / HOUR_MILLISECONDS) * HOUR_MILLISECONDS;
      if (!isContinuation) getOrCreateRow(team, queue, hour).tasks += 1;
      let from = startedAt;
      while (from < endedAt) {
        const until = Math.min(endedAt, hour + HOUR_MILLISECONDS);
        addSeconds(
          getOrCreateRow(team, queue, hour),
          resources,
          (until - from) / SECOND_MILLISECONDS,
        );
        from = until;
        hour += HOUR_MILLISECONDS;
      }
    },
    addTotal(total) {
      const row = getOrCreateRow(total.team, total.queue, total.hour);
      row.processorSeconds += total.processorSeconds;
      row.memoryByteSeconds += total.memoryByteSeconds;
      row.acceleratorSeconds += total.acceleratorSeconds;
      row.tasks += total.tasks;
    },
    rows: () => [...rowsByKey.values()].map((row) => ({ ...row })),
    createTotalRecords(now) {
      return [...rowsByKey.values()]
        .filter((row) => row.hour >= now - USAGE_RETENTION_MILLISECONDS)
        .map((row) => ({ type: 'usage-total', ...row }));
    },
  };
}

/**
 * Creates the usage record of an execution that still runs, or whose end is already known.
 *
 * @param run execution, and wall-clock times in milliseconds since the Unix epoch
 * @returns record of the usage since the start of the execution
 */
export function createUsageRecord(
  job: { readonly team: string; readonly request: JobRequest },
  run: Pick<TaskEndedRecord, 'taskId' | 'attempt' | 'startedAt' | 'endedAt'>,
): UsageRecord {
  const { taskId, attempt, startedAt, endedAt } = run;
  const { queue, resources } = job.request;
  const seconds = (endedAt - startedAt) / SECOND_MILLISECONDS;
  return {
    type: 'usage',
    taskId,
    attempt,
    team: job.team,
    queue,
    startedAt,
    endedAt,
    processorSeconds: resources.processors * seconds,
    memoryByteSeconds: resources.memoryBytes * seconds,
    acceleratorSeconds: resources.accelerators * seconds,
  };
}
