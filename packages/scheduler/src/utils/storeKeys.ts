/** Bound to the lease of the owner; its value names the owner. */
export const OWNER_KEY = 'chicorybend/owner';
/** Grows by one with each term of ownership; stays when the owner's lease ends. */
export const EPOCH_KEY = 'chicorybend/epoch';
/** Rewritten by each commit of a term, so that commits form a chain. */
export const COMMIT_KEY = 'chicorybend/commit';
/** Prefix of the specifications and states of jobs. */
export const JOB_PREFIX = 'chicorybend/job/';

const SPECIFICATION_SUFFIX = '/specification';
const STATE_SUFFIX = '/state';

/** @returns key of what was submitted; written once */
export function specificationKey(jobId: string): string {
  return `${JOB_PREFIX}${jobId}${SPECIFICATION_SUFFIX}`;
}

/** @returns key of the progress of a job */
export function stateKey(jobId: string): string {
  return `${JOB_PREFIX}${jobId}${STATE_SUFFIX}`;
}

/** A key of a job, taken apart. */
export interface JobKey {
  readonly jobId: string;
  readonly part: 'specification' | 'state';
}

/** @returns the job and the part that a key holds; null for another key */
export function parseJobKey(key: string): JobKey | null {
  const [jobId, part, ...rest] = key.slice(JOB_PREFIX.length).split('/');
  if (!key.startsWith(JOB_PREFIX) || !jobId || rest.length > 0) return null;
  return part === 'specification' || part === 'state' ? { jobId, part } : null;
}
