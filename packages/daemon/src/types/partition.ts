import type { Failure, Result } from '@chicorybend/common';

import type { JournalRecord } from './journalRecord.js';

/** Why a record did not become durable. */
export type JournalError =
  /** Certainly not durable. */
  | { readonly kind: 'not-durable'; readonly reason: string }
  /** Sent to the store, which gave no answer. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** Another daemon owns the partition now. A record in flight may be durable. */
  | { readonly kind: 'fenced'; readonly reason: string };

/** Durable records of one partition. */
export interface Journal {
  /**
   * Makes a record durable with the next group commit. Records become durable in the order of the calls.
   *
   * @param record record to append
   * @param deadlineMilliseconds time to wait; a record that has not been sent by then is taken out of its group
   * @returns success once durable
   */
  append(record: JournalRecord, deadlineMilliseconds: number): Promise<Result<void, JournalError>>;
}

/** Right to act as the owner of a partition. */
export interface PartitionLease {
  readonly partition: number;
  readonly epoch: number;
  readonly journal: Journal;
  /**
   * Tells whether the daemon may still act as the owner. Must be checked right before each send, after every
   * await.
   */
  mayAct(): boolean;
}

/** What a service gets when its partition opens. */
export interface PartitionOpening {
  readonly lease: PartitionLease;
  /** Records of the partition, oldest first: the snapshot's records, then the journal's. */
  readonly records: readonly JournalRecord[];
  /** What this service's `release` returned at the former owner; null after a takeover. */
  readonly handedOver: unknown;
  /** Time on this daemon's monotonic clock at which the former owner had certainly stopped acting. */
  readonly formerOwnerStoppedAt: number;
}

/** A module that keeps state per owned partition. */
export interface PartitionService {
  /** Name under which state is handed over. */
  readonly name: string;

  /**
   * Starts serving a partition.
   *
   * @param opening lease, records and handed-over state
   * @returns success, or why the partition cannot be served
   */
  open(opening: PartitionOpening): Promise<Result<void, Failure>>;

  /**
   * Stops taking new work for a partition, before a planned handover. Calls after it answer `not-owner`.
   *
   * @param partition partition to hand over
   * @returns JSON state for the next owner
   */
  release(partition: number): Promise<unknown>;

  /**
   * Forgets a partition after a handover, or at once when it was lost to another owner.
   *
   * @param partition partition to forget
   */
  close(partition: number): void;

  /**
   * Gives the records that stand for the whole present state, for a snapshot.
   *
   * @param partition partition to describe
   * @returns records, replayed by the next owner before newer ones
   */
  snapshot(partition: number): readonly JournalRecord[];
}

/** Who owns a partition. */
export interface PartitionOwner {
  readonly daemonId: string;
  readonly epoch: number;
}

/** Where partitions are. */
export interface PartitionDirectory {
  readonly partitionCount: number;
  /**
   * @param partition partition number
   * @returns last known owner, or null
   */
  ownerOf(partition: number): PartitionOwner | null;
  /**
   * @param partition partition number
   * @returns the own lease if this daemon serves the partition, or null
   */
  leaseOf(partition: number): PartitionLease | null;
  /** @returns partitions that this daemon serves */
  servedPartitions(): readonly number[];
  /** Asks for a new reading of the owner, after a `not-owner` answer. */
  refreshOwner(partition: number): void;
}

/** Advertised load of one partition, spread with heartbeats. */
export interface PartitionLoad {
  readonly partition: number;
  /** Interactive slots that are free. */
  readonly freeSlots: number;
  /** Interactive requests that wait. */
  readonly queuedRequests: number;
  /** Largest free amount on one worker and total free amount over workers, per dimension. */
  readonly freeTotal: { processors: number; memoryBytes: number; accelerators: number };
  readonly freeLargest: { processors: number; memoryBytes: number; accelerators: number };
  /** Running tasks per team. */
  readonly runningByTeam: Readonly<Record<string, number>>;
  /** Resources of the running tasks per team, for fair shares. */
  readonly usedByTeam?: Readonly<
    Record<string, { processors: number; memoryBytes: number; accelerators: number }>
  >;
}

/** Loads of all partitions as last heard. */
export interface PartitionLoadView {
  /** @returns loads as last heard, by partition */
  loads(): ReadonlyMap<number, PartitionLoad>;
}
