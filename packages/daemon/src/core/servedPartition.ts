import { Err, loadStateChart, Ok } from '@chicorybend/common';
import type { Clock, Counters, Log, Result, StoreClient } from '@chicorybend/common';

import type { PartitionLease, PartitionService } from '../types/partition.js';
import { createJournal } from './journal.js';
import type { OwnedJournal } from './journal.js';
import { recoverJournal } from './journalRecovery.js';

/** State of a partition on this daemon. */
export type PartitionState = 'unowned' | 'recovering' | 'serving' | 'handing-over';

const chart = loadStateChart<PartitionState>('partition');

export interface ServedPartitionOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly selfId: string;
  /** State from the former owner in a planned handover, by service name; null after a takeover. */
  readonly handedOver: Readonly<Record<string, unknown>> | null;
  /** Monotonic time at which the former owner had certainly stopped acting, in milliseconds. */
  readonly formerOwnerStoppedAt: number;
  readonly services: readonly PartitionService[];
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly random: () => number;
  readonly commitIntervalMilliseconds: () => number;
  /** Whether the authority of the daemon is valid and has not lapsed since the claim. */
  readonly mayAct: () => boolean;
  /** Called when a write to the store shows that another daemon owns the partition. */
  readonly onFenced: () => void;
}

/** A partition that this daemon recovers, serves or hands over. */
export interface ServedPartition {
  readonly partition: number;
  readonly epoch: number;
  state(): PartitionState;
  /** @returns the lease while serving, or null */
  lease(): PartitionLease | null;
  /** Reads the journal and opens the services with its records. */
  recover(): Promise<Result<void, string>>;
  /** Releases the services, commits the queued records, and returns the state for the next owner by service name. */
  release(): Promise<Readonly<Record<string, unknown>>>;
  /** Closes the services and the journal at once, in any state. Queued records are not committed. */
  close(): void;
}

/**
 * Creates a partition that this daemon owns at one epoch. It is served once `recover` has succeeded.
 */
export function createServedPartition(options: ServedPartitionOptions): ServedPartition {
  const { partition, epoch, services, log, counters } = options;
  let state: PartitionState = chart.advance('unowned', 'CLAIMED');
  let journal: OwnedJournal | null = null;
  let lease: PartitionLease | null = null;
  let isClosed = false;

  function mayAct(): boolean {
    return !isClosed && options.mayAct();
  }

  function close(): void {
    if (isClosed) return;
    isClosed = true;
    state = 'unowned';
    journal?.abandon();
    services.forEach((service) => service.close(partition));
    log.info('partition closed', { partition, epoch });
  }

  function fence(): void {
    counters.increment('partitions.fenced');
    close();
    options.onFenced();
  }

  async function openServices(
    openedLease: PartitionLease,
    records: Parameters<PartitionService['open']>[0]['records'],
  ): Promise<Result<void, string>> {
    for (const service of services) {
      const opened = await service.open({
        lease: openedLease,
        records,
        handedOver: options.handedOver?.[service.name] ?? null,
        formerOwnerStoppedAt: options.formerOwnerStoppedAt,
      });
      if (opened.isErr()) return Err(`${service.name}: ${opened.error.message}`);
      if (isClosed) return Err('partition was closed while its services were being opened');
    }
    return Ok(undefined);
  }

  async function recover(): Promise<Result<void, string>> {
    const recovered = await recoverJournal(options.store, partition, epoch, options.selfId);
    if (recovered.isErr()) return recovered;
    const openedJournal = createJournal({
      partition,
      epoch,
      recovered: recovered.value,
      store: options.store,
      clock: options.clock,
      counters,
      random: options.random,
      commitIntervalMilliseconds: options.commitIntervalMilliseconds,
      collectSnapshot: () => services.flatMap((service) => [...service.snapshot(partition)]),
      onFenced: fence,
    });
    journal = openedJournal;
    const openedLease = { partition, epoch, journal: openedJournal, mayAct };
    const opened = await openServices(openedLease, recovered.value.records);
    if (opened.isErr()) return opened;
    lease = openedLease;
    state = chart.advance(state, 'RECOVERED');
    log.info('partition served', { partition, epoch, records: recovered.value.records.length });
    return Ok(undefined);
  }

  async function release(): Promise<Readonly<Record<string, unknown>>> {
    state = chart.advance(state, 'HAND_OVER');
    const handedOver: Record<string, unknown> = {};
    for (const service of services) {
      handedOver[service.name] = await service.release(partition);
    }
    await journal?.flushAndClose();
    return handedOver;
  }

  return {
    partition,
    epoch,
    state: () => state,
    lease: () => (state === 'serving' ? lease : null),
    recover,
    release,
    close,
  };
}
