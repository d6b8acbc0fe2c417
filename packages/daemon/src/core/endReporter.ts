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
const MAXIMUM_IN_FLIGHT = 256;
const RETRY_BACKOFF = { firstMilliseconds: 100, maximumMilliseconds: 2_000 };

/** Sender of ends. */
export interface EndReporter {
  /**
   * @param event execution that ended
   * @param onConfirmed called once the end is durable at the owner of the job
   */
  report(event: TaskEvent, onConfirmed: () => void): void;
  /** @returns ends that are not confirmed */
  size(): number;
  close(): void;
}

/** What the reporter needs. */
export interface EndReporterOptions {
  readonly lease: PartitionLease;
  readonly clock: Clock;
  readonly random: () => number;
  readonly callPartition: CallPartition;
  readonly log: Log;
}

interface PendingReport {
  readonly event: TaskEvent;
  readonly onConfirmed: () => void;
  tries: number;
}

/**
 * Creates a reporter for one worker partition.
 *
 * @param options dependencies
 * @returns the reporter
 */
export function createEndReporter(options: EndReporterOptions): EndReporter {
  const { lease, clock, random, callPartition, log } = options;
  const waiting: PendingReport[] = [];
  let inFlight = 0;
  let delayed = 0;
  let closed = false;

  function retryLater(pending: PendingReport): void {
    delayed += 1;
    const delay = computeBackoff(RETRY_BACKOFF, pending.tries, random);
    clock.setTimer(() => {
      delayed -= 1;
      enqueue(pending);
    }, delay);
  }

  async function send(pending: PendingReport): Promise<void> {
    const { event } = pending;
    // A former owner must not declare leases lapsed that its successor renews.
    const isAllowed = lease.mayAct();
    const outcome = isAllowed
      ? await callPartition(event.jobPartition, 'task.event', event, EVENT_DEADLINE_MILLISECONDS)
      : null;
    if (closed) return;
    if (outcome?.isOk()) {
      pending.onConfirmed();
      return;
    }
    pending.tries += 1;
    retryLater(pending);
  }

  function run(pending: PendingReport): void {
    inFlight += 1;
    send(pending)
      .catch(createFaultHandler(log, 'the report of an end failed'))
      .finally(() => {
        inFlight -= 1;
        sendNext();
      });
  }

  function sendNext(): void {
    while (!closed && inFlight < MAXIMUM_IN_FLIGHT) {
      const pending = waiting.shift();
      if (!pending) return;
      run(pending);
    }
  }

  function enqueue(pending: PendingReport): void {
    if (closed) return;
    waiting.push(pending);
    sendNext();
  }

  return {
    report: (event, onConfirmed) => enqueue({ event, onConfirmed, tries: 0 }),
    size: () => waiting.length + inFlight + delayed,
    close() {
      closed = true;
      waiting.length = 0;
    },
  };
}
