/** A run that began at most this long before its endpoint was lost may have caused the loss, in milliseconds. */
const RECENT_START_MILLISECONDS = 1_000;
/** Losses of endpoints this close to each other may have a common cause, in milliseconds. */
const COMMON_CAUSE_WINDOW_MILLISECONDS = 300;
/** Minimum number of endpoints that a common cause, such as a power failure, takes down at once. */
const COMMON_CAUSE_ENDPOINTS = 3;
/** The same within one rack. */
const COMMON_CAUSE_ENDPOINTS_OF_RACK = 2;
/** Bounds of the duration of a trial, in milliseconds. */
const MINIMUM_TRIAL_MILLISECONDS = 250;
const MAXIMUM_TRIAL_MILLISECONDS = 2_500;
/** A trial lasts this multiple of the highest age at which an endpoint was lost under the task. */
const TRIAL_AGE_FACTOR = 2;
/** Minimum age at which a run clears its task of earlier losses, in milliseconds. */
const MINIMUM_OUTLIVING_MILLISECONDS = 10_000;
/** A task is given up after this many proven losses, even if each of them may have another cause. */
const MAXIMUM_PROVEN_LOSSES = 4;
/** The same for tasks on trial whose endpoints had other losses. */
const PROVEN_LOSSES_ON_UNRELIABLE_ENDPOINTS = 3;
/** Minimum number of losses during which a run of the task was certainly executing. */
const MINIMUM_PROVEN_LOSSES = 2;
/** A task is given up after this many losses on trial, even if none of them is proven. */
const MAXIMUM_TRIAL_LOSSES = 3;

/**
 * What the loss of an endpoint says about a task that had a run there:
 *
 * - `sole`: the run was on trial, so that no other run can have caused the loss
 * - `unreliable`: the same, at an endpoint whose address has had other losses
 * - `shared`: the run had just begun, perhaps among others
 * - `bystander`: the run had been executing for some time
 * - `common`: the loss has another cause: several endpoints were lost at once, or another run was on trial
 */
export type LossRole = 'sole' | 'unreliable' | 'shared' | 'bystander' | 'common';

