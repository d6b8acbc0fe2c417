import { Err, loadStateChart, Ok } from '@chicorybend/common';
import type { Clock, Counters, Log, Result, StoreClient } from '@chicorybend/common';

import type { PartitionLease, PartitionService } from '../types/partition.js';
import { createJournal } from './journal.js';
import type { OwnedJournal } from './journal.js';
import { recoverJournal } from './journalRecovery.js';

/** State of a partition at this daemon. */
export type PartitionState = 'unowned' | 'recovering' | 'serving' | 'handing-over';

const chart = loadStateChart<PartitionState>('partition');

/** What serving a partition needs. */
export interface ServedPartitionOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly selfId: string;
  /** State passed on by the former owner, by service name; null after a takeover. */
  readonly handedOver: Readonly<Record<string, unknown>> | null;
  readonly formerOwnerStoppedAt: number;
  readonly services: readonly PartitionService[];
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly random: () => number;
  readonly commitIntervalMilliseconds: () => number;
  /** Whether the daemon's authority holds and has not lapsed since the claim. */
  readonly mayAct: () => boolean;
  /** Called when another daemon was found to own the partition. */
  readonly onFenced: () => void;
}

/** A partition that this daemon recovers, serves or hands over. */
export interface ServedPartition {
  readonly partition: number;
  readonly epoch: number;
  state(): PartitionState;
  /** @returns the lease while serving, or null */
  lease(): PartitionLease | null;
  /** Reads the journal and opens the services. */
  recover(): Promise<Result<void, string>>;
  /** Stops taking new work and gives the state for the next owner. */
  release(): Promise<Readonly<Record<string, unknown>>>;
  /** Ends a handover that did not take place, by giving the partition up. */
  close(): void;
}

/**
 * Creates the part of this daemon that serves one partition at one epoch.
 *
 * @param options claim and collaborators
 * @returns the partition, which serves once `recover` has succeeded
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
      if (isClosed) return Err('closed while opening');
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
