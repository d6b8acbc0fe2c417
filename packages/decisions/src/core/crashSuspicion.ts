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
/** Deviation of the age at the loss of a run that was certainly executing, in milliseconds. */
const EXECUTING_AGE_TOLERANCE_MILLISECONDS = 150;
/** The same for a run that may have ended, at an endpoint whose loss was noticed by the timeout of a call. */
const CRASHED_AGE_TOLERANCE_MILLISECONDS = 750;
/** The same for a run whose endpoint has not answered since its start, or since a change of the owner. */
const UNCONFIRMED_AGE_TOLERANCE_MILLISECONDS = 2_000;
/** A task is given up after this many crashes at a similar age, even if each of them may have another cause. */
const MAXIMUM_CRASHES = 4;
/** The same if fewer of them have a known age or a run on trial, or none a known age: an unknown one tells little. */
const MAXIMUM_UNCONFIRMED_CRASHES = 5;
const MINIMUM_INFORMATIVE_CRASHES = 2;
/** Number of further losses that are needed if the last endpoint had other losses. */
const FURTHER_LOSSES_ON_UNRELIABLE_ENDPOINTS = 1;
/** Minimum number of crashes of endpoints that were certainly executing a run of the task. */
const MINIMUM_PROVEN_CRASHES = 2;
/** Number of crashes on trial that suffice without such crashes. */
const MINIMUM_CRASHES_ON_TRIAL = 3;
/** Number of crashes that suffice if the task was on trial at all but the first, and certainly executing at one. */
const MINIMUM_CRASHES_WITH_TRIALS = 3;

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

/**
 * What is certain about the loss of an endpoint:
 *
 * - `executing`: it crashed while it was executing the run
 * - `crashed`: it crashed; the run may have ended before
 * - `unconfirmed`: it crashed; the start of the run may not have reached it, and the age of the run is unknown
 * - `disconnected`: its connection ended while it was executing the run; it may be cut off, and has crashed if its
 *   successor answers
 * - `unreachable`: the same, but its connection was refused or ended when the run may have ended
 * - `silent`: it may be cut off, and if it has crashed, the lease of the run may have expired before
 */
export type LossCertainty =
  'executing' | 'crashed' | 'unconfirmed' | 'disconnected' | 'unreachable' | 'silent';

const CRASH_CERTAINTIES: readonly LossCertainty[] = ['executing', 'crashed', 'unconfirmed'];

