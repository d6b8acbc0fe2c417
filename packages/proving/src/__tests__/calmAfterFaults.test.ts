import test from 'ava';

import { hashText, sleep } from '@chicorybend/common';
import type {
  AdviceClient,
  CallerAnswer,
  ClusterConfiguration,
  JobSpecification,
  StepSpecification,
} from '@chicorybend/scheduler';

import {
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { CellProcess, SchedulerCell } from '../core/schedulerCell.js';

/** The environment may name others, separated by commas. */
const SEEDS = (process.env.CALM_SEEDS ?? '1,3,4,14,19,27').split(',').map(Number);
const ENDPOINTS = 8;
const FAULTS_MILLISECONDS = 16_000;
/** Without faults, all work that can run has run after this time. */
const CALM_MILLISECONDS = 40_000;
/** Without faults, a cancellation is acknowledged within this time. */
const CANCEL_MILLISECONDS = 4_000;
const MAXIMUM_ATTEMPTS = 2;

/** Payload of jobs whose tasks run until they are stopped. */
const ENDLESS = 'endless';
/** Number of the endpoints that the advice service lets a step run on; the largest gang fits on them. */
const ELIGIBLE_ENDPOINTS = 4;
const ADVICE = { callMilliseconds: 20, endpointMilliseconds: 1, ticketMilliseconds: 2_000 };
const [WORK_QUEUE] = CONFIGURATION.queues;
const QUEUES: ClusterConfiguration['queues'] = [
  WORK_QUEUE!,
  { ...WORK_QUEUE!, name: 'advised', pathPrefix: '/advised/', advice: ADVICE },
  { ...WORK_QUEUE!, name: 'batch', pathPrefix: '/batch/', advice: ADVICE, priority: 2 },
];

/** @returns generator of numbers in [0, 1) */
function createRandom(seed: number): () => number {
  let state = (seed * 2_654_435_761) % 2_147_483_647 || 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

interface SubmittedJob {
  readonly path: string;
  readonly specification: JobSpecification;
  isAccepted: boolean;
  cancel: 'none' | 'wanted' | 'acknowledged';
}

function isEligible(stepId: string, endpointId: string): boolean {
  const index = Number(endpointId.slice('endpoint-'.length));
  return (index + hashText(stepId)) % ENDPOINTS < ELIGIBLE_ENDPOINTS;
}

/** @returns advice service that lets each step run on some of the endpoints */
function createAdvice(cell: SchedulerCell, isLost: () => boolean): AdviceClient {
  return {
    async advise(stepId, endpointIds, timeoutMilliseconds) {
      await sleep(cell.clock, isLost() ? timeoutMilliseconds : ADVICE.callMilliseconds);
      if (isLost()) return { kind: 'failed', reason: 'lost' };
      const tickets = endpointIds
        .filter((endpointId) => isEligible(stepId, endpointId))
        .map((endpointId) => ({ endpointId, ticket: `${stepId}/${endpointId}` }));
      return { kind: 'answered', tickets, validMilliseconds: ADVICE.ticketMilliseconds };
    },
  };
}

/** Cell under random faults, with callers that repeat their calls. */
function createTroubledCell(seed: number) {
  const random = createRandom(seed);
  const integer = (limit: number) => Math.floor(random() * limit);
  const cell: SchedulerCell = createSchedulerCell(
    {
      count: ENDPOINTS,
      durationOf: ({ payload }) => (payload === ENDLESS ? Infinity : 300 + integer(1_500)),
    },
    random,
  );
  const processes: { name: string; entry: CellProcess; isKilled: boolean }[] = [];
  const jobs: SubmittedJob[] = [];
  const crashed = new Set<string>();
  let version = 1;
  let isAdviceLost = false;
  cell.configuration = { ...CONFIGURATION, queues: QUEUES };
  Object.assign(cell.fleet, { advice: createAdvice(cell, () => isAdviceLost) });

  function startProcess(): void {
    const name = `process-${processes.length}`;
    processes.push({ name, entry: cell.startProcess(name), isKilled: false });
  }

  function liveProcesses() {
    return processes.filter(({ isKilled }) => !isKilled);
  }

  function attempt(
    job: SubmittedJob,
    action: 'submit' | 'cancel',
    onAnswer: (answer: CallerAnswer) => void,
  ): void {
    const owner = cell.currentTerm();
    if (!owner) return;
    void owner
      .handle({
        action,
        host: 'cell.example',
        path: job.path,
        key: 'key-1',
        specification: action === 'submit' ? job.specification : null,
        bodyBytes: 100,
      })
      .then(onAnswer);
  }

  function submit(job: SubmittedJob): void {
    attempt(job, 'submit', ({ kind }) => {
      if (kind === 'accepted') job.isAccepted = true;
    });
  }

  function cancel(job: SubmittedJob): void {
    attempt(job, 'cancel', ({ kind }) => {
      if (kind === 'cancelled' || kind === 'no-job') job.cancel = 'acknowledged';
    });
  }

  function createSteps(): Partial<StepSpecification>[] {
    if (random() < 0.05) return [{ count: 1 + integer(3), isLongRunning: true }];
    return Array.from({ length: 1 + integer(3) }, (_, index) => {
      const isGang = random() < 0.3;
      return {
        count: 1 + integer(6),
        after: index > 0 && random() < 0.7 ? [index - 1] : [],
        isGang,
        hasCheckpoints: random() < 0.5,
        maximumPerEndpoint: !isGang && random() < 0.2 ? 1 : 0,
        resources: { processors: 1 + integer(2), memoryBytes: 1, accelerators: 0 },
      };
    });
  }

  function createSchedule(): JobSpecification['schedule'] {
    if (random() > 0.1) return null;
    return {
      startAt: cell.clock.wallMilliseconds() + integer(3_000),
      intervalMilliseconds: 300 + integer(2_000),
      repetitions: 1 + integer(4),
    };
  }

  function submitJob(): void {
    const steps = createSteps();
    const job: SubmittedJob = {
      path: `${QUEUES[integer(QUEUES.length)]!.pathPrefix}${createJobId(jobs.length + 1)}`,
      specification: {
        ...createJobSpecification(...steps),
        payload: steps.some(({ isLongRunning }) => isLongRunning) ? ENDLESS : '',
        schedule: createSchedule(),
      },
      isAccepted: false,
      cancel: 'none',
    };
    jobs.push(job);
    submit(job);
  }

  /** An endpoint is down for a while before it starts again. */
  function crashEndpoint(endpointId: string): void {
    if (crashed.has(endpointId)) return;
    crashed.add(endpointId);
    cell.fleet.kill(endpointId);
    cell.clock.setTimer(
      () => {
        crashed.delete(endpointId);
        cell.fleet.restart(endpointId);
      },
      1_500 + integer(3_000),
    );
  }

  function endpointFault(): void {
    const endpointId = `endpoint-${integer(ENDPOINTS)}`;
    const faults = cell.fleet.faultsOf(endpointId);
    const kind = integer(5);
    if (kind === 0) crashEndpoint(endpointId);
    if (kind === 1) faults.isCutOff = !faults.isCutOff;
    if (kind === 2) {
      faults.unansweredStartDelayMilliseconds =
        faults.unansweredStartDelayMilliseconds === null ? 200 + integer(4_000) : null;
    }
    if (kind === 3) faults.failsEveryRun = !faults.failsEveryRun;
    if (kind === 4) {
      const running = cell.fleet.history.filter(({ endedAt }) => endedAt === null);
      const run = running[integer(running.length)];
      if (run) cell.fleet.failRun(run.endpointId, run.taskId);
    }
  }

  function storeFault(): void {
    const live = liveProcesses();
    const { name } = live[integer(live.length)]!;
    const faults = cell.store.faultsOf(name);
    const kind = integer(4);
    if (kind === 0) faults.outage = faults.outage ? null : 'silent';
    if (kind === 1) faults.outage = faults.outage ? null : 'busy';
    if (kind === 2) {
      faults.lostAnswerFraction = faults.lostAnswerFraction > 0 ? 0 : 0.4;
      faults.unansweredWriteDelayMilliseconds = random() < 0.5 ? null : 500 + integer(3_000);
    }
    if (kind === 3) faults.latencyMilliseconds = faults.latencyMilliseconds > 4 ? 4 : 200;
  }

  function killProcess(): void {
    const live = liveProcesses();
    const owner = live.find(({ entry }) => entry.term() !== null);
    const killed = random() < 0.7 && owner ? owner : live[integer(live.length)]!;
    killed.isKilled = true;
    killed.entry.kill();
    startProcess();
  }

  function changeConfiguration(): void {
    version += 1;
    const limit = random() < 0.5 ? 0 : 20 + integer(20);
    cell.configuration = {
      ...CONFIGURATION,
      version,
      queues: QUEUES.filter(() => random() < 0.8),
      teams: CONFIGURATION.teams.map((team) => ({
        ...team,
        limit: { processors: limit, memoryBytes: 0, accelerators: 0 },
      })),
    };
  }

  function repeatCalls(): void {
    jobs.forEach((job) => {
      if (!job.isAccepted && random() < 0.1) submit(job);
      if (job.isAccepted && job.cancel === 'none' && random() < 0.005) job.cancel = 'wanted';
      if (job.cancel === 'wanted') cancel(job);
    });
  }

  function endFaults(): void {
    for (let index = 0; index < ENDPOINTS; index += 1) {
      Object.assign(cell.fleet.faultsOf(`endpoint-${index}`), {
        isCutOff: false,
        unansweredStartDelayMilliseconds: null,
        unansweredHoldDelayMilliseconds: null,
        failsEveryRun: false,
      });
    }
    liveProcesses().forEach(({ name }) =>
      Object.assign(cell.store.faultsOf(name), {
        outage: null,
        lostAnswerFraction: 0,
        unansweredWriteDelayMilliseconds: null,
        latencyMilliseconds: 4,
      }),
    );
    cell.configuration = { ...CONFIGURATION, version: version + 1, queues: QUEUES };
    isAdviceLost = false;
  }

  async function runFaults(): Promise<void> {
    for (let index = 0; index < 3; index += 1) startProcess();
    await cell.advance(300);
    const endsAt = cell.clock.monotonicMilliseconds() + FAULTS_MILLISECONDS;
    while (cell.clock.monotonicMilliseconds() < endsAt) {
      if (random() < 0.35) submitJob();
      if (random() < 0.25) endpointFault();
      if (random() < 0.1) storeFault();
      if (random() < 0.03) killProcess();
      if (random() < 0.05) changeConfiguration();
      if (random() < 0.04) isAdviceLost = !isAdviceLost;
      repeatCalls();
      await cell.advance(100);
    }
    endFaults();
  }

  async function awaitCancellations(): Promise<SubmittedJob[]> {
    const endsAt = cell.clock.monotonicMilliseconds() + CANCEL_MILLISECONDS;
    const missing = () => jobs.filter((job) => job.cancel === 'wanted');
    while (missing().length > 0 && cell.clock.monotonicMilliseconds() < endsAt) {
      missing().forEach(cancel);
      await cell.advance(500);
    }
    return missing();
  }

  /** @returns whether a task, or one run of a gang for each attempt, has failed as often as the queue allows */
  function mayHaveFailed({ path }: SubmittedJob): boolean {
    const jobId = path.slice(path.lastIndexOf('/') + 1);
    const failedRuns = new Map<string, Set<number>>();
    cell.fleet.history
      .filter(({ taskId, kind }) => taskId.startsWith(jobId) && kind === 'failed')
      .forEach(({ taskId, run }) => {
        const [id, occurrence, step, index] = taskId.split('.');
        const { isGang } = jobs.find((job) => job.path === path)!.specification.steps[
          Number(step)
        ]!;
        const key = isGang ? `${id}.${occurrence}.${step}` : `${id}.${occurrence}.${step}.${index}`;
        failedRuns.set(key, (failedRuns.get(key) ?? new Set()).add(run));
      });
    return [...failedRuns.values()].some(({ size }) => size >= MAXIMUM_ATTEMPTS);
  }

  /** @returns whether all tasks of a job that lasts are at work */
  function isAtWork({ path, specification }: SubmittedJob): boolean {
    const jobId = path.slice(path.lastIndexOf('/') + 1);
    const [step] = specification.steps;
    const running = cell.fleet.history.filter(
      ({ taskId, endedAt }) => taskId.startsWith(jobId) && endedAt === null,
    );
    const tasks = step!.count * (specification.schedule?.repetitions ?? 1);
    return step!.isLongRunning && running.length === tasks;
  }

  return { cell, jobs, runFaults, awaitCancellations, mayHaveFailed, isAtWork };
}

SEEDS.forEach((seed) => {
  test(`accepted work runs and cancellations are acknowledged once faults have ended, seed ${seed}`, async (t) => {
    const { cell, jobs, runFaults, awaitCancellations, mayHaveFailed, isAtWork } =
      createTroubledCell(seed);
    await runFaults();
    const unacknowledged = await awaitCancellations();
    t.deepEqual(
      unacknowledged.map(({ path }) => path),
      [],
      'cancellations without acknowledgement',
    );
    await cell.advance(CALM_MILLISECONDS);
    for (const job of jobs.filter(({ isAccepted, cancel }) => isAccepted && cancel === 'none')) {
      const answer = await cell.call({ action: 'status', path: job.path });
      const status = answer.kind === 'status' ? answer.status : answer.kind;
      const isRight =
        status === 'completed' ||
        (status === 'failed' && mayHaveFailed(job)) ||
        (status === 'running' && isAtWork(job));
      t.true(isRight, `${job.path} is shown as ${status}`);
    }
  });
});
