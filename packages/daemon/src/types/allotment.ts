import type { Failure, Result } from '@chicorybend/common';

/** What an upper limit counts. */
export type LimitDimension = 'tasks' | 'requests';

/** This daemon's parts of the teams' upper limits. */
export interface Allotments {
  /**
   * Charges units of a team's upper limit at a partition. Answers at once from the partition's part; takes more
   * units from the store in the background when the part is used up.
   *
   * @param partition partition that the work runs for
   * @param team team to charge
   * @param dimension what is counted
   * @param count units, all or none
   * @returns success, or `over-limit` with a time to retry
   */
  charge(
    partition: number,
    team: string,
    dimension: LimitDimension,
    count: number,
  ): Result<void, Failure>;

  /**
   * Charges work that runs already, after a takeover. Always succeeds; the part may stay overdrawn until work
   * ends.
   */
  adopt(partition: number, team: string, dimension: LimitDimension, count: number): void;

  /** Gives charged units back. */
  release(partition: number, team: string, dimension: LimitDimension, count: number): void;
}
