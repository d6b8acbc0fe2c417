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
import type { WorkerReports } from './workerReports.js';

/** A silent worker is asked more often than a live one, so that a takeover takes little time. */
const SEAL_RETRY_MILLISECONDS = 250;
/** Workers that were sealed together after a takeover are not renewed together for ever. */
const INTERVAL_JITTER = 0.1;

/** What the contacts need. */
export interface WorkerContactsOptions {
  readonly lease: PartitionLease;
  readonly clock: Clock;
  readonly random: () => number;
  readonly client: WorkerClient;
  readonly reports: WorkerReports;
  readonly log: Log;
  readonly onSilent: (worker: WorkerEntry) => void;
  /** The worker answered, or its state changed. */
  readonly onChanged: (worker: WorkerEntry) => void;
}

/** Regular calls to the workers of one partition. */
export interface WorkerContacts {
  add(worker: WorkerEntry): void;
  /** Renews within the interval of a busy worker from now on, because the worker got a task. */
  noteBusy(worker: WorkerEntry): void;
  remove(worker: WorkerEntry): void;
  close(): void;
}

/** Ends that the worker holds until they are acknowledged count like tasks that run. */
function isIdle(worker: WorkerEntry): boolean {
  return worker.executions.size + worker.unconfirmed.size + worker.confirmed.size === 0;
}

function intervalOf(worker: WorkerEntry): number {
  if (worker.contact !== 'live') return SEAL_RETRY_MILLISECONDS;
  return isIdle(worker) ? IDLE_CONTACT_INTERVAL_MILLISECONDS : LEASE_RENEWAL_INTERVAL_MILLISECONDS;
}

/**
 * Creates the regular calls.
 *
 * @param options dependencies
 * @returns the calls
 */
export function createWorkerContacts(options: WorkerContactsOptions): WorkerContacts {
  const { lease, clock, random, client, reports, log, onSilent, onChanged } = options;
  const timers = new Map<string, CancelTimer>();
  /** Workers whose next call is an idle interval away. */
  const onIdleInterval = new Set<string>();
  let closed = false;

  function schedule(worker: WorkerEntry, delayMilliseconds: number): void {
    if (closed) return;
    timers.get(worker.workerId)?.();
    const cancel = clock.setTimer(() => runTick(worker), delayMilliseconds);
    timers.set(worker.workerId, cancel);
  }

  function scheduleNext(worker: WorkerEntry): void {
    const interval = intervalOf(worker);
    if (interval === IDLE_CONTACT_INTERVAL_MILLISECONDS) onIdleInterval.add(worker.workerId);
    schedule(worker, interval * (1 - INTERVAL_JITTER * random()));
  }

  function runTick(worker: WorkerEntry): void {
    onIdleInterval.delete(worker.workerId);
    tick(worker)
      .catch(createFaultHandler(log, 'the contact of a worker failed'))
      .finally(() => {
        if (timers.has(worker.workerId)) scheduleNext(worker);
      });
  }

  function checkLapse(worker: WorkerEntry): void {
    const isLapsed = clock.monotonicMilliseconds() > worker.leaseEndsBy;
    if (worker.contact === 'live' || !isLapsed || worker.executions.size === 0) return;
    log.info('leases of a silent worker lapsed', { workerId: worker.workerId });
    reports.lapseAll(worker);
  }

  function notAfterOf(worker: WorkerEntry, now: number): number {
    const reading = worker.reading ?? { workerMilliseconds: 0, receivedAt: 0 };
    return reading.workerMilliseconds + now - reading.receivedAt + COMMAND_WINDOW_MILLISECONDS;
  }

  async function renew(worker: WorkerEntry): Promise<Result<SealResponse, WorkerCallError>> {
    const { partition, epoch } = lease;
    const now = clock.monotonicMilliseconds();
    const acknowledged = [...worker.confirmed.values()];
    worker.leaseEndsBy = Math.max(worker.leaseEndsBy, latestLeaseEndAfterSend(now));
    const answer = await client.renew(worker.vm.address, {
      partition,
      epoch,
      leaseMilliseconds: TASK_LEASE_MILLISECONDS,
      acknowledged,
      notAfterWorkerMilliseconds: notAfterOf(worker, now),
    });
    const endedAt = clock.monotonicMilliseconds();
    worker.leaseEndsBy = Math.max(worker.leaseEndsBy, latestLeaseEndAfterCall(endedAt));
    if (answer.isOk()) {
      acknowledged.forEach((attempt) => worker.confirmed.delete(executionKey(attempt)));
    }
    return answer;
  }

  /** A silent worker is sealed again instead of renewed, because a renewal would extend its leases. */
  function contact(worker: WorkerEntry): Promise<Result<SealResponse, WorkerCallError>> {
    const { partition, epoch } = lease;
    if (worker.contact === 'live') return renew(worker);
    return client.seal(worker.vm.address, { partition, epoch });
  }

  function applyAnswer(worker: WorkerEntry, report: SealResponse, sentAt: number): void {
    const wasLive = worker.contact === 'live';
    worker.contact = 'live';
    reports.apply(worker, report, sentAt);
    onChanged(worker);
    if (!wasLive) log.info('worker sealed', { workerId: worker.workerId, epoch: lease.epoch });
  }

  function noteError(worker: WorkerEntry, error: WorkerCallError): void {
    // A later owner renews the leases from now on, so that this one cannot tell when they lapse.
    if (error.kind === 'refused' && error.refusal.refused === 'stale-epoch') {
      worker.leaseEndsBy = Number.POSITIVE_INFINITY;
    }
    onSilent(worker);
  }

  async function tick(worker: WorkerEntry): Promise<void> {
    if (!lease.mayAct()) return;
    checkLapse(worker);
    const wasLive = worker.contact === 'live';
    const sentAt = clock.monotonicMilliseconds();
    const answer = await contact(worker);
    if (closed || !timers.has(worker.workerId)) return;
    if (answer.isErr()) {
      noteError(worker, answer.error);
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
    else noteError(worker, answer.error);
  }

  return {
    add: (worker) => schedule(worker, random() * SEAL_RETRY_MILLISECONDS * 0.2),
    noteBusy(worker) {
      // A part of the interval, so that the end of a short task waits no longer than on a worker in use.
      const delay = random() * LEASE_RENEWAL_INTERVAL_MILLISECONDS;
      if (onIdleInterval.delete(worker.workerId)) schedule(worker, delay);
    },
    remove(worker) {
      onIdleInterval.delete(worker.workerId);
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
