/**
 * Records the usage of long executions in the journal while they run, so that little of it is lost when a worker fails
 * together with the daemon that received its reports.
 */
import type { CancelTimer, Clock, Log } from '@chicorybend/common';

import type { UsageRecord } from '../types/journalRecord.js';
import { createFaultHandler } from '../utils/faults.js';
import { MAXIMUM_CLOCK_SKEW_MILLISECONDS } from '../utils/interactiveTimes.js';

import type { JobPartition } from './jobPartition.js';
import { countedUntil, findUncountedInterval } from './countedUsage.js';
import { findTask } from './jobState.js';
import type { LocatedRun, RunningUsageReader } from './runningUsage.js';
import { createUsageRecord } from './usage.js';

/** One record per hour and execution: 73,000 running tasks cost 20 records/s, each a small part of a commit. */
const CHECKPOINT_INTERVAL_MILLISECONDS = 3_600_000;
const POLL_INTERVAL_MILLISECONDS = 300_000;
/** Number of records that are appended to the journal at once. */
const RECORDS_PER_BATCH = 500;

export interface UsageCheckpointsOptions {
  readonly partition: JobPartition;
  readonly usage: RunningUsageReader;
  readonly clock: Clock;
  readonly log: Log;
}

export interface UsageCheckpoints {
  close(): void;
}

/** Starts the usage checkpoints of one job partition; they run until `close` is called. */
export function startUsageCheckpoints(options: UsageCheckpointsOptions): UsageCheckpoints {
  const { partition, usage, clock, log } = options;
  let cancelTimer: CancelTimer | null = null;

  /** Subtracts the clock skew: the worker's clock may be behind, and a checkpoint must not end after its execution. */
  function createCheckpointRecords({ located, run }: LocatedRun): UsageRecord[] {
    const { startedAt, until, isRunning } = run;
    const endedAt = until - MAXIMUM_CLOCK_SKEW_MILLISECONDS;
    const from = countedUntil(located.task, run.attempt) ?? startedAt;
    if (!isRunning || endedAt - from < CHECKPOINT_INTERVAL_MILLISECONDS) return [];
    return [createUsageRecord(located.job, { ...run, endedAt })];
  }

  /** An execution whose end has become durable in the meantime is already counted, and needs no checkpoint. */
  function hasUncountedUsage(record: UsageRecord): boolean {
    const located = findTask(partition.state, record.taskId);
    return located !== null && findUncountedInterval(located, record) !== null;
  }

  async function writeCheckpoints(): Promise<void> {
    const { runs } = await usage.collectRuns();
    const records = runs.flatMap(createCheckpointRecords);
    for (let from = 0; from < records.length; from += RECORDS_PER_BATCH) {
      const batch = records.slice(from, from + RECORDS_PER_BATCH).filter(hasUncountedUsage);
      await Promise.all(batch.map((record) => partition.append(record)));
      if (partition.isClosed()) return;
    }
  }

  function schedule(): void {
    cancelTimer = clock.setTimer(() => {
      writeCheckpoints()
        .catch(createFaultHandler(log, 'usage checkpoint failed'))
        .finally(() => {
          if (cancelTimer) schedule();
        });
    }, POLL_INTERVAL_MILLISECONDS);
  }

  schedule();
  return {
    close() {
      cancelTimer?.();
      cancelTimer = null;
    },
  };
}
