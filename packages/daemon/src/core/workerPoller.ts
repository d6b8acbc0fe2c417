/**
 * Seals workers, renews their tasks' leases and notices when the leases of a silent worker have lapsed.
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

/** A silent worker is asked more often than a live one, so that a takeover takes little time. */
const SEAL_RETRY_INTERVAL_MILLISECONDS = 250;
/** Workers that were sealed together after a takeover are not renewed together for ever. */
const INTERVAL_JITTER_FRACTION = 0.1;

/** What the contacts need. */
export interface WorkerPollerOptions {
  readonly lease: PartitionLease;
  readonly clock: Clock;
  readonly random: () => number;
  readonly client: WorkerClient;
  readonly executionTracker: ExecutionTracker;
  readonly log: Log;
  readonly onSilent: (worker: WorkerEntry) => void;
  /** The worker answered, or its state changed. */
  readonly onWorkerChanged: (worker: WorkerEntry) => void;
}

/** Regular calls to the workers of one partition. */
export interface WorkerPoller {
  add(worker: WorkerEntry): void;
  /** Renews within the interval of a busy worker from now on, because the worker got a task. */
  useBusyInterval(worker: WorkerEntry): void;
  remove(worker: WorkerEntry): void;
  close(): void;
}

/** Ends that the worker holds until they are acknowledged count like tasks that run. */
function isIdle(worker: WorkerEntry): boolean {
  return worker.executions.size + worker.unconfirmedEnds.size + worker.endsToAcknowledge.size === 0;
}

function pollIntervalOf(worker: WorkerEntry): number {
  if (worker.liveness !== 'live') return SEAL_RETRY_INTERVAL_MILLISECONDS;
  return isIdle(worker) ? IDLE_CONTACT_INTERVAL_MILLISECONDS : LEASE_RENEWAL_INTERVAL_MILLISECONDS;
}

/**
 * Creates the regular calls.
 *
 * @param options dependencies
 * @returns the calls
 */
export function createWorkerPoller(options: WorkerPollerOptions): WorkerPoller {
  const {
    lease,
    clock,
    random,
    client,
    executionTracker: executionTracker,
    log,
    onSilent,
    onWorkerChanged: onWorkerChanged,
  } = options;
  const timers = new Map<string, CancelTimer>();
  /** Workers whose next call is an idle interval away. */
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
      .catch(createFaultHandler(log, 'the contact of a worker failed'))
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
    const clockReading = worker.clockReading ?? { workerMilliseconds: 0, receivedAt: 0 };
    return (
      clockReading.workerMilliseconds + now - clockReading.receivedAt + COMMAND_WINDOW_MILLISECONDS
    );
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

  /** A silent worker is sealed again instead of renewed, because a renewal would extend its leases. */
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
    // A later owner renews the leases from now on, so that this one cannot tell when they lapse.
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
    // The leases of a worker that was silent may be near their end.
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
      // A part of the interval, so that the end of a short task waits no longer than on a worker in use.
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
