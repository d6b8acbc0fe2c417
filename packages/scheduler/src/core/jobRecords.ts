import { judgeCrashes, trialMillisecondsFor } from '@chicorybend/decisions';
import type { LossCertainty, LossRole } from '@chicorybend/decisions';

import type { JobSpecification, StepSpecification } from '../types/job.js';
import type { EndpointState } from './endpointTable.js';
import type {
  AdmissionSettings,
  JobPhase,
  JobRecord,
  OccurrenceRecord,
  StepRecord,
  TaskLoss,
  TaskPhase,
  TaskRecord,
} from '../types/jobRecord.js';

/** How long a task waits for room on other endpoints than the one that it failed on. */
const AVOIDANCE_MILLISECONDS = 2_000;
/** Stands for a failed run that an earlier build has counted; runs are numbered from 1. */
const UNKNOWN_RUN = 0;

/** Value of a specification key. */
export interface AcceptedJob {
  readonly jobId: string;
  readonly queue: string;
  readonly team: string;
  readonly acceptedAt: number;
  readonly admission: AdmissionSettings;
  readonly specification: JobSpecification;
}

/** A stored step; earlier builds read the label that it requires under this name. */
type StoredStep = Omit<StepSpecification, 'requiredLabel'> & { readonly requiredHardware: string };

/** A stored job; those written by earlier builds have no admission settings. */
type StoredJob = Omit<AcceptedJob, 'admission' | 'specification'> &
  Partial<Pick<AcceptedJob, 'admission'>> & {
    readonly specification: Omit<JobSpecification, 'steps'> & {
      readonly steps: readonly StoredStep[];
    };
  };

function encodeStep({ requiredLabel, ...step }: StepSpecification): StoredStep {
  return { ...step, requiredHardware: requiredLabel };
}

function decodeStep({ requiredHardware, ...step }: StoredStep): StepSpecification {
  return { ...step, requiredLabel: requiredHardware };
}

/** Creates the record of a job without occurrences. */
export function createJobRecord(accepted: AcceptedJob): JobRecord {
  return {
    ...accepted,
    phase: 'open',
    durablePhase: 'open',
    endedAt: 0,
    hasStarted: false,
    occurrenceCount: 0,
    occurrences: new Map(),
  };
}

function createTask(step: StepRecord, index: number): TaskRecord {
  return {
    taskId: `${step.stepId}.${index}`,
    step,
    index,
    phase: 'pending',
    run: 0,
    failedRuns: [],
    endpointId: null,
    endpointBornAt: 0,
    endpointAddress: '',
    endpointRack: '',
    endpointLeasesWidenedUntil: null,
    isIncarnationKnown: false,
    startSentAt: null,
    startOutstandingUntil: null,
    isStartByFormerOwner: false,
    outstandingStart: null,
    checkpoint: '',
    placedAt: 0,
    formerlyRecordedAt: null,
    startedAt: 0,
    isStartTimeKnown: false,
    progressReports: [],
    avoidedEndpointId: null,
    avoidedUntil: 0,
    absenceConclusiveAfter: Infinity,
    notBefore: 0,
    losses: [],
    trialMilliseconds: 0,
  };
}

/** @returns id of the job of a task */
export function jobIdOf(taskId: string): string {
  return taskId.slice(0, taskId.indexOf('.'));
}

/** @returns task of an incomplete occurrence by its id; undefined if there is none */
export function findTask(
  jobs: ReadonlyMap<string, JobRecord>,
  taskId: string,
): TaskRecord | undefined {
  const [jobId = '', occurrence, step, index] = taskId.split('.');
  const steps = jobs.get(jobId)?.occurrences.get(Number(occurrence))?.steps;
  return steps?.[Number(step)]?.tasks[Number(index)];
}

function stepIdOf(jobId: string, occurrence: number, step: number): string {
  return `${jobId}.${occurrence}.${step}`;
}

