import type {
  AdviceFault,
  LinkCut,
  ProcessSoakFault,
  ProcessSoakJob,
  ProcessSoakPlan,
  ProcessSoakProfile,
  SoakQueue,
} from '../types/processSoak.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { planCrashSoakJobs } from './crashSoakJobs.js';
import { planLongJobs, planRestarts } from './processSoakRestarts.js';
import { createJobId } from './schedulerCell.js';

const DEADLY_FRACTION = 0.06;
const CANCELLED_FRACTION = 0.15;
/** Most long-running jobs are cancelled, so that the endpoints do not fill up. */
const CANCELLED_LONG_RUNNING_FRACTION = 0.7;
const LINK_CUTS: readonly LinkCut[] = ['silent', 'reset', 'silent-to-endpoint', 'silent-to-caller'];

const SLOW_QUEUE_FRACTION = 0.2;
/**
 * Shortest and longest time between short jobs, in milliseconds. When three of six VMs give no advice, calls for these
 * jobs keep the others busy for less than half of the time, so that advice is never short.
 */
const SHORT_JOB_GAPS: Record<SoakQueue, readonly [number, number]> = {
  quick: [20, 60],
  slow: [1_500, 2_500],
};
const OUTAGE_FRACTION = 0.1;
/** Number of series of restarts at a time. */
const RESTART_SERIES: Record<ProcessSoakProfile, number> = {
  all: 0,
  advice: 0,
  restarts: 3,
  configuration: 0,
};

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

type FaultPlanner = (random: Random, times: FaultTimes) => ProcessSoakFault;

function planAdviceServiceFault(random: Random): Omit<AdviceFault & { kind: 'advice' }, 'count'> {
  return {
    kind: 'advice',
    fault: random.pick(['silent', 'silent', 'slow', 'busy', 'unavailable']),
    delayMilliseconds: random.integer(100, 900),
  };
}

function planVmPause(random: Random, times: FaultTimes): ProcessSoakFault {
  return {
    ...times,
    kind: 'vm-pause',
    count: random.integer(1, 3),
    milliseconds: random.integer(5_000, 30_000),
  };
}

/** Kinds of faults of the ways to advice, each drawn with the same probability. */
const ADVICE_PLANNERS: readonly FaultPlanner[] = [
  planVmPause,
  planVmPause,
  (random, times) =>
    random.chance(OUTAGE_FRACTION)
      ? {
          ...times,
          ...planAdviceServiceFault(random),
          count: null,
          milliseconds: random.integer(500, 4_000),
        }
      : {
          ...times,
          ...planAdviceServiceFault(random),
          count: random.integer(1, 3),
          milliseconds: random.integer(2_000, 20_000),
        },
  (random, times) => ({
    ...times,
    kind: 'advice-link',
    link: random.pick(LINK_CUTS),
    count: random.integer(1, 3),
    milliseconds: random.integer(2_000, 20_000),
  }),
  (random, times) => ({
    ...times,
    kind: 'peer-link',
    connections: random.pick(['open', 'all']),
    count: random.integer(1, 3),
    milliseconds: random.integer(2_000, 15_000),
  }),
];

