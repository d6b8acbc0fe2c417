import { sleep } from '@chicorybend/common';
import test from 'ava';

import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';
import { createRandom } from '../utils/random.js';

const TASKS_PER_JOB = 10;
const SUBMIT_INTERVAL_MILLISECONDS = 50;
/** Part of the orders of the phase that get no answer and are executed 2 to 12 s later. */
const LATE_FRACTION = 0.07;
const MINIMUM_DELAY_MILLISECONDS = 2_000;
const DELAY_RANGE_MILLISECONDS = 10_000;

/** Time that the owner takes for the answer to a call, and for each run or end that it lists, in milliseconds. */
interface CallCosts {
  readonly call: number;
  readonly item: number;
}

/** Makes the answers of endpoints wait for the owner, which handles one at a time; a call may time out meanwhile. */
function chargeAnswers({ fleet, clock }: SchedulerCell, { call, item }: CallCosts): void {
  const { start, stop, hold } = fleet.client;
  let busyUntil = 0;
  async function charge<Outcome extends { kind: string }>(
    send: () => Promise<Outcome>,
    timeoutMilliseconds: number,
    lost: Outcome,
  ): Promise<Outcome> {
    const endsAt = clock.monotonicMilliseconds() + timeoutMilliseconds;
    const outcome = await send();
    const isAnswered = outcome.kind !== lost.kind;
    const items =
      'ends' in outcome && 'running' in outcome
        ? (outcome.ends as unknown[]).length + (outcome.running as unknown[]).length
        : 0;
    const now = clock.monotonicMilliseconds();
    busyUntil = Math.max(now, busyUntil) + (isAnswered ? call : call / 2) + items * item;
    await sleep(clock, busyUntil - now);
    return clock.monotonicMilliseconds() > endsAt ? lost : outcome;
  }
  Object.assign(fleet.client, {
    start: (...[target, order, timeout]: Parameters<typeof start>) =>
      charge(() => start(target, order, timeout), timeout, { kind: 'unknown', reason: 'lost' }),
    stop: (...[target, run, timeout]: Parameters<typeof stop>) =>
      charge(() => stop(target, run, timeout), timeout, { kind: 'unknown', reason: 'lost' }),
    hold: (...[target, order, timeout]: Parameters<typeof hold>) =>
      charge(() => hold(target, order, timeout), order.waitMilliseconds + timeout, {
        kind: 'failed',
        reason: 'lost',
        isDisconnected: false,
      }),
  } satisfies Partial<typeof fleet.client>);
}

function setLateOrders({ fleet }: SchedulerCell, isOn: boolean): void {
  const entries = fleet.entries();
  entries.forEach(({ endpointId }, position) => {
    const part = ((position * 7) % entries.length) / entries.length;
    const delay = isOn ? MINIMUM_DELAY_MILLISECONDS + part * DELAY_RANGE_MILLISECONDS : null;
    Object.assign(fleet.faultsOf(endpointId), {
      lateOrderFraction: LATE_FRACTION,
      unansweredStartDelayMilliseconds: delay,
      unansweredStopDelayMilliseconds: delay,
      unansweredHoldDelayMilliseconds: delay,
    });
  });
}

function readMetric({ metrics }: SchedulerCell, name: string): number {
  return Number(new RegExp(`^chicorybend_${name} (\\d+)$`, 'm').exec(metrics.expose())![1]);
}

