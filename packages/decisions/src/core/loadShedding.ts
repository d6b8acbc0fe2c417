/**
 * What a process leaves out to keep up, each level in addition to the one before: `optional-work`: further calls for
 * advice and frequent rounds; `new-jobs`: jobs that are not accepted yet. What accepted work depends on (leases, stops,
 * acknowledgements) is never left out.
 */
export type SheddingLevel = 'nothing' | 'optional-work' | 'new-jobs';

/** Levels in the order of the load at which they begin. */
export const SHEDDING_LEVELS: readonly SheddingLevel[] = ['nothing', 'optional-work', 'new-jobs'];

/** Late part of the last second from which on optional work is left out. */
const OPTIONAL_WORK_SHARE = 0.25;
/** The same for new jobs. With a wake-up every 25 ms, the loop then has no idle time between turns of 45 ms. */
const NEW_JOBS_SHARE = 0.45;

/** @param lateShare part of the last second in which the process handled what was due too late, from 0 to 1 */
export function decideShedding(lateShare: number): SheddingLevel {
  if (lateShare >= NEW_JOBS_SHARE) return 'new-jobs';
  return lateShare >= OPTIONAL_WORK_SHARE ? 'optional-work' : 'nothing';
}