/** Adds an occurrence with pending tasks to a job. */
export function addOccurrence(job: JobRecord, index: number): OccurrenceRecord {
  const occurrence: OccurrenceRecord = { index, steps: [], doneSteps: 0 };
  job.specification.steps.forEach((specification, stepIndex) => {
    const step: StepRecord = {
      stepId: stepIdOf(job.jobId, index, stepIndex),
      job,
      occurrence: index,
      index: stepIndex,
      specification,
      tasks: [],
      doneCount: 0,
      gangFailures: 0,
      lastFailedGangRun: 0,
      brokenRun: 0,
      isReleased: false,
      hasLosses: false,
    };
    for (let task = 0; task < specification.count; task += 1) {
      step.tasks.push(createTask(step, task));
    }
    occurrence.steps.push(step);
  });
  job.occurrences.set(index, occurrence);
  job.occurrenceCount = Math.max(job.occurrenceCount, index + 1);
  return occurrence;
}

/** @returns total number of occurrences of a job */
export function countOccurrences(job: JobRecord): number {
  return job.specification.schedule?.repetitions ?? 1;
}

/** @returns due time of an occurrence, in milliseconds since the Unix epoch; 0 if it is due at once */
export function dueTime(job: JobRecord, index: number): number {
  const { schedule } = job.specification;
  return schedule ? schedule.startAt + index * schedule.intervalMilliseconds : 0;
}

/** @returns whether any task of an occurrence has been placed */
export function hasBegun({ steps }: OccurrenceRecord): boolean {
  return steps.some(({ tasks }) => tasks.some(({ run }) => run > 0));
}

/** @returns whether all steps that a step depends on are complete */
export function areDependenciesDone(occurrence: OccurrenceRecord, step: StepRecord): boolean {
  return step.specification.after.every((index) => {
    const earlier = occurrence.steps[index];
    return earlier !== undefined && earlier.doneCount === earlier.specification.count;
  });
}

/** Makes the next run avoid the current endpoint, unless no other endpoint has room for some time. */
export function avoidEndpoint(task: TaskRecord, now: number): void {
  task.avoidedEndpointId = task.endpointId;
  task.avoidedUntil = now + AVOIDANCE_MILLISECONDS;
}

/** @returns whether a run of the task may exist on an endpoint */
export function hasActiveRun(task: TaskRecord): boolean {
  return task.phase === 'placed' || task.phase === 'running' || task.phase === 'stopping';
}

/** @returns whether the current run may be in a later incarnation of its endpoint than the recorded one */
export function mayBeInLaterIncarnation(task: TaskRecord): boolean {
  return hasActiveRun(task) && task.startSentAt !== null && !task.isIncarnationKnown;
}

/** Records a run of a task on an endpoint, right before it is charged there. */
export function assignRun(
  task: TaskRecord,
  run: number,
  { entry, bornAt, widenedLeasesExpireAt }: EndpointState,
  now: number,
): void {
  const { endpointId, address: endpointAddress, rack: endpointRack } = entry;
  Object.assign(task, { run, endpointId, endpointAddress, endpointRack });
  task.phase = 'placed';
  task.placedAt = now;
  task.endpointBornAt = bornAt;
  task.endpointLeasesWidenedUntil = widenedLeasesExpireAt;
  task.isIncarnationKnown = false;
  task.startSentAt = null;
  task.startOutstandingUntil = null;
  task.isStartByFormerOwner = false;
  task.absenceConclusiveAfter = Infinity;
}

/** Calls a function for each task of the incomplete occurrences of a job. */
export function forEachTask(job: JobRecord, apply: (task: TaskRecord) => void): void {
  job.occurrences.forEach(({ steps }) => steps.forEach(({ tasks }) => tasks.forEach(apply)));
}

/**
 * Stored loss: run, role, age of the run in milliseconds, certainty, time since the acceptance of the job, index into
 * `endpoints`, epoch of the term, highest age of the run or null if that is not known. Earlier builds do not write the
 * last three.
 */
type StoredLoss = [
  run: number,
  role: LossRole,
  age: number,
  certainty: LossCertainty,
  after: number,
  endpoint?: number,
  epoch?: number,
  maximumAge?: number | null,
];

/**
 * Stored start that may still be executed: index into `endpoints`, until when since the acceptance of the job, in
 * milliseconds.
 */