/** Kinds of other faults, each drawn with the same probability. */
const PLANNERS: readonly FaultPlanner[] = [
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

function planMixedJobs(random: Random, durationMilliseconds: number): ProcessSoakJob[] {
  return planCrashSoakJobs(random, 0, durationMilliseconds, DEADLY_FRACTION).map((job) => ({
    ...job,
    queue: random.chance(SLOW_QUEUE_FRACTION) ? 'slow' : 'quick',
    cancelAfterMilliseconds: planCancellation(random, job),
  }));
}

/** Plans short jobs, so many that several calls for advice are in flight at a time. */
function planShortJobs(random: Random, durationMilliseconds: number): ProcessSoakJob[] {
  const arrivals: Pick<ProcessSoakJob, 'queue' | 'submittedAt'>[] = [];
  for (const queue of ['quick', 'slow'] as const) {
    const [shortest, longest] = SHORT_JOB_GAPS[queue];
    let submittedAt = random.integer(0, longest);
    while (submittedAt < durationMilliseconds) {
      arrivals.push({ queue, submittedAt });
      submittedAt += random.integer(shortest, longest);
    }
  }
  arrivals.sort((left, right) => left.submittedAt - right.submittedAt);
  return arrivals.map((arrival, position) => ({
    ...arrival,
    jobId: createJobId(position + 1),
    steps: Array.from({ length: random.integer(1, 2) }, (_, index) => ({
      count: random.integer(1, 3),
      resources: { processors: 0.5, memoryBytes: 10, accelerators: 0 },
      estimatedMilliseconds: random.integer(50, 300),
      after: index === 0 ? [] : [index - 1],
    })),
    deadly: null,
    cancelAfterMilliseconds: null,
  }));
}

function planRestartJobs(random: Random, durationMilliseconds: number): ProcessSoakJob[] {
  return planLongJobs(random, durationMilliseconds).map((job) => ({
    ...job,
    queue: 'quick',
    deadly: null,
    cancelAfterMilliseconds: planCancellation(random, job),
  }));
}

const JOB_PLANNERS = {
  all: planMixedJobs,
  advice: planShortJobs,
  restarts: planRestartJobs,
  configuration: planShortJobs,
};

function planOwnerLoss(random: Random, times: FaultTimes): ProcessSoakFault {
  const milliseconds = random.integer(500, 6_000);
  return random.chance(0.3)
    ? { ...times, kind: 'store-link', link: random.pick(LINK_CUTS), target: 'owner', milliseconds }
    : {
        ...times,
        kind: 'process',
        signal: random.pick(['SIGKILL', 'SIGKILL', 'SIGSTOP']),
        target: 'owner',
        milliseconds,
      };
}

/**
 * Plans a series of faults and changes that overlap: the store is slow, so that owners are lost between a write and its
 * answer, owners are lost one after another, and the configuration changes meanwhile.
 */
function planConfigurationSeries(random: Random, at: number): ProcessSoakFault[] {
  const timesAt = (offset: number): FaultTimes => ({ at: at + offset, pick: random.fraction() });
  const lostAt = random.integer(1_000, 2_000);
  const faults = [planOwnerLoss(random, timesAt(lostAt))];
  if (random.chance(0.6)) {
    faults.push({ ...timesAt(0), kind: 'store', fault: 'slow', milliseconds: 3_000 });
  }
  if (random.chance(0.5)) {
    faults.push(planOwnerLoss(random, timesAt(lostAt + random.integer(1_500, 4_000))));
  }
  for (let count = random.integer(3, 6); count > 0; count -= 1) {
    const change = random.pick(['key', 'key', 'queue'] as const);
    const offset = lostAt + random.integer(-200, 1_500);
    faults.push({ ...timesAt(offset), kind: 'configuration', change, milliseconds: 0 });
  }
  return faults;
}

function planConfigurationFaults(seed: number, durationMilliseconds: number): ProcessSoakFault[] {
  const random = createRandom(seed);
  const faults: ProcessSoakFault[] = [];
  for (let at = 1_000; at < durationMilliseconds; at += random.integer(4_000, 8_000)) {
    faults.push(...planConfigurationSeries(random, at));
  }
  return faults.sort((left, right) => left.at - right.at);
}

/** Kinds of faults of each profile, beside restarts and changes of the configuration, which come in series. */
const FAULT_PLANNERS: Record<ProcessSoakProfile, readonly FaultPlanner[]> = {
  all: [...PLANNERS, ...ADVICE_PLANNERS],
  advice: ADVICE_PLANNERS,
  restarts: [],
  configuration: [],
};

/**
 * Plans load and faults.
 *
 * @param seed decides everything
 * @param durationMilliseconds time during which jobs are submitted and faults start, in milliseconds
 */
export function planProcessSoak(
  seed: number,
  durationMilliseconds: number,
  profile: ProcessSoakProfile = 'all',
): ProcessSoakPlan {
  const random = createRandom(seed);
  const jobs = JOB_PLANNERS[profile](random, durationMilliseconds);
  const planners = FAULT_PLANNERS[profile];
  const faults: ProcessSoakFault[] = [];
  let at = random.integer(1_000, 3_000);
  while (at < durationMilliseconds && planners.length > 0) {
    faults.push(random.pick(planners)(random, { at, pick: random.fraction() }));
    at += random.integer(500, 5_000);
  }
  const keepsIds = random.chance(0.5);
  const restarts = planRestarts(seed, durationMilliseconds, RESTART_SERIES[profile]);
  const changes =
    profile === 'configuration' ? planConfigurationFaults(seed, durationMilliseconds) : [];
  return { jobs, faults: [...faults, ...restarts, ...changes], keepsIds };
}
