/**
 * Makes the usage of long executions durable while they go on, so that little of it is lost when a worker and the
 * daemon that heard it are lost together.
 */
import type { CancelTimer, Clock, Log } from '@chicorybend/common';

import type { UsageRecord } from '../types/journalRecord.js';
import { createFaultHandler } from '../utils/faults.js';
import { CLOCK_SKEW_MILLISECONDS } from '../utils/interactiveTimes.js';

import type { JobPartition } from './jobPartition.js';
import { countedUntil, describeUncounted } from './countedUsage.js';
import { findTask } from './jobState.js';
import type { OpenRun, RunningUsage } from './runningUsage.js';
import { describeUsage } from './usage.js';

/** One record per hour and execution: 73,000 running tasks cost 20 records/s, a small part of a commit each. */
const CHECKPOINT_MILLISECONDS = 3_600_000;
const LOOK_INTERVAL_MILLISECONDS = 300_000;
/** Records that are handed to the journal together. */
const RECORDS_PER_BATCH = 500;

/** What the checkpoints need. */
export interface UsageCheckpointsOptions {
  readonly partition: JobPartition;
  readonly usage: RunningUsage;
  readonly clock: Clock;
  readonly log: Log;
}

/** Checkpoints of one job partition. */
export interface UsageCheckpoints {
  close(): void;
}

/**
 * Starts the checkpoints of one job partition.
 *
 * @param options jobs and their running usage
 * @returns the checkpoints
 */
export function startUsageCheckpoints(options: UsageCheckpointsOptions): UsageCheckpoints {
  const { partition, usage, clock, log } = options;
  let cancelTimer: CancelTimer | null = null;

  /** The worker's clock may be behind, and a checkpoint must not lie after the end of its execution. */
  function describeCheckpoint({ located, run }: OpenRun): UsageRecord[] {
    const { startedAt, until, isRunning } = run;
    const endedAt = until - CLOCK_SKEW_MILLISECONDS;
    const from = countedUntil(located.task, run.attempt) ?? startedAt;
    if (!isRunning || endedAt - from < CHECKPOINT_MILLISECONDS) return [];
    return [describeUsage(located.job, { ...run, endedAt })];
  }

  /** An execution whose end became durable in the meantime is counted by its end. */
  function isStillOpen(record: UsageRecord): boolean {
    const located = findTask(partition.state, record.taskId);
    return located !== null && describeUncounted(located, record) !== null;
  }

  async function write(): Promise<void> {
    const { runs } = await usage.collect();
    const records = runs.flatMap(describeCheckpoint);
    for (let from = 0; from < records.length; from += RECORDS_PER_BATCH) {
      const batch = records.slice(from, from + RECORDS_PER_BATCH).filter(isStillOpen);
      await Promise.all(batch.map((record) => partition.append(record)));
      if (partition.isClosed()) return;
    }
  }

  function schedule(): void {
    cancelTimer = clock.setTimer(() => {
      write()
        .catch(createFaultHandler(log, 'a checkpoint of usage failed'))
        .finally(() => {
          if (cancelTimer) schedule();
        });
    }, LOOK_INTERVAL_MILLISECONDS);
  }

  schedule();
  return {
    close() {
      cancelTimer?.();
      cancelTimer = null;
    },
  };
}
