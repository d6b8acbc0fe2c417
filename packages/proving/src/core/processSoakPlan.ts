import type {
  LinkCut,
  ProcessSoakFault,
  ProcessSoakJob,
  ProcessSoakPlan,
} from '../types/processSoak.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { planCrashSoakJobs } from './crashSoakJobs.js';

const DEADLY_FRACTION = 0.06;
const CANCELLED_FRACTION = 0.15;
/** Most long-running jobs are cancelled, so that the endpoints do not fill up. */
const CANCELLED_LONG_RUNNING_FRACTION = 0.7;
const LINK_CUTS: readonly LinkCut[] = ['silent', 'reset', 'silent-to-endpoint', 'silent-to-caller'];

type FaultTimes = Pick<ProcessSoakFault, 'at' | 'pick'>;

function planCancellation(random: Random, { steps }: Pick<ProcessSoakJob, 'steps'>): number | null {
  if (steps.some(({ isLongRunning }) => isLongRunning)) {
    return random.chance(CANCELLED_LONG_RUNNING_FRACTION) ? random.integer(20_000, 90_000) : null;
  }
  return random.chance(CANCELLED_FRACTION) ? random.integer(50, 5_000) : null;
}

function planCut(random: Random, times: FaultTimes): ProcessSoakFault {
  return {
    ...times,
    kind: 'cut',
    link: random.pick(LINK_CUTS),
    isUnlisted: random.chance(0.5),
    afterStartMilliseconds: random.integer(10, 600),
    milliseconds: random.integer(5_000, 60_000),
    cuts: random.chance(0.5) ? random.integer(3, 6) : 1,
  };
}

function planProcessFault(random: Random, times: FaultTimes): ProcessSoakFault {
  return {
    ...times,
    kind: 'process',
    signal: random.pick(['SIGKILL', 'SIGSTOP', 'SIGTERM']),
    target: random.pick(['owner', 'any']),
    milliseconds: random.integer(500, 12_000),
  };
}

/** Kinds of faults, each drawn with the same probability. */
const PLANNERS: readonly ((random: Random, times: FaultTimes) => ProcessSoakFault)[] = [
  planCut,
  planCut,
  planCut,
  planProcessFault,
  planProcessFault,
  (random, times) => ({ ...times, kind: 'pause', milliseconds: random.integer(3_000, 40_000) }),
  (random, times) => ({
    ...times,
    kind: 'delay',
    delayMilliseconds: random.integer(50, 1_500),
    milliseconds: random.integer(5_000, 30_000),
  }),
  (random, times) => ({
    ...times,
    kind: 'crash',
    keepsId: random.chance(0.5),
    milliseconds: random.integer(1_000, 8_000),
  }),
  (random, times) => ({
    ...times,
    kind: 'store',
    fault: random.pick(['silent', 'slow', 'answers-lost']),
    milliseconds: random.integer(1_000, 8_000),
  }),
];

/**
 * Plans load and faults.
 *
 * @param seed decides everything
 * @param durationMilliseconds time during which jobs are submitted and faults start, in milliseconds
 */
export function planProcessSoak(seed: number, durationMilliseconds: number): ProcessSoakPlan {
  const random = createRandom(seed);
  const jobs = planCrashSoakJobs(random, 0, durationMilliseconds, DEADLY_FRACTION).map((job) => ({
    ...job,
    cancelAfterMilliseconds: planCancellation(random, job),
  }));
  const faults: ProcessSoakFault[] = [];
  let at = random.integer(1_000, 3_000);
  while (at < durationMilliseconds) {
    faults.push(random.pick(PLANNERS)(random, { at, pick: random.fraction() }));
    at += random.integer(500, 5_000);
  }
  return { jobs, faults, keepsIds: random.chance(0.5) };
}