/** The loss of an endpoint that had a run of a task. */
export interface EndpointLoss {
  /** Sequence number of the run within its task. */
  readonly run: number;
  readonly role: LossRole;
  /** Age of the run at the loss, in milliseconds; the lowest that it can have been if that is not known. */
  readonly ageMilliseconds: number;
  /** Highest age that the run can have had at the loss, in milliseconds. */
  readonly maximumAgeMilliseconds: number;
  readonly certainty: LossCertainty;
  /** Wall-clock time of the loss, in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Whether a task crashes its endpoints. A suspect is run on trial, apart from others. */
export type CrashVerdict = 'unsuspected' | 'suspect' | 'guilty';

/** An endpoint that was lost, or does not answer. */
export interface LostEndpoint {
  readonly endpointId: string;
  /** Empty if it is not known. */
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

/** @returns jobs that had just begun on several of the endpoints and survived on few others */
function findSharedJobs(losses: readonly LostEndpoint[]): Set<string> {
  const lostByJob = new Map<string, number>();
  const totals = new Map<string, number>();
  losses.forEach(({ recentJobs }) =>
    recentJobs.forEach((endpoints, job) => {
      lostByJob.set(job, (lostByJob.get(job) ?? 0) + 1);
      totals.set(job, Math.max(totals.get(job) ?? 0, endpoints));
    }),
  );
  const shared = [...lostByJob].filter(([job, lost]) => lost > 1 && 2 * lost > totals.get(job)!);
  return new Set(shared.map(([job]) => job));
}

/**
 * Decides whether endpoints were lost for a common cause. Explained losses do not count, and neither do
 * those of endpoints on which a job had just begun that was lost with several and survived on few others: its tasks may
 * share a fault.
 *
 * @param lost the lost endpoint
 * @param losses all recent losses, this one included
 */
export function hasCommonCause(lost: LostEndpoint, losses: readonly LostEndpoint[]): boolean {
  const unexplained = losses.filter(
    ({ at, isExplained }) =>
      !isExplained && Math.abs(at - lost.at) <= COMMON_CAUSE_WINDOW_MILLISECONDS,
  );
  const sharedJobs = findSharedJobs(unexplained);
  const others = unexplained.filter(
    ({ endpointId, recentJobs }) =>
      endpointId !== lost.endpointId && ![...recentJobs.keys()].some((job) => sharedJobs.has(job)),
  );
  const othersOfRack = others.filter(({ rack }) => rack !== '' && rack === lost.rack);
  return (
    others.length + 1 >= COMMON_CAUSE_ENDPOINTS ||
    othersOfRack.length + 1 >= COMMON_CAUSE_ENDPOINTS_OF_RACK
  );
}

/** @returns what the loss of its endpoint says about the task of a run */
export function classifyLoss(run: LostRun, circumstances: LossCircumstances): LossRole {
  if (circumstances.isCommon) return 'common';
  if (run.isOnTrial) return circumstances.isUnreliable ? 'unreliable' : 'sole';
  if (circumstances.hasTrial) return 'common';
  return isRecentStart(run.ageMilliseconds) ? 'shared' : 'bystander';
}

function isAlone({ role }: EndpointLoss): boolean {
  return role === 'sole' || role === 'unreliable';
}

function countProven(crashes: readonly EndpointLoss[]): number {
  return crashes.filter(({ certainty }) => certainty === 'executing').length;
}

/** @returns whether the endpoint is certainly over; one that does not answer may be cut off, paused or unread */
function isCrash({ certainty }: EndpointLoss): boolean {
  return CRASH_CERTAINTIES.includes(certainty);
}

function ageTolerance({ certainty }: EndpointLoss): number {
  return certainty === 'executing'
    ? EXECUTING_AGE_TOLERANCE_MILLISECONDS
    : CRASHED_AGE_TOLERANCE_MILLISECONDS;
}

function isAgeKnown({ certainty }: EndpointLoss): boolean {
  return certainty === 'executing' || certainty === 'crashed';
}

/** @returns whether a task that caused the reference crash at its lowest age may also have caused another one */
function isConsistent(loss: EndpointLoss, reference: EndpointLoss): boolean {
  const difference = loss.ageMilliseconds - reference.ageMilliseconds;
  if (!isAgeKnown(loss)) {
    const highestDifference = reference.ageMilliseconds - loss.maximumAgeMilliseconds;
    return (
      difference <= UNCONFIRMED_AGE_TOLERANCE_MILLISECONDS &&
      highestDifference <= ageTolerance(reference)
    );
  }
  if (!isAgeKnown(reference)) return false;
  return Math.abs(difference) <= Math.max(ageTolerance(loss), ageTolerance(reference));
}

/**
 * A task that crashes its endpoints does so at a similar age of each run.
 *
 * @returns most crashes that are consistent with each other
 */
function findConsistentCrashes(crashes: readonly EndpointLoss[]): readonly EndpointLoss[] {
  const groups = crashes.map((reference) =>
    crashes.filter((crash) => isConsistent(crash, reference)),
  );
  return groups.reduce((largest, group) => (group.length > largest.length ? group : largest), []);
}

/**
 * Crashes with a common cause count only if the run was young enough for a trial: they say nothing about a task that
 * ran well for longer.
 *
 * @returns whether a task is given up although each of the crashes may have another cause
 */
function areTooManyCrashes(crashes: readonly EndpointLoss[]): boolean {
  // If the task has caused a crash at an unknown age, that run was as old as the others.
  const knownAge = crashes.find(isAgeKnown)?.ageMilliseconds;
  const counted = crashes.filter((crash) => {
    const age = isAgeKnown(crash) ? crash.ageMilliseconds : (knownAge ?? crash.ageMilliseconds);
    return crash.role !== 'common' || age <= MAXIMUM_TRIAL_MILLISECONDS;
  });
  const informative = counted.filter((crash) => isAgeKnown(crash) || isAlone(crash));
  const isInformed =
    informative.length >= MINIMUM_INFORMATIVE_CRASHES && informative.some(isAgeKnown);
  return counted.length >= (isInformed ? MAXIMUM_CRASHES : MAXIMUM_UNCONFIRMED_CRASHES);
}

/** @returns whether the crashes prove that a task crashes its endpoints, provided that it has caused them */
function isProven(crashes: readonly EndpointLoss[]): boolean {
  if (areTooManyCrashes(crashes)) return true;
  const attributable = crashes.filter(({ role }) => role !== 'common');
  const last = attributable.at(-1);
  if (!last || !isAlone(last)) return false;
  const further = last.role === 'unreliable' ? FURTHER_LOSSES_ON_UNRELIABLE_ENDPOINTS : 0;
  const onTrial = attributable.filter(isAlone).length;
  if (!attributable.some(isAgeKnown)) return false;
  const isRepeatedOnTrial =
    countProven(attributable) > 0 &&
    attributable.length >= MINIMUM_CRASHES_WITH_TRIALS + further &&
    onTrial >= MINIMUM_CRASHES_WITH_TRIALS + further - 1;
  return (
    isRepeatedOnTrial ||
    countProven(attributable) >= MINIMUM_PROVEN_CRASHES + further ||
    onTrial >= MINIMUM_CRASHES_ON_TRIAL + further
  );
}

/**
 * Judges a task by the endpoints that were lost under it. It is guilty if it was alone under suspicion at the last
 * crash, and two endpoints have certainly crashed while they were executing it or three while it was on trial, all at a
 * similar age of its runs. Losses that may be only silence make it a suspect, however many there are.
 */
export function judgeCrashes(losses: readonly EndpointLoss[]): CrashVerdict {
  const crashes = losses.filter(isCrash);
  if (isProven(findConsistentCrashes(crashes))) return 'guilty';
  const attributable = losses.filter(({ role }) => role !== 'common');
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
export function discardOutlivedLosses<Loss extends EndpointLoss>(
  losses: readonly Loss[],
  ageMilliseconds: number,
): readonly Loss[] {
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