type StoredStart = [endpoint: number, until: number];

/**
 * Stored task: step index, task index, phase, run, number of failed runs, index into `endpoints` (-1 for none),
 * checkpoint, time of the placement since the acceptance of the job in milliseconds, losses, outstanding start (null if
 * there is none and failed runs follow), failed runs. Earlier builds do not write the last four.
 */
type StoredTask = [
  step: number,
  index: number,
  phase: TaskPhase,
  run: number,
  failures: number,
  endpoint: number,
  checkpoint: string,
  placedAt?: number,
  losses?: StoredLoss[],
  outstandingStart?: StoredStart | null,
  failedRuns?: number[],
];

function encodeLoss(job: JobRecord, loss: TaskLoss, endpoint: number): StoredLoss {
  const { run, role, certainty, epoch } = loss;
  const age = Math.round(loss.ageMilliseconds);
  const { maximumAgeMilliseconds } = loss;
  const maximumAge =
    maximumAgeMilliseconds === Infinity ? null : Math.round(maximumAgeMilliseconds);
  const after = Math.round(loss.at - job.acceptedAt);
  return [run, role, age, certainty, after, endpoint, epoch, maximumAge];
}

function decodeLoss(
  job: JobRecord,
  endpoints: readonly StoredEndpoint[],
  [run, role, age, certainty, after, endpoint = -1, epoch = 0, maximumAge]: StoredLoss,
): TaskLoss {
  const [endpointId, bornAt, address = ''] = endpoints[endpoint] ?? ['', 0];
  return {
    run,
    role,
    ageMilliseconds: age,
    maximumAgeMilliseconds: maximumAge ?? Infinity,
    certainty,
    at: job.acceptedAt + after,
    endpointId,
    bornAt,
    address,
    epoch,
  };
}

/** @returns whether an endpoint may have been lost because of the task */
export function isSuspect({ losses }: TaskRecord): boolean {
  return losses.length > 0 && judgeCrashes(losses) === 'suspect';
}

/** @returns duration of the trial of a run, in milliseconds; for a gang, of the longest of its members */
export function trialMillisecondsOf(task: TaskRecord): number {
  const { tasks, specification } = task.step;
  const members = specification.isGang ? tasks : [task];
  return Math.max(...members.map(({ losses }) => trialMillisecondsFor(losses)));
}

/**
 * Stored incarnation of an endpoint: id, `bornAt`, address, rack, which is empty if no task has a run there, and when
 * its widened leases have expired, since the acceptance of the job in milliseconds: 0 if they had when the state was
 * written, null if that was not known. Earlier builds do not write the last three.
 */
type StoredEndpoint = [
  id: string,
  bornAt: number,
  address?: string,
  rack?: string,
  leasesWidenedUntil?: number | null,
];

interface StoredState {
  /** Acceptance of the job that the state belongs to; earlier builds do not store it. */
  acceptedAt?: number;
  /** Time since the acceptance of the job, in milliseconds; earlier builds do not store it. */
  writtenAfter?: number;
  phase: JobPhase;
  endedAt: number;
  hasStarted: boolean;
  occurrenceCount: number;
  /** Endpoints of the tasks and of their losses. */
  endpoints: StoredEndpoint[];
  /**
   * Incomplete occurrences: index, gang failures by step, tasks that have been placed at least once, last failed run
   * of the gang by step; earlier builds do not store the last.
   */
  occurrences: [number, number[], StoredTask[], number[]?][];
}

/** Encodes the value of the specification key. */
export function encodeAccepted(job: JobRecord): string {
  const { jobId, queue, team, acceptedAt, admission, specification } = job;
  return JSON.stringify({
    jobId,
    queue,
    team,
    acceptedAt,
    admission,
    specification: { ...specification, steps: specification.steps.map(encodeStep) },
  } satisfies StoredJob);
}

/**
 * Encodes the value of the state key.
 *
 * @param clockDifference wall-clock time minus monotonic time, in milliseconds
 * @param now monotonic time in milliseconds
 */
