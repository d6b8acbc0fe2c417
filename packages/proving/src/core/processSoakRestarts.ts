import type {
  ProcessSoakFault,
  ProcessSoakJob,
  RestartGroup,
  RestartTarget,
} from '../types/processSoak.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { createJobId } from './schedulerCell.js';

/** Keeps the random numbers of the restarts apart from those of the other faults with the same seed. */
const SEED_OFFSET = 1_000_003;
/** Time for the first tasks to start, in milliseconds. */
const EARLIEST_MILLISECONDS = 5_000;
const OWNER_KILL_FRACTION = 0.3;
const LATE_FRACTIONS = [0.2, 0.5, 0.8];
const TARGETS: readonly RestartTarget[] = ['one', 'several', 'several', 'rack'];

type Steps = ProcessSoakJob['steps'];

function createStep(random: Random, count: number): Steps[number] {
  const processors = random.pick([1, 2, 4]);
  return { count, resources: { processors, memoryBytes: 10, accelerators: 0 } };
}

/** Shapes of jobs with long, lasting and short tasks, each drawn with the same probability. */
const SHAPES: readonly ((random: Random) => Steps)[] = [
  (random) => [
    {
      ...createStep(random, random.integer(4, 16)),
      estimatedMilliseconds: random.integer(8_000, 20_000),
    },
  ],
  (random) => [
    {
      ...createStep(random, random.integer(1, 4)),
      estimatedMilliseconds: random.integer(8_000, 20_000),
    },
    { ...createStep(random, 1), estimatedMilliseconds: random.integer(50, 500), after: [0] },
  ],
  (random) => [{ ...createStep(random, random.integer(1, 3)), isLongRunning: true }],
  (random) => [
    {
      ...createStep(random, random.integer(4, 16)),
      estimatedMilliseconds: random.integer(50, 1_500),
    },
  ],
];

/** Plans jobs whose tasks mostly outlast the leases of endpoints that are cut off. */
export function planLongJobs(
  random: Random,
  durationMilliseconds: number,
): Pick<ProcessSoakJob, 'jobId' | 'submittedAt' | 'steps'>[] {
  const jobs: Pick<ProcessSoakJob, 'jobId' | 'submittedAt' | 'steps'>[] = [];
  let submittedAt = 0;
  while (submittedAt < durationMilliseconds) {
    const steps = random.pick(SHAPES)(random);
    jobs.push({ jobId: createJobId(jobs.length + 1), submittedAt, steps });
    submittedAt += random.integer(200, 800);
  }
  return jobs;
}

/** Plans restarts of a group in quick succession. @returns the faults, and when the last one ends */
function planSeries(random: Random, start: number): { faults: ProcessSoakFault[]; end: number } {
  const group: RestartGroup = { pick: random.fraction(), target: random.pick(TARGETS) };
  const rounds = random.integer(1, 4);
  const faults: ProcessSoakFault[] = [];
  let end = start;
  for (let round = 0; round < rounds; round += 1) {
    const at = end + random.integer(500, 3_500);
    const firstCutMilliseconds = random.integer(300, 2_500);
    const gapMilliseconds = random.integer(100, 2_000);
    const milliseconds = random.integer(5_000, 13_000);
    const secondCutAt = at + firstCutMilliseconds + gapMilliseconds;
    faults.push(
      {
        ...group,
        kind: 'late',
        at: end,
        fraction: random.pick(LATE_FRACTIONS),
        seed: random.integer(1, 1_000_000),
        milliseconds: random.integer(at - end, secondCutAt - end),
      },
      {
        ...group,
        kind: 'restart',
        at,
        isUnlisted: random.chance(0.5),
        downMilliseconds: random.integer(10, Math.floor(firstCutMilliseconds / 2)),
        firstCutMilliseconds,
        gapMilliseconds,
        milliseconds,
      },
    );
    if (random.chance(OWNER_KILL_FRACTION)) {
      faults.push({
        kind: 'process',
        at: random.integer(at, secondCutAt + 1_000),
        pick: random.fraction(),
        signal: 'SIGKILL',
        target: 'owner',
        milliseconds: random.integer(500, 5_000),
      });
    }
    end = secondCutAt + milliseconds + random.integer(200, 3_000);
  }
  return { faults, end };
}

/**
 * Plans restarts of endpoints under their ids behind cuts, and late orders, in several series at a time.
 *
 * @param series number of series at a time
 */
export function planRestarts(
  seed: number,
  durationMilliseconds: number,
  series: number,
): ProcessSoakFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: ProcessSoakFault[] = [];
  for (let index = 0; index < series; index += 1) {
    let at = random.integer(EARLIEST_MILLISECONDS, 2 * EARLIEST_MILLISECONDS);
    while (at < durationMilliseconds) {
      const planned = planSeries(random, at);
      faults.push(...planned.faults.filter((fault) => fault.at < durationMilliseconds));
      at = planned.end;
    }
  }
  return faults;
}