/** Creates a function that submits `jobsPerInterval` jobs each interval, and returns the starts in that time. */
function createTraffic(
  cell: SchedulerCell,
  jobsPerInterval: number,
  estimatedMilliseconds: number,
): (milliseconds: number) => Promise<number> {
  let jobs = 0;
  return async (milliseconds) => {
    const startsBefore = cell.fleet.history.length;
    for (let time = 0; time < milliseconds; time += SUBMIT_INTERVAL_MILLISECONDS) {
      for (let count = 0; count < jobsPerInterval; count += 1) {
        jobs += 1;
        const specification = createJobSpecification({
          count: TASKS_PER_JOB,
          estimatedMilliseconds,
        });
        const path = `/work/${createJobId(jobs)}`;
        const request = { action: 'submit', host: 'cell.example', key: 'key-1' } as const;
        const call = { ...request, path, specification, bodyBytes: 100 };
        void cell.currentTerm()?.handle(call);
      }
      await cell.advance(SUBMIT_INTERVAL_MILLISECONDS);
    }
    return cell.fleet.history.length - startsBefore;
  };
}

// Ends that were listed again made the owner time out, which made it withhold more acknowledgements, for good.
test('work is placed at its usual rate again soon after a phase of late orders that the owner could just carry', async (t) => {
  const random = createRandom(1).fraction;
  const cell = createSchedulerCell({ count: 60, durationOf: () => 1_000, random });
  chargeAnswers(cell, { call: 2.6, item: 0.1 });
  cell.startProcess('first');
  await cell.advance(1_000);
  const submitFor = createTraffic(cell, 1, 1_000);
  await submitFor(5_000);
  setLateOrders(cell, true);
  await submitFor(10_000);
  cell.killOwner();
  cell.startProcess('second');
  await submitFor(5_000);
  setLateOrders(cell, false);
  await submitFor(4_000);
  const starts = await submitFor(5_000);
  const submitted = (5_000 / SUBMIT_INTERVAL_MILLISECONDS) * TASKS_PER_JOB;
  t.true(starts >= 0.9 * submitted, `${starts} of ${submitted}`);
  t.deepEqual(cell.fleet.violations(), []);
});

// The list stayed full, so that the start counted as outstanding, and the ends that it left out were never read.
test('an endpoint works again after a late order that kept more ends than a list holds from being acknowledged', async (t) => {
  const capacity = { processors: 32, memoryBytes: 1_000, accelerators: 0 };
  const cell = createSchedulerCell({ count: 1, capacity, durationOf: () => 150 });
  cell.startProcess('owner');
  await cell.advance(1_000);
  const submitFor = createTraffic(cell, 1, 150);
  const faults = cell.fleet.faultsOf('endpoint-0');
  faults.unansweredStartDelayMilliseconds = 12_000;
  // A task that needs the whole endpoint waits behind the others for as long as it is bound to it.
  const resources = { ...capacity, memoryBytes: 1 };
  const specification = createJobSpecification({ resources });
  await cell.call({ path: `/work/${createJobId(0)}`, specification });
  await cell.advance(100);
  faults.unansweredStartDelayMilliseconds = null;
  faults.isCutOff = true;
  await cell.advance(600);
  faults.isCutOff = false;
  await submitFor(18_000);
  const starts = await submitFor(5_000);
  const submitted = (5_000 / SUBMIT_INTERVAL_MILLISECONDS) * TASKS_PER_JOB;
  t.true(starts >= 0.9 * submitted, `${starts} of ${submitted}`);
  t.is(readMetric(cell, 'endpoints_withheld_outstanding_start'), 0);
  t.deepEqual(cell.fleet.violations(), []);
});

// A write for each confirmed start raised the commits of an owner near its limit by half.
test('confirmations of starts share their writes', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => 4_000 });
  cell.startProcess('owner');
  await cell.advance(1_000);
  const before = readMetric(cell, 'commit_keys_total');
  for (let job = 1; job <= 20; job += 1) {
    const specification = createJobSpecification({ estimatedMilliseconds: 4_000 });
    await cell.call({ path: `/work/${createJobId(job)}`, specification });
    await cell.advance(SUBMIT_INTERVAL_MILLISECONDS);
  }
  await cell.advance(700);
  t.is(readMetric(cell, 'starts_sent_total'), 20);
  t.is(readMetric(cell, 'commit_keys_total') - before, 60);
  t.true(readMetric(cell, 'commits_total') <= 45);
});
