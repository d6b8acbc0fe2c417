import test from 'ava';

import { limitCalls } from '../core/limitedCalls.js';
import {
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const ENDPOINTS = 16;
const RUN_MILLISECONDS = 500;
const OBJECTIVE_MILLISECONDS = 2 * RUN_MILLISECONDS + 300;
/** Processor time of the owner for each call, in milliseconds; a job is longer than what is stored of its runs. */
const COSTS = { arrival: 1, write: 3, byte: 0.004, start: 3, hold: 1, advice: 2 };
const PAYLOAD_BYTES = 3_000;
/** Highest rate of jobs that this owner carries, in jobs a second. */
const CARRIED_RATE = 30;
const LOAD_MILLISECONDS = 6_000;
const RECOVERY_MILLISECONDS = 2_000;

/** Makes calls take processor time, in which the process handles nothing else. @returns function that charges time */
function chargeCalls({ clock, store, fleet }: SchedulerCell): (milliseconds: number) => void {
  const { monotonicMilliseconds: idleNow, wallMilliseconds, setTimer, advance } = clock;
  let busyUntil = 0;
  const now = () => Math.max(idleNow(), busyUntil);
  const charge = (milliseconds: number) => {
    busyUntil = now() + milliseconds;
  };
  Object.assign(clock, {
    monotonicMilliseconds: now,
    wallMilliseconds: () => wallMilliseconds() + now() - idleNow(),
    setTimer: (callback: () => void, delay: number) =>
      setTimer(callback, delay + now() - idleNow()),
    advance: (milliseconds: number) => advance(now() - idleNow() + milliseconds),
  });
  const { client } = store;
  Object.assign(store, {
    client(name: string) {
      const calls = client(name);
      const write: typeof calls.write = (group, timeout) => {
        const bytes = group.puts.reduce((sum, { value }) => sum + value.length, 0);
        charge(COSTS.write + COSTS.byte * bytes);
        return calls.write(group, timeout);
      };
      return { ...calls, write };
    },
  });
  const { start, hold } = fleet.client;
  Object.assign(fleet.client, {
    start(...parameters: Parameters<typeof start>) {
      charge(COSTS.start);
      return start(...parameters);
    },
    async hold(...parameters: Parameters<typeof hold>) {
      const outcome = await hold(...parameters);
      charge(COSTS.hold);
      return outcome;
    },
  });
  const { advise } = fleet.advice;
  Object.assign(fleet.advice, {
    async advise(...parameters: Parameters<typeof advise>) {
      charge(COSTS.advice);
      return advise(...parameters);
    },
  });
  return charge;
}

/** Plays a rate of jobs, and half of the carried rate afterwards. @returns jobs completed in time, by phase */
async function play(rate: number) {
  const [queue] = CONFIGURATION.queues;
  const cell = createSchedulerCell({
    count: ENDPOINTS,
    capacity: { processors: 32, memoryBytes: 1_000, accelerators: 0 },
    durationOf: () => RUN_MILLISECONDS,
  });
  const advice = { callMilliseconds: 10, endpointMilliseconds: 0, ticketMilliseconds: 2_500 };
  cell.configuration = { ...CONFIGURATION, queues: [{ ...queue!, advice }] };
  const charge = chargeCalls(cell);
  limitCalls(cell);
  let terms = 0;
  cell.startProcess('owner', () => {
    terms += 1;
  });
  await cell.advance(3_000);
  const arrivals = new Map<string, number>();
  const begin = cell.clock.monotonicMilliseconds();
  function arrive(at: number): void {
    const jobId = createJobId(arrivals.size + 1);
    arrivals.set(jobId, at);
    cell.clock.setTimer(() => {
      charge(COSTS.arrival);
      void cell.currentTerm()?.handle({
        action: 'submit',
        host: 'cell.example',
        path: `/work/${jobId}`,
        key: 'key-1',
        specification: { ...createJobSpecification({}), payload: '.'.repeat(PAYLOAD_BYTES) },
        bodyBytes: 100,
      });
    }, at - cell.clock.monotonicMilliseconds());
  }
  const loadEnd = begin + LOAD_MILLISECONDS;
  const recovered = loadEnd + RECOVERY_MILLISECONDS;
  const end = recovered + LOAD_MILLISECONDS / 2;
  for (let at = begin; at < loadEnd; at += 1_000 / rate) arrive(at);
  for (let at = loadEnd; at < end; at += 2_000 / CARRIED_RATE) arrive(at);
  await cell.advance(LOAD_MILLISECONDS + RECOVERY_MILLISECONDS + LOAD_MILLISECONDS);
  const done = cell.fleet.history.filter(({ kind }) => kind === 'done');
  const ends = new Map(done.map(({ taskId, endedAt }) => [taskId.split('.')[0]!, endedAt!]));
  const inTime = [...arrivals].filter(
    ([jobId, at]) => (ends.get(jobId) ?? Infinity) - at <= OBJECTIVE_MILLISECONDS,
  );
  const afterwards = (jobs: Iterable<[string, number]>) =>
    [...jobs].filter(([, at]) => at >= recovered);
  return {
    duringLoad: inTime.filter(([, at]) => at < loadEnd).length,
    lateAfterwards: afterwards(arrivals).length - afterwards(inTime).length,
    violations: cell.fleet.violations(),
    terms,
  };
}

test('under twice the load that it can carry, an owner completes 0.9 of what it can, and recovers within 2 s', async (t) => {
  const carried = await play(CARRIED_RATE);
  const overloaded = await play(2 * CARRIED_RATE);
  t.log(carried, overloaded);
  const possible = (CARRIED_RATE * LOAD_MILLISECONDS) / 1_000;
  t.true(carried.duringLoad >= 0.95 * possible, `${carried.duringLoad} of ${possible} in time`);
  t.true(
    overloaded.duringLoad >= 0.9 * carried.duringLoad,
    `${overloaded.duringLoad} under twice the load, ${carried.duringLoad} under the load`,
  );
  t.is(overloaded.lateAfterwards, 0, 'jobs that are late or refused after the recovery');
  t.deepEqual([...carried.violations, ...overloaded.violations], []);
  t.is(overloaded.terms, 1, 'the owner keeps its lease');
});
