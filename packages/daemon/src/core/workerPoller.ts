/**
 * Polls the workers of one partition: seals a worker until it answers, then renews the leases of its tasks. Declares
 * executions on a silent worker lapsed once every lease it could hold has ended.
 */

import type { CancelTimer, Clock, Log, Result, SealResponse } from '@chicorybend/common';

import type { PartitionLease } from '../types/partition.js';

import { createFaultHandler } from '../utils/faults.js';
import {
  COMMAND_WINDOW_MILLISECONDS,
  IDLE_CONTACT_INTERVAL_MILLISECONDS,
  latestLeaseEndAfterSend,
  latestLeaseEndAfterCall,
  LEASE_RENEWAL_INTERVAL_MILLISECONDS,
  TASK_LEASE_MILLISECONDS,
} from './taskLease.js';
import type { WorkerCallError, WorkerClient } from './workerClient.js';
import { executionKey } from './workerEntry.js';
import type { WorkerEntry } from './workerEntry.js';
import type { ExecutionTracker } from './executionTracker.js';

/** Shorter than the interval of a live worker, so that a takeover finds all workers soon. */
const SEAL_RETRY_INTERVAL_MILLISECONDS = 250;
/** Spreads the renewals of workers that were sealed together after a takeover. */
const INTERVAL_JITTER_FRACTION = 0.1;

export interface WorkerPollerOptions {
  readonly lease: PartitionLease;
  readonly clock: Clock;
  readonly random: () => number;
  readonly client: WorkerClient;
  readonly executionTracker: ExecutionTracker;
  readonly log: Log;
  /** Called after a poll that returned no usable response. */
  readonly onSilent: (worker: WorkerEntry) => void;
  /** Called after each answer of the worker has been applied. */
  readonly onWorkerChanged: (worker: WorkerEntry) => void;
}

/** Polls the workers of one partition. */
export interface WorkerPoller {
  add(worker: WorkerEntry): void;
  /** Polls the worker at the interval of a busy one from now on, because it was sent a task. */
  useBusyInterval(worker: WorkerEntry): void;
  remove(worker: WorkerEntry): void;
  close(): void;
}

/** A worker that keeps unacknowledged ends is polled like one that runs tasks. */
function isIdle(worker: WorkerEntry): boolean {
  return worker.executions.size + worker.unconfirmedEnds.size + worker.endsToAcknowledge.size === 0;
}

function pollIntervalOf(worker: WorkerEntry): number {
  if (worker.liveness !== 'live') return SEAL_RETRY_INTERVAL_MILLISECONDS;
  return isIdle(worker) ? IDLE_CONTACT_INTERVAL_MILLISECONDS : LEASE_RENEWAL_INTERVAL_MILLISECONDS;
}

