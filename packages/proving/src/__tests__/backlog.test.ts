import { sleep } from '@chicorybend/common';
import type { EndpointEntry } from '@chicorybend/scheduler';
import test from 'ava';

import {
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const ENDPOINTS = 100;
const CAPACITY = { processors: 32, memoryBytes: 1_000, accelerators: 0 };
const ADVICE = { callMilliseconds: 40, endpointMilliseconds: 0.4, ticketMilliseconds: 2_500 };
const STEP_MILLISECONDS = 2;

/** Counts how often the scheduler inspects an entry of the directory. */
function countInspections(cell: SchedulerCell, onInspection: () => void): void {
  const { list } = cell.fleet.directory;
  const watch = (entry: EndpointEntry) =>
    Object.defineProperty({ ...entry }, 'service', {
      get() {
        onInspection();
        return entry.service;
      },
    });
  Object.assign(cell.fleet.directory, {
    async list(timeoutMilliseconds: number) {
      const outcome = await list(timeoutMilliseconds);
      return outcome.kind === 'failed'
        ? outcome
        : { ...outcome, entries: outcome.entries.map(watch) };
    },
  });
}

function countRounds(cell: SchedulerCell): number {
  return Number(/^chicorybend_rounds_total (\d+)$/m.exec(cell.metrics.expose())![1]);
}

test('a step that waits for advice does not make each round inspect every endpoint', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({ count: ENDPOINTS, capacity: CAPACITY });
  let inspections = 0;
  countInspections(cell, () => {
    inspections += 1;
  });
  cell.configuration = { ...CONFIGURATION, queues: [{ ...queue!, advice: ADVICE }] };
  Object.assign(cell.fleet.advice, { advise: () => new Promise(() => {}) });
  cell.startProcess('first');
  await cell.advance(200);
  const jobs = 200;
  for (let index = 1; index <= jobs; index += 1) {
    const path = `/work/${createJobId(index)}`;
    await cell.call({ path, specification: createJobSpecification({ count: 2 }) });
  }
  inspections = 0;
  const before = countRounds(cell);
  await cell.advance(1_000);
  const rounds = countRounds(cell) - before;
  t.true(rounds > 5);
  t.true(inspections / rounds < (jobs * ENDPOINTS) / 10, `${inspections / rounds} a round`);
});

/** Makes each inspection take processor time, in which the process does nothing else. */
function chargeInspections(cell: SchedulerCell, milliseconds: number): { settle: () => void } {
  let spent = 0;
  const { monotonicMilliseconds, wallMilliseconds, advance } = cell.clock;
  Object.assign(cell.clock, {
    monotonicMilliseconds: () => monotonicMilliseconds() + spent,
    wallMilliseconds: () => wallMilliseconds() + spent,
  });
  countInspections(cell, () => {
    spent += milliseconds;
  });
  return {
    settle() {
      const owed = spent;
      spent = 0;
      advance(owed);
    },
  };
}

const INSPECTION_MILLISECONDS = 0.01;
const ADVICE_CHANNELS = 32;
const RUN_MILLISECONDS = 500;
const JOBS = 240;
const SUBMISSION_INTERVAL_MILLISECONDS = 4;
/** Objective of a job of two steps: one and a half times their runs and calls for advice, and 300 ms. */
const OBJECTIVE_MILLISECONDS = 1.5 * 2 * (RUN_MILLISECONDS + 52) + 300;

test('urgent jobs of a burst meet their objective on an owner whose processor time is limited', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({
    count: ENDPOINTS,
    capacity: CAPACITY,
    durationOf: () => RUN_MILLISECONDS,
  });
  const processor = chargeInspections(cell, INSPECTION_MILLISECONDS);
  cell.configuration = {
    ...CONFIGURATION,
    queues: [{ ...queue!, stretch: 1.5, advice: ADVICE }],
  };
  const { advise } = cell.fleet.advice;
  Object.assign(cell.fleet.advice, {
    async advise(...parameters: Parameters<typeof advise>) {
      const [, endpointIds] = parameters;
      const { callMilliseconds, endpointMilliseconds } = ADVICE;
      await sleep(cell.clock, callMilliseconds + endpointMilliseconds * endpointIds.length);
      return advise(...parameters);
    },
  });
  cell.startProcess('first');
  await cell.advance(200);
  for (let channel = 1; channel < ADVICE_CHANNELS; channel += 1) {
    cell.currentTerm()!.addAdviceChannel(cell.fleet.advice, 'vm');
  }
  const submittedAt = new Map<string, number>();
  const until = async (at: number) => {
    while (cell.clock.monotonicMilliseconds() < at) {
      await cell.advance(STEP_MILLISECONDS);
      processor.settle();
    }
  };
  const step = { count: 4, resources: { processors: 2, memoryBytes: 1, accelerators: 0 } };
  for (let index = 1; index <= JOBS; index += 1) {
    const jobId = createJobId(index);
    submittedAt.set(jobId, cell.clock.monotonicMilliseconds());
    void cell.call({
      path: `/work/${jobId}`,
      specification: createJobSpecification(step, { ...step, after: [0] }),
    });
    await until(submittedAt.get(jobId)! + SUBMISSION_INTERVAL_MILLISECONDS);
  }
  await until(cell.clock.monotonicMilliseconds() + 10_000);
  const late = [...submittedAt].filter(([jobId, at]) => {
    const runs = cell.fleet.history.filter(({ taskId }) => taskId.startsWith(jobId));
    const ends = runs.map(({ endedAt }) => endedAt ?? Infinity);
    return ends.length < 8 || Math.max(...ends) - at > OBJECTIVE_MILLISECONDS;
  });
  t.true(late.length < JOBS / 10, `${late.length} of ${JOBS} jobs are late`);
  t.deepEqual(cell.fleet.violations(), []);
});

test('a call for advice is about endpoints of many racks, although the directory lists them rack by rack', async (t) => {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({ count: ENDPOINTS, capacity: CAPACITY, rackSize: 10 });
  cell.configuration = { ...CONFIGURATION, queues: [{ ...queue!, advice: ADVICE }] };
  const rackOf = new Map(cell.fleet.entries().map(({ endpointId, rack }) => [endpointId, rack]));
  const asked: (readonly string[])[] = [];
  const { advise } = cell.fleet.advice;
  Object.assign(cell.fleet.advice, {
    advise(...parameters: Parameters<typeof advise>) {
      asked.push(parameters[1]);
      return advise(...parameters);
    },
  });
  cell.startProcess('first');
  await cell.advance(200);
  await cell.call({ specification: createJobSpecification({ count: 6 }) });
  await cell.advance(500);
  const racks = new Set(asked[0]!.map((endpointId) => rackOf.get(endpointId)));
  t.true(racks.size > 4, `${asked[0]!.length} endpoints of ${racks.size} racks`);
});
