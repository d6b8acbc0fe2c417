/** Names the current owner; bound to the owner's lease. */
export const OWNER_KEY = 'chicorybend/owner';
/** Last fencing token that is reserved for a term; outlives the owner's lease. */
export const EPOCH_KEY = 'chicorybend/epoch';
/** Rewritten by each commit, which is conditional on its revision, so that commits form a chain. */
export const COMMIT_KEY = 'chicorybend/commit';
/** Past use of all teams. */
export const PAST_USE_KEY = 'chicorybend/past-use';
/** Prefix of the keys of jobs. */
export const JOB_PREFIX = 'chicorybend/job/';

const SPECIFICATION_SUFFIX = '/specification';
const STATE_SUFFIX = '/state';

/** @returns key of the specification of a job as submitted; written once */
export function specificationKey(jobId: string): string {
  return `${JOB_PREFIX}${jobId}${SPECIFICATION_SUFFIX}`;
}

/** @returns key of the state of a job; rewritten as the job progresses */
export function stateKey(jobId: string): string {
  return `${JOB_PREFIX}${jobId}${STATE_SUFFIX}`;
}

/** A parsed key of a job. */
export interface JobKey {
  readonly jobId: string;
  readonly part: 'specification' | 'state';
}

/** @returns the parsed key; null if it is not a key of a job */
export function parseJobKey(key: string): JobKey | null {
  const [jobId, part, ...rest] = key.slice(JOB_PREFIX.length).split('/');
  if (!key.startsWith(JOB_PREFIX) || !jobId || rest.length > 0) return null;
  return part === 'specification' || part === 'state' ? { jobId, part } : null;
}
