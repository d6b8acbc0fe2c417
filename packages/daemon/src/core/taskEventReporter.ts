/**
 * Tells the owners of jobs about ended executions until they have made the ends durable.
 */

import { computeBackoff } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import type { PartitionLease } from '../types/partition.js';
import type { TaskEvent } from '../types/peerMethods.js';
import type { CallPartition } from '../utils/partitionCalls.js';
import { createFaultHandler } from '../utils/faults.js';

const EVENT_DEADLINE_MILLISECONDS = 5_000;
const MAXIMUM_CALLS_IN_FLIGHT = 256;
const RETRY_BACKOFF = { firstMilliseconds: 100, maximumMilliseconds: 2_000 };

/** Sender of ends. */
export interface TaskEventReporter {
  /**
   * @param event execution that ended
   * @param onConfirmed called once the end is durable at the owner of the job
   */
  report(event: TaskEvent, onConfirmed: () => void): void;
  /** @returns ends that are not confirmed */
  unconfirmedCount(): number;
  close(): void;
}

/** What the reporter needs. */
export interface TaskEventReporterOptions {
  readonly lease: PartitionLease;
  readonly clock: Clock;
  readonly random: () => number;
  readonly callPartition: CallPartition;
  readonly log: Log;
}

interface PendingReport {
  readonly event: TaskEvent;
  readonly onConfirmed: () => void;
  failedSends: number;
}

/**
 * Creates a reporter for one worker partition.
 *
 * @param options dependencies
 * @returns the reporter
 */
export function createTaskEventReporter(options: TaskEventReporterOptions): TaskEventReporter {
  const { lease, clock, random, callPartition, log } = options;
  const queue: PendingReport[] = [];
  let inFlightCount = 0;
  let awaitingRetryCount = 0;
  let closed = false;

  function scheduleRetry(pending: PendingReport): void {
    awaitingRetryCount += 1;
    const delay = computeBackoff(RETRY_BACKOFF, pending.failedSends, random);
    clock.setTimer(() => {
      awaitingRetryCount -= 1;
      enqueue(pending);
    }, delay);
  }

  async function send(pending: PendingReport): Promise<void> {
    const { event } = pending;
    // A former owner must not declare leases lapsed that its successor renews.
    const mayAct = lease.mayAct();
    const outcome = mayAct
      ? await callPartition(event.jobPartition, 'task.event', event, EVENT_DEADLINE_MILLISECONDS)
      : null;
    if (closed) return;
    if (outcome?.isOk()) {
      pending.onConfirmed();
      return;
    }
    pending.failedSends += 1;
    scheduleRetry(pending);
  }

  function startSend(pending: PendingReport): void {
    inFlightCount += 1;
    send(pending)
      .catch(createFaultHandler(log, 'the report of an end failed'))
      .finally(() => {
        inFlightCount -= 1;
        sendNext();
      });
  }

  function sendNext(): void {
    while (!closed && inFlightCount < MAXIMUM_CALLS_IN_FLIGHT) {
      const pending = queue.shift();
      if (!pending) return;
      startSend(pending);
    }
  }

  function enqueue(pending: PendingReport): void {
    if (closed) return;
    queue.push(pending);
    sendNext();
  }

  return {
    report: (event, onConfirmed) => enqueue({ event, onConfirmed, failedSends: 0 }),
    unconfirmedCount: () => queue.length + inFlightCount + awaitingRetryCount,
    close() {
      closed = true;
      queue.length = 0;
    },
  };
}
