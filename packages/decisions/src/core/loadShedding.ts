/**
 * What a process leaves out to keep up, each level in addition to the one before: `optional-work`: frequent checks for
 * stragglers and upcoming steps; `new-jobs`: jobs that are not accepted yet, and parts of rounds and of the calls for
 * advice. What accepted work depends on (leases, stops, acknowledgements) is never left out.
 */
export type SheddingLevel = 'nothing' | 'optional-work' | 'new-jobs';

/** Levels in the order of the load at which they begin. */
export const SHEDDING_LEVELS: readonly SheddingLevel[] = ['nothing', 'optional-work', 'new-jobs'];

/** Late part of the last second from which on optional work is left out. */
const OPTIONAL_WORK_SHARE = 0.25;
/** The same for new jobs. With a wake-up every 25 ms, turns of 45 ms then follow each other without idle time. */
const NEW_JOBS_SHARE = 0.45;
/** Duration of commits, in milliseconds, that shows that lateness delays the work; the store alone takes 10 to 25. */
const DELAYED_COMMIT_MILLISECONDS = 50;

/** Measured lateness of a process; shares are from 0 to 1. */
export interface MeasuredLateness {
  /** Part of the last second in which the process handled what was due too late. */
  readonly lateShare: number;
  /** The same, or that of the last two seconds if it is lower. */
  readonly sustainedShare: number;
  /** Usual duration of its commits, in milliseconds. */
  readonly commitMilliseconds: number;
}

/** New jobs are left out while lateness delays commits, or lasts for two seconds; a single stall refuses no job. */
export function decideShedding(lateness: MeasuredLateness): SheddingLevel {
  const { lateShare, sustainedShare, commitMilliseconds } = lateness;
  const isDelaying =
    lateShare >= NEW_JOBS_SHARE && commitMilliseconds >= DELAYED_COMMIT_MILLISECONDS;
  if (isDelaying || sustainedShare >= NEW_JOBS_SHARE) return 'new-jobs';
  return lateShare >= OPTIONAL_WORK_SHARE ? 'optional-work' : 'nothing';
}