export function createWorkerPoller(options: WorkerPollerOptions): WorkerPoller {
  const { lease, clock, random, client, executionTracker, log, onSilent, onWorkerChanged } =
    options;
  const timers = new Map<string, CancelTimer>();
  /** Identities of workers whose next poll was scheduled at the idle interval. */
  const workersOnIdleInterval = new Set<string>();
  let closed = false;

  function schedulePoll(worker: WorkerEntry, delayMilliseconds: number): void {
    if (closed) return;
    timers.get(worker.workerId)?.();
    const cancel = clock.setTimer(() => startPoll(worker), delayMilliseconds);
    timers.set(worker.workerId, cancel);
  }

  function scheduleNextPoll(worker: WorkerEntry): void {
    const interval = pollIntervalOf(worker);
    if (interval === IDLE_CONTACT_INTERVAL_MILLISECONDS) workersOnIdleInterval.add(worker.workerId);
    schedulePoll(worker, interval * (1 - INTERVAL_JITTER_FRACTION * random()));
  }

  function startPoll(worker: WorkerEntry): void {
    workersOnIdleInterval.delete(worker.workerId);
    poll(worker)
      .catch(createFaultHandler(log, 'polling a worker failed'))
      .finally(() => {
        if (timers.has(worker.workerId)) scheduleNextPoll(worker);
      });
  }

  function lapseExpiredLeases(worker: WorkerEntry): void {
    const hasExpired = clock.monotonicMilliseconds() > worker.latestLeaseEnd;
    if (worker.liveness === 'live' || !hasExpired || worker.executions.size === 0) return;
    log.info('leases of a silent worker lapsed', { workerId: worker.workerId });
    executionTracker.declareAllLapsed(worker);
  }

  function computeNotAfter(worker: WorkerEntry, now: number): number {
    const reading = worker.clockReading ?? { workerMilliseconds: 0, receivedAt: 0 };
    return reading.workerMilliseconds + now - reading.receivedAt + COMMAND_WINDOW_MILLISECONDS;
  }

  async function renew(worker: WorkerEntry): Promise<Result<SealResponse, WorkerCallError>> {
    const { partition, epoch } = lease;
    const now = clock.monotonicMilliseconds();
    const acknowledged = [...worker.endsToAcknowledge.values()];
    worker.latestLeaseEnd = Math.max(worker.latestLeaseEnd, latestLeaseEndAfterSend(now));
    const answer = await client.renew(worker.vm.address, {
      partition,
      epoch,
      leaseMilliseconds: TASK_LEASE_MILLISECONDS,
      acknowledged,
      notAfterWorkerMilliseconds: computeNotAfter(worker, now),
    });
    const endedAt = clock.monotonicMilliseconds();
    worker.latestLeaseEnd = Math.max(worker.latestLeaseEnd, latestLeaseEndAfterCall(endedAt));
    if (answer.isOk()) {
      acknowledged.forEach((attempt) => worker.endsToAcknowledge.delete(executionKey(attempt)));
    }
    return answer;
  }

  /** A silent worker is sealed instead of renewed, because a renewal would extend its leases. */
  function sealOrRenew(worker: WorkerEntry): Promise<Result<SealResponse, WorkerCallError>> {
    const { partition, epoch } = lease;
    if (worker.liveness === 'live') return renew(worker);
    return client.seal(worker.vm.address, { partition, epoch });
  }

  function applyAnswer(worker: WorkerEntry, report: SealResponse, sentAt: number): void {
    const wasLive = worker.liveness === 'live';
    worker.liveness = 'live';
    executionTracker.applyReport(worker, report, sentAt);
    onWorkerChanged(worker);
    if (!wasLive) log.info('worker sealed', { workerId: worker.workerId, epoch: lease.epoch });
  }

  function applyError(worker: WorkerEntry, error: WorkerCallError): void {
    // A later owner renews the leases from now on, so this owner cannot know when they end.
    if (error.kind === 'refused' && error.refusal.refused === 'stale-epoch') {
      worker.latestLeaseEnd = Number.POSITIVE_INFINITY;
    }
    onSilent(worker);
  }

  async function poll(worker: WorkerEntry): Promise<void> {
    if (!lease.mayAct()) return;
    lapseExpiredLeases(worker);
    const wasLive = worker.liveness === 'live';
    const sentAt = clock.monotonicMilliseconds();
    const answer = await sealOrRenew(worker);
    if (closed || !timers.has(worker.workerId)) return;
    if (answer.isErr()) {
      applyError(worker, answer.error);
      return;
    }
    applyAnswer(worker, answer.value, sentAt);
    // The leases of a worker that was silent may be about to end.
    if (!wasLive && worker.executions.size > 0 && lease.mayAct()) await renewAtOnce(worker);
  }

  async function renewAtOnce(worker: WorkerEntry): Promise<void> {
    const sentAt = clock.monotonicMilliseconds();
    const answer = await renew(worker);
    if (closed || !timers.has(worker.workerId)) return;
    if (answer.isOk()) applyAnswer(worker, answer.value, sentAt);
    else applyError(worker, answer.error);
  }

  return {
    add: (worker) => schedulePoll(worker, random() * SEAL_RETRY_INTERVAL_MILLISECONDS * 0.2),
    useBusyInterval(worker) {
      // At most one busy interval, so that the end of a short task is seen as soon as on a busy worker.
      const delay = random() * LEASE_RENEWAL_INTERVAL_MILLISECONDS;
      if (workersOnIdleInterval.delete(worker.workerId)) schedulePoll(worker, delay);
    },
    remove(worker) {
      workersOnIdleInterval.delete(worker.workerId);
      timers.get(worker.workerId)?.();
      timers.delete(worker.workerId);
    },
    close() {
      closed = true;
      timers.forEach((cancel) => cancel());
      timers.clear();
    },
  };
}
