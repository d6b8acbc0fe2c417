import type { Failure, Result } from '@chicorybend/common';

import type { JournalRecord } from './journalRecord.js';

/** Reason why an append failed. */
export type JournalError =
  /** The record is certainly not durable. */
  | { readonly kind: 'not-durable'; readonly reason: string }
  /** The record was sent to the store, which gave no answer; it may be durable. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** Another daemon owns the partition now. A record in flight may be durable. */
  | { readonly kind: 'fenced'; readonly reason: string };

/** Write-ahead log of one partition. */
export interface Journal {
  /**
   * Appends a record to the next group commit. Records become durable in the order of the calls.
   *
   * @param record record to append
   * @param deadlineMilliseconds time limit for sending the record, in milliseconds; a record that has not been sent by
   *   then is removed from the queue, and one that has been sent is awaited
   * @returns success once durable
   */
  append(record: JournalRecord, deadlineMilliseconds: number): Promise<Result<void, JournalError>>;
}

/** Right of this daemon to act as the owner of a partition at one epoch. */
export interface PartitionLease {
  readonly partition: number;
  readonly epoch: number;
  readonly journal: Journal;
  /**
   * Tells whether the daemon may still act as the owner. Must be checked right before each send, with no await in
   * between, because the lease may lapse during any await.
   */
  mayAct(): boolean;
}

/** Input of {@link PartitionService.open}. */
export interface PartitionOpening {
  readonly lease: PartitionLease;
  /** Records of the partition, oldest first: the snapshot's records, then the journal's. */
  readonly records: readonly JournalRecord[];
  /** What this service's `release` returned at the former owner; null after a takeover. */
  readonly handedOver: unknown;
  /** Monotonic time at which the former owner had certainly stopped acting, in milliseconds. */
  readonly formerOwnerStoppedAt: number;
}

/** A module of the daemon that keeps state for each partition that the daemon owns. */
export interface PartitionService {
  /** Key of the service in the state of a handover. */
  readonly name: string;

  /**
   * Starts serving a partition.
   *
   * @param opening lease, records and handed-over state
   * @returns success, or why the partition cannot be served
   */
  open(opening: PartitionOpening): Promise<Result<void, Failure>>;

  /**
   * Stops accepting jobs and requests for a partition, before a planned handover. Later calls fail with `not-owner`.
   *
   * @param partition partition to hand over
   * @returns JSON state for the next owner
   */
  release(partition: number): Promise<unknown>;

  /**
   * Discards the state of a partition, after a handover or when the partition was lost to another owner.
   *
   * @param partition partition to close
   */
  close(partition: number): void;

  /**
   * Returns records that reproduce the present state of a partition, for a snapshot of the journal.
   *
   * @param partition partition number
   * @returns records, replayed by the next owner before newer ones
   */
  snapshot(partition: number): readonly JournalRecord[];
}

/** Owner of a partition. */
export interface PartitionOwner {
  readonly daemonId: string;
  readonly epoch: number;
}

/** Owners of all partitions, as known to this daemon. */
export interface PartitionDirectory {
  readonly partitionCount: number;
  /**
   * @param partition partition number
   * @returns last known owner, or null
   */
  ownerOf(partition: number): PartitionOwner | null;
  /**
   * @param partition partition number
   * @returns whether the last known owner has not answered recently, so that its load is out of date
   */
  isOwnerSilent(partition: number): boolean;
  /**
   * @param partition partition number
   * @returns lease of this daemon, or null if it does not serve the partition
   */
  leaseOf(partition: number): PartitionLease | null;
  /** @returns partitions that this daemon serves */
  servedPartitions(): readonly number[];
  /** Requests a new reading of the owner records; for use after a call failed, for example with `not-owner`. */
  refreshOwner(partition: number): void;
}

/** Load of one partition, as sent in heartbeats. */
export interface PartitionLoad {
  readonly partition: number;
  /** Number of free slots for interactive requests. */
  readonly freeSlots: number;
  /** Number of queued interactive requests. */
  readonly queuedRequests: number;
  /** Sum of the free amounts of all workers, per dimension. */
  readonly freeTotal: { processors: number; memoryBytes: number; accelerators: number };
  /** Largest free amount on any one worker, per dimension. */
  readonly freeLargest: { processors: number; memoryBytes: number; accelerators: number };
  /** Number of running tasks per team. */
  readonly runningByTeam: Readonly<Record<string, number>>;
  /** Resources of the running tasks per team, for fair shares. */
  readonly usedByTeam?: Readonly<
    Record<string, { processors: number; memoryBytes: number; accelerators: number }>
  >;
}

/** Loads of all partitions, as last received in heartbeats. */
export interface PartitionLoadView {
  /** @returns last received loads, by partition number */
  loads(): ReadonlyMap<number, PartitionLoad>;
}