export function encodeState(job: JobRecord, clockDifference: number, now: number): string {
  const endpoints: StoredEndpoint[] = [];
  const indexOf = new Map<string, number>();

  function endpointIndex(endpointId: string, bornAt: number, address: string): number {
    const name = `${endpointId}@${bornAt}`;
    const index = indexOf.get(name) ?? endpoints.length;
    indexOf.set(name, index);
    endpoints[index] ??= [endpointId, bornAt, address, '', null];
    return index;
  }

  /** @returns time since the acceptance of the job, rounded up, in milliseconds */
  function sinceAcceptance(monotonicMilliseconds: number): number {
    return Math.ceil(monotonicMilliseconds + clockDifference - job.acceptedAt);
  }

  function encodeWidenedUntil(expiresAt: number | null): number | null {
    if (expiresAt === null) return null;
    return expiresAt <= now ? 0 : sinceAcceptance(expiresAt);
  }

  function encodeOutstandingStart({ outstandingStart }: TaskRecord): StoredStart | null {
    if (!outstandingStart) return null;
    const { endpointId, until } = outstandingStart;
    return [endpointIndex(endpointId, 0, ''), sinceAcceptance(until)];
  }

  /** Most tasks have neither part, so that both are left out where they are empty. */
  function encodeOptionalParts(task: TaskRecord): [(StoredStart | null)?, number[]?] {
    const start = encodeOutstandingStart(task);
    if (task.failedRuns.length > 0) return [start, task.failedRuns];
    return start ? [start] : [];
  }

  function currentEndpointIndex(task: TaskRecord): number {
    if (task.endpointId === null || !hasActiveRun(task)) return -1;
    const { endpointId, endpointBornAt, endpointAddress, endpointRack } = task;
    const index = endpointIndex(endpointId, endpointBornAt, endpointAddress);
    const widenedUntil = encodeWidenedUntil(task.endpointLeasesWidenedUntil);
    endpoints[index] = [endpointId, endpointBornAt, endpointAddress, endpointRack, widenedUntil];
    return index;
  }

  const isOpen = job.phase === 'open' || [...job.occurrences.values()].some(hasActiveRuns);
  const occurrences = !isOpen
    ? []
    : [...job.occurrences.values()].map(({ index, steps }): StoredState['occurrences'][number] => [
        index,
        steps.map(({ gangFailures }) => gangFailures),
        steps.flatMap((step) =>
          step.tasks
            .filter((task) => task.phase !== 'pending' || task.run > 0)
            .map((task): StoredTask => [
              step.index,
              task.index,
              task.phase,
              task.run,
              task.failedRuns.length,
              currentEndpointIndex(task),
              task.phase === 'done' ? '' : task.checkpoint,
              Math.round(task.placedAt + clockDifference - job.acceptedAt),
              task.losses.map((loss) =>
                encodeLoss(job, loss, endpointIndex(loss.endpointId, loss.bornAt, loss.address)),
              ),
              ...encodeOptionalParts(task),
            ]),
        ),
        steps.map(({ lastFailedGangRun }) => lastFailedGangRun),
      ]);
  const { acceptedAt, phase, endedAt, hasStarted, occurrenceCount } = job;
  return JSON.stringify({
    acceptedAt,
    writtenAfter: sinceAcceptance(now),
    phase,
    endedAt,
    hasStarted,
    occurrenceCount,
    endpoints,
    occurrences,
  } satisfies StoredState);
}

function hasActiveRuns({ steps }: OccurrenceRecord): boolean {
  return steps.some(({ tasks }) => tasks.some(hasActiveRun));
}

/**
 * Restores a stored state into a new record. Its runs are `placed` until their endpoints confirm them. No effect if the
 * state belongs to an earlier job of the same id, which was removed.
 *
 * @param clockDifference wall-clock time minus monotonic time, in milliseconds
 * @param now monotonic time in milliseconds
 */