/** The loss of an endpoint that had a run of a task. */
export interface EndpointLoss {
  readonly role: LossRole;
  /** Age of the run at the loss, in milliseconds. */
  readonly ageMilliseconds: number;
  /**
   * Whether the endpoint was certainly lost and the run was certainly executing: an endpoint that does not answer may
   * only be cut off, and an unanswered start may not have reached it.
   */
  readonly isProven: boolean;
  /** Wall-clock time of the loss, in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Whether a task crashes its endpoints. A suspect is run on trial, apart from others. */
export type CrashVerdict = 'unsuspected' | 'suspect' | 'guilty';

/** An endpoint that was lost, or does not answer. */
export interface LostEndpoint {
  readonly endpointId: string;
  readonly rack: string;
  /** When its calls began to fail, in monotonic milliseconds. */
  readonly at: number;
  /** Whether a run that was on trial there, or a task found guilty, explains the loss. */
  readonly isExplained: boolean;
  /** Jobs with runs that had just begun there, with the number of endpoints on which they had. */
  readonly recentJobs: ReadonlyMap<string, number>;
}

/** A run at an endpoint when that was lost. */
export interface LostRun {
  /** See {@link EndpointLoss.ageMilliseconds}. */
  readonly ageMilliseconds: number;
  /** Whether it was on trial. */
  readonly isOnTrial: boolean;
}

/** Circumstances of the loss of an endpoint. */
export interface LossCircumstances {
  /** Whether several endpoints were lost at once; see {@link hasCommonCause}. */
  readonly isCommon: boolean;
  /** Whether a run was on trial there. */
  readonly hasTrial: boolean;
  /** Whether the address of the endpoint has had other losses. */
  readonly isUnreliable: boolean;
}

/** @returns whether a run of this age may have caused the loss of its endpoint by its start */
export function isRecentStart(ageMilliseconds: number): boolean {
  return ageMilliseconds <= RECENT_START_MILLISECONDS;
}

/** @returns whether a job had just begun on most of the endpoints, and most endpoints on which it had were lost */
function hasSharedJob(losses: readonly LostEndpoint[]): boolean {
  const lostByJob = new Map<string, number>();
  const totals = new Map<string, number>();
  losses.forEach(({ recentJobs }) =>
    recentJobs.forEach((endpoints, job) => {
      lostByJob.set(job, (lostByJob.get(job) ?? 0) + 1);
      totals.set(job, Math.max(totals.get(job) ?? 0, endpoints));
    }),
  );
  return [...lostByJob].some(
    ([job, lost]) => lost > 1 && 2 * lost >= losses.length && 2 * lost > totals.get(job)!,
  );
}

/**
 * Decides whether endpoints were lost for a common cause. Explained losses do not count, and neither do
 * groups in which a job had just begun on at least half of the endpoints, while it survived on few others: its tasks
 * may share a fault.
 *
 * @param lost the lost endpoint
 * @param losses all recent losses, this one included
 */
export function hasCommonCause(lost: LostEndpoint, losses: readonly LostEndpoint[]): boolean {
  const unexplained = losses.filter(
    ({ at, isExplained }) =>
      !isExplained && Math.abs(at - lost.at) <= COMMON_CAUSE_WINDOW_MILLISECONDS,
  );
  if (hasSharedJob(unexplained)) return false;
  const ofRack = unexplained.filter(({ rack }) => rack === lost.rack);
  return (
    unexplained.length >= COMMON_CAUSE_ENDPOINTS || ofRack.length >= COMMON_CAUSE_ENDPOINTS_OF_RACK
  );
}

/** @returns what the loss of its endpoint says about the task of a run */
export function classifyLoss(run: LostRun, circumstances: LossCircumstances): LossRole {
  if (circumstances.isCommon) return 'common';
  if (run.isOnTrial) return circumstances.isUnreliable ? 'unreliable' : 'sole';
  if (circumstances.hasTrial) return 'common';
  return isRecentStart(run.ageMilliseconds) ? 'shared' : 'bystander';
}

function isOnTrialAt({ role }: EndpointLoss): boolean {
  return role === 'sole' || role === 'unreliable';
}

/**
 * Judges a task by the endpoints that were lost under it. It is guilty only if it was certainly executing at two of
 * the losses and was alone under suspicion at the last one, or lost its endpoint on trial time and again.
 */
export function judgeCrashes(losses: readonly EndpointLoss[]): CrashVerdict {
  const attributable = losses.filter(({ role }) => role !== 'common');
  const provenCount = attributable.filter(({ isProven }) => isProven).length;
  const lastRole = attributable.at(-1)?.role;
  if (
    (lastRole === 'sole' && provenCount >= MINIMUM_PROVEN_LOSSES) ||
    (lastRole === 'unreliable' && provenCount >= PROVEN_LOSSES_ON_UNRELIABLE_ENDPOINTS) ||
    losses.filter(({ isProven }) => isProven).length >= MAXIMUM_PROVEN_LOSSES ||
    losses.filter(isOnTrialAt).length >= MAXIMUM_TRIAL_LOSSES
  ) {
    return 'guilty';
  }
  const isSuspect =
    attributable.length > 1 || attributable.some(({ role }) => role !== 'bystander');
  return isSuspect ? 'suspect' : 'unsuspected';
}

/**
 * A task that crashes its endpoints does so at a similar age each time, so a run that outlives that age clears it.
 *
 * @returns duration of the trial of a suspect, in milliseconds
 */
export function trialMillisecondsFor(losses: readonly EndpointLoss[]): number {
  const ages = losses
    .filter(({ role }) => role !== 'common')
    .map(({ ageMilliseconds }) => ageMilliseconds);
  return Math.min(
    MAXIMUM_TRIAL_MILLISECONDS,
    MINIMUM_TRIAL_MILLISECONDS + TRIAL_AGE_FACTOR * Math.max(0, ...ages),
  );
}

/**
 * @param ageMilliseconds age of the last run of the task, in milliseconds
 * @returns the losses that this run has not shown to have another cause by outliving them
 */
export function discardOutlivedLosses(
  losses: readonly EndpointLoss[],
  ageMilliseconds: number,
): readonly EndpointLoss[] {
  const hasOutlived =
    ageMilliseconds >= MINIMUM_OUTLIVING_MILLISECONDS &&
    losses.every((loss) => ageMilliseconds >= TRIAL_AGE_FACTOR * loss.ageMilliseconds);
  return hasOutlived ? [] : losses;
}

/**
 * Number of endpoints with runs on trial that a step may have at once: one until a run has passed, so that a step of
 * which every task crashes its endpoint takes down one at a time, then one more with each run that passes.
 *
 * @param passed number of runs of the step that have passed their trial or succeeded
 */
export function maximumTrialEndpoints(passed: number): number {
  return 1 + passed;
}
