import type { StepSpecification } from '@chicorybend/scheduler';

import type { CrashSoakJob, CrashSoakProfile, DeadlyTasks } from '../types/crashSoak.js';
import type { Random } from '../utils/random.js';
import { createJobId } from './schedulerCell.js';

/** Most tasks that crash their endpoint do so soon after their start. */
const USUAL_CRASH_DELAY_MILLISECONDS = 10;
const MINIMUM_GAP_MILLISECONDS = 300;
const MAXIMUM_GAP_MILLISECONDS = 1_300;

type Step = Partial<StepSpecification>;

/** Shapes of jobs, each drawn with the same probability. */
const SHAPES: readonly ((random: Random) => Step[])[] = [
  (random) => [createStep(random, random.integer(8, 48), 400, 2_000)],
  (random) =>
    Array.from({ length: random.integer(2, 5) }, (_, index) => ({
      ...createStep(random, random.integer(1, 6), 200, 1_000),
      after: index === 0 ? [] : [index - 1],
    })),
  (random) => [{ ...createStep(random, random.integer(2, 10), 500, 3_000), isGang: true }],
  (random) => [
    { ...createStep(random, random.integer(2, 8), 2_000, 7_000), hasCheckpoints: true },
    { ...createStep(random, 1, 200, 600), after: [0] },
  ],
  (random) => [{ ...createStep(random, random.integer(1, 4), 1, 1), isLongRunning: true }],
  (random) => [createStep(random, 1, 200, 4_000)],
];

/** Shapes of jobs whose runs may outlast the leases of endpoints that are cut off. */
const LONG_SHAPES: readonly ((random: Random) => Step[])[] = [
  (random) => [createLongStep(random, random.integer(1, 8))],
  (random) =>
    Array.from({ length: random.integer(2, 4) }, (_, index) => ({
      ...createLongStep(random, random.integer(1, 3)),
      after: index === 0 ? [] : [index - 1],
    })),
  (random) => [{ ...createLongStep(random, random.integer(2, 5)), isGang: true }],
  (random) => [
    { ...createLongStep(random, random.integer(1, 4)), hasCheckpoints: true },
    { ...createStep(random, 1, 450, 1_000), after: [0] },
  ],
  (random) => [{ ...createStep(random, random.integer(1, 4), 1, 1), isLongRunning: true }],
];

function createLongStep(random: Random, count: number): Step {
  const [shortest, longest] = random.pick([
    [450, 2_000],
    [2_000, 8_000],
    [8_000, 15_000],
  ] as const);
  return createStep(random, count, shortest, longest);
}

function createStep(
  random: Random,
  count: number,
  shortestMilliseconds: number,
  longestMilliseconds: number,
): Step {
  const processors = random.pick([0.5, 1, 1, 2, 4]);
  return {
    count,
    resources: { processors, memoryBytes: 10, accelerators: 0 },
    estimatedMilliseconds: random.integer(shortestMilliseconds, longestMilliseconds),
  };
}

/** Picks one task of a step, some of them, or all. */
function pickIndexes(random: Random, count: number): number[] {
  const indexes = Array.from({ length: count }, (_, index) => index);
  if (random.chance(0.5)) return [random.pick(indexes)];
  return random.chance(0.5) ? indexes : indexes.filter((index) => index % 3 === 0);
}

function pickDeadlyTasks(random: Random, steps: readonly Step[]): DeadlyTasks {
  const index = random.integer(0, steps.length - 1);
  const step = steps[index]!;
  const longestDelay = step.isLongRunning ? 3_000 : (step.estimatedMilliseconds ?? 0) / 2;
  const delayMilliseconds = random.chance(0.75)
    ? USUAL_CRASH_DELAY_MILLISECONDS
    : random.integer(1, Math.floor(longestDelay));
  return { step: index, indexes: pickIndexes(random, step.count ?? 1), delayMilliseconds };
}

/**
 * Plans jobs of mixed shape, some of which crash the endpoints that they run on.
 *
 * @param startMilliseconds time of the first submission, in monotonic milliseconds
 * @param endMilliseconds time after which none is submitted
 * @param deadlyFraction fraction of jobs with tasks that crash their endpoint, in [0, 1]
 * @param profile faults that the jobs are for
 */
export function planCrashSoakJobs(
  random: Random,
  startMilliseconds: number,
  endMilliseconds: number,
  deadlyFraction: number,
  profile: CrashSoakProfile = 'random',
): CrashSoakJob[] {
  const jobs: CrashSoakJob[] = [];
  let submittedAt = startMilliseconds;
  while (submittedAt < endMilliseconds) {
    const steps = random.pick(profile === 'restarts' ? LONG_SHAPES : SHAPES)(random);
    jobs.push({
      jobId: createJobId(jobs.length + 1),
      submittedAt,
      steps,
      deadly: random.chance(deadlyFraction) ? pickDeadlyTasks(random, steps) : null,
    });
    submittedAt += random.integer(MINIMUM_GAP_MILLISECONDS, MAXIMUM_GAP_MILLISECONDS);
  }
  return jobs;
}

/** Position of a task in its job. */
export interface TaskPosition {
  readonly jobId: string;
  readonly step: number;
  readonly index: number;
}

/** @param taskId `<job>.<occurrence>.<step>.<index>` */
export function parseTaskId(taskId: string): TaskPosition {
  const [jobId = '', , step, index] = taskId.split('.');
  return { jobId, step: Number(step), index: Number(index) };
}

/** @returns ids of all tasks of a job */
export function taskIdsOf(job: CrashSoakJob): string[] {
  return job.steps.flatMap(({ count = 1 }, step) =>
    Array.from({ length: count }, (_, index) => `${job.jobId}.0.${step}.${index}`),
  );
}

/** @returns whether the runs of a task crash their endpoint */
export function isDeadlyTask(job: CrashSoakJob, { step, index }: TaskPosition): boolean {
  return job.deadly?.step === step && job.deadly.indexes.includes(index);
}