export function applyState(
  job: JobRecord,
  text: string,
  clockDifference: number,
  now: number,
): void {
  const stored = JSON.parse(text) as StoredState;

  function toMonotonic(sinceAcceptance: number | null | undefined): number | null {
    return typeof sinceAcceptance === 'number'
      ? job.acceptedAt + sinceAcceptance - clockDifference
      : null;
  }

  if (stored.acceptedAt !== undefined && stored.acceptedAt !== job.acceptedAt) return;
  job.phase = stored.phase;
  job.durablePhase = stored.phase;
  job.endedAt = stored.endedAt;
  job.hasStarted = stored.hasStarted;
  job.occurrenceCount = stored.occurrenceCount;
  stored.occurrences.forEach(([index, gangFailures, tasks, lastFailedGangRuns]) => {
    const occurrence = addOccurrence(job, index);
    tasks.forEach((storedTask) => {
      const [stepIndex, taskIndex, phase, run, failures, endpoint, checkpoint, after, losses] =
        storedTask;
      const [startEndpoint = -1, startUntil] = storedTask[9] ?? [];
      const failedRuns = storedTask[10] ?? Array.from({ length: failures }, () => UNKNOWN_RUN);
      const task = occurrence.steps[stepIndex]?.tasks[taskIndex];
      if (!task) return;
      Object.assign(task, { run, failedRuns, checkpoint });
      // The clock of the former owner may have been ahead.
      task.placedAt = Math.min(now, job.acceptedAt + (after ?? 0) - clockDifference);
      task.losses = (losses ?? []).map((loss) => decodeLoss(job, stored.endpoints, loss));
      task.step.hasLosses ||= task.losses.length > 0;
      // A run that was being stopped is `placed` too: once its endpoint confirms it, it is stopped again if needed.
      task.isIncarnationKnown = phase === 'running' || phase === 'stopping';
      task.startSentAt = task.placedAt;
      task.isStartByFormerOwner = true;
      task.phase = task.isIncarnationKnown ? 'placed' : phase;
      task.formerlyRecordedAt = toMonotonic(stored.writtenAfter);
      const [startEndpointId] = stored.endpoints[startEndpoint] ?? [];
      const until = toMonotonic(startUntil);
      if (startEndpointId !== undefined && until !== null) {
        const flags = { isByFormerOwner: true, isExecuting: false };
        const outstanding = { endpointId: startEndpointId, recordedAt: now, until };
        task.outstandingStart = { ...outstanding, ...flags };
      }
      const storedEndpoint = stored.endpoints[endpoint];
      if (!storedEndpoint) return;
      const [endpointId, endpointBornAt, endpointAddress = '', endpointRack = ''] = storedEndpoint;
      Object.assign(task, { endpointId, endpointBornAt, endpointAddress, endpointRack });
      task.endpointLeasesWidenedUntil = toMonotonic(storedEndpoint[4]);
    });
    occurrence.steps.forEach((step) => {
      const isGangSuspect = step.specification.isGang && step.tasks.some(isSuspect);
      step.tasks.forEach((task) => {
        if (isGangSuspect || isSuspect(task)) task.trialMilliseconds = trialMillisecondsOf(task);
      });
      step.gangFailures = gangFailures[step.index] ?? 0;
      step.lastFailedGangRun = lastFailedGangRuns?.[step.index] ?? 0;
      step.doneCount = step.tasks.filter(({ phase }) => phase === 'done').length;
    });
    occurrence.doneSteps = occurrence.steps.filter(
      ({ doneCount, specification }) => doneCount === specification.count,
    ).length;
  });
  job.occurrenceCount = Math.max(job.occurrenceCount, stored.occurrenceCount);
}

/** @returns whether a stored state has incomplete occurrences; without any, nothing of the job runs or waits */
export function hasOccurrences(text: string): boolean {
  // The text can't be a part of another value, because quotation marks within strings are escaped.
  return !text.includes('"occurrences":[]');
}

/** Parses the value of a specification key. */
export function parseAccepted(text: string): AcceptedJob {
  const stored = JSON.parse(text) as StoredJob;
  const { specification } = stored;
  return {
    admission: { queue: null, teamLimit: null },
    ...stored,
    specification: { ...specification, steps: specification.steps.map(decodeStep) },
  };
}
