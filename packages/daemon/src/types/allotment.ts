import type { Failure, Result } from '@chicorybend/common';

/** Dimension of a team's upper limit: concurrent tasks or concurrent requests. */
export type LimitDimension = 'tasks' | 'requests';

/**
 * Allotments of the partitions that this daemon owns. An allotment is the number of units of a team's upper limit that
 * one partition may have in use.
 */
export interface Allotments {
  /**
   * Charges units to a team's allotment at a partition, without waiting for the store. If the allotment does not
   * cover them, the charge is refused and more units are requested in the background.
   *
   * @param partition partition that runs the tasks or requests
   * @param count units; all of them are charged or none
   * @returns success; `over-limit` with a time after which to retry; or `not-owner` if this daemon has not opened
   *   the partition
   */
  charge(
    partition: number,
    team: string,
    dimension: LimitDimension,
    count: number,
  ): Result<void, Failure>;

  /**
   * Charges tasks or requests that already run when the partition is taken over. Never refuses; the allotment may
   * be exceeded until some of them end.
   */
  adopt(partition: number, team: string, dimension: LimitDimension, count: number): void;

  /** Returns charged units to the allotment. */
  release(partition: number, team: string, dimension: LimitDimension, count: number): void;
}
