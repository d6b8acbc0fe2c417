import { createSilentLog } from '@chicorybend/common';
import type { StepSpecification } from '@chicorybend/scheduler';
import test from 'ava';

import {
  advanceUntil,
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const KEY = 'chicorybend/past-use';
const HALF_LIFE = 60_000;
const HOUR = 3_600_000;
const SETTINGS = { halfLifeMilliseconds: HALF_LIFE, weight: 4, cap: 8 };
const CAPACITY = { processors: 8, memoryBytes: 1_000, accelerators: 0 };
const HALF = { processors: 4, memoryBytes: 1, accelerators: 0 };

/** Creates a cell of the teams `alder` and `birch`, with past use in effect. */
function createTeamCell(count = 1, runMilliseconds = 300, processors = 8, birchWeight = 1) {
  const lines = new Map<unknown, unknown>();
  const log = createSilentLog();
  log.attachTransport((line) => lines.set(line[0], line[1]));
  // Runs that end at the same time free so much room that the order does not matter.
  const durationOf = () =>
    runMilliseconds + (cell.pastUse ? (cell.fleet.history.length * 70) % 200 : 0);
  const capacity = { ...CAPACITY, processors };
  const cell = createSchedulerCell({ count, durationOf, capacity }, () => 0.5, log);
  const [team] = CONFIGURATION.teams;
  const alder = { ...team!, name: 'alder', keys: ['alder'] };
  const birch = { ...alder, name: 'birch', keys: ['birch'], weight: birchWeight };
  cell.configuration = { ...CONFIGURATION, teams: [alder, birch] };
  cell.pastUse = SETTINGS;
  return { cell, lines };
}

type Step = Partial<StepSpecification>;

async function submit(cell: SchedulerCell, index: number, key: string, step: Step): Promise<void> {
  const specification = createJobSpecification({ estimatedMilliseconds: 300, ...step });
  await cell.call({ path: `/work/${createJobId(index)}`, key, specification });
}

function gaugeOf({ metrics }: SchedulerCell, name: string): number {
  const row = metrics.expose().split('\n');
  return Number(row.find((line) => line.startsWith(`chicorybend_${name} `))?.split(' ')[1]);
}

function putRecord(cell: SchedulerCell, ...teams: [string, number, boolean][]): void {
  const record = { version: 1, until: cell.clock.wallMilliseconds(), teams };
  cell.store.put(KEY, JSON.stringify(record));
}

const jobIndex = ({ taskId }: { taskId: string }) => Number.parseInt(taskId.split('.')[0]!, 16);

// The starts and the number of writes were recorded with the version before past use (9d509d8).
test('without its settings the order of starts and the writes are those recorded before', async (t) => {
  const { cell } = createTeamCell(2, 300, 4, 2);
  cell.pastUse = null;
  cell.startProcess('first');
  await cell.advance(600);
  for (let index = 1; index <= 12; index += 1) {
    await submit(cell, index, index % 3 === 0 ? 'birch' : 'alder', { count: 1 + (index % 4) });
  }
  await cell.advance(6_000);
  t.is(
    cell.fleet.history.map(jobIndex).join(' '),
    '1 1 2 2 2 3 3 3 3 6 4 5 5 6 6 9 9 12 7 11 11 11 11 10 10 10 8 7 7 7',
  );
  t.is(cell.store.writeCount(), 29);
  t.is(cell.store.get(KEY), null);
  t.false(cell.metrics.expose().includes('chicorybend_past_use{'));
});

// A team that has filled the cell for hours got as much as one that has not; names that are gone must not matter.
test('a team with past use gets less while another one waits, and an operator sees why', async (t) => {
  const { cell, lines } = createTeamCell(2, 300, 4);
  putRecord(cell, ['alder', 0.9, true], ['former', 0.95, false]);
  // Work with little time to spare is hardly put back.
  const [queue] = cell.configuration.queues;
  const queues = [{ ...queue!, targetCompletionMilliseconds: 20_000 }];
  cell.configuration = { ...cell.configuration, queues };
  cell.startProcess('first');
  await cell.advance(600);
  for (let index = 1; index <= 60; index += 1) {
    await submit(cell, index, index % 2 === 0 ? 'birch' : 'alder', { count: 4 });
  }
  await cell.advance(2_000);
  const starts = cell.fleet.history.map(jobIndex);
  const ofBirch = starts.filter((index) => index % 2 === 0).length;
  t.true(ofBirch > 1.8 * (starts.length - ofBirch), `${ofBirch} of ${starts.length}`);
  t.true(gaugeOf(cell, 'past_use_factor{team="alder"}') > 3);
  t.is(gaugeOf(cell, 'past_use_factor{team="birch"}'), 1);
  t.true(gaugeOf(cell, 'past_use{team="former"}') > 0.9);
  t.true(gaugeOf(cell, 'past_use_record_age_seconds') < 6);
  t.true(gaugeOf(cell, 'past_use_rounds_total') > 0);
  t.like(lines.get('order changed by past use'), { teams: [{ team: 'alder' }] });
});

const ABOUT_EQUAL = 0.02;
const END = 24_000;

/** @returns use of `alder` after 24 s at half of the capacity, interrupted after 10 s, relative to that expected */
async function measureUse(interrupt: (cell: SchedulerCell) => void | Promise<void>) {
  const { cell, lines } = createTeamCell(1, 120_000);
  cell.startProcess('first');
  await cell.advance(600);
  const lasting = { estimatedMilliseconds: 120_000 };
  await submit(cell, 1, 'alder', { ...lasting, resources: HALF });
  await submit(cell, 2, 'birch', { ...lasting, resources: CAPACITY });
  const startedAt = cell.clock.monotonicMilliseconds();
  await cell.advance(10_000);
  await interrupt(cell);
  await cell.advance(startedAt + END - cell.clock.monotonicMilliseconds());
  const expected = 0.5 * (1 - 2 ** (-END / HALF_LIFE));
  return { ratio: gaugeOf(cell, 'past_use{team="alder"}') / expected, lines, cell };
}

async function takeOver(cell: SchedulerCell, name: string): Promise<void> {
  cell.killOwner();
  cell.startProcess(name);
  await advanceUntil(cell, () => cell.currentTerm() !== null, 3_000);
}

// Use since the last record was forgotten, or charged by both owners.
test('use is neither forgotten nor counted twice by a handover, owners within a second, or an outage', async (t) => {
  const handover = await measureUse((cell) => takeOver(cell, 'second'));
  const twice = await measureUse(async (cell) => {
    await takeOver(cell, 'second');
    await cell.advance(200);
    await takeOver(cell, 'third');
  });
  const outage = await measureUse(async (cell) => {
    cell.store.faultsOf('first').outage = 'busy';
    await cell.advance(3_000);
    cell.store.faultsOf('first').outage = null;
  });
  [handover, twice, outage].forEach(({ ratio, cell }) => {
    t.true(Math.abs(ratio - 1) < ABOUT_EQUAL, `${ratio}`);
    t.true(cell.store.get(KEY)!.value.length < 200);
  });
});

// A jump of an hour was charged as an hour of use, or made use negative.
test('a step of the wall clock forgets no more than stated, and adds no more than 30 s', async (t) => {
  const stepped = (milliseconds: number, isTakenOver: boolean) =>
    measureUse((cell) => {
      cell.wallStepMilliseconds = milliseconds;
      return isTakenOver ? takeOver(cell, 'second') : undefined;
    });
  const ratios = [(await stepped(-HOUR, false)).ratio, (await stepped(HOUR, false)).ratio];
  t.true(ratios.every((ratio) => Math.abs(ratio - 1) < ABOUT_EQUAL));
  const back = await stepped(-HOUR, true);
  // At most the age of the record and the takeover are missing.
  t.true(back.ratio > (END - 7_500) / END - ABOUT_EQUAL && back.ratio < 1, `${back.ratio}`);
  const forward = await stepped(HOUR, true);
  t.true(forward.ratio > 0.9 && forward.ratio < (30_000 + 14_000) / END, `${forward.ratio}`);
  t.like(forward.lines.get('past use recovered'), { isOlderThanHalfLife: true });
});

// A record that cannot be used must neither end the term nor stay in its way.
test('a missing, unreadable or old record is reported, and work goes on', async (t) => {
  const old = (now: number) =>
    JSON.stringify({ version: 1, until: now - 2 * HALF_LIFE, teams: [['alder', 0.8, false]] });
  const cases = [
    { put: () => null, message: 'past use not recovered', fields: { reason: 'missing' } },
    { put: () => '{', message: 'past use not recovered', fields: { reason: 'unreadable' } },
    { put: old, message: 'past use recovered', fields: { isOlderThanHalfLife: true } },
  ];
  for (const { put, message, fields } of cases) {
    const { cell, lines } = createTeamCell();
    const record = put(cell.clock.wallMilliseconds());
    if (record !== null) cell.store.put(KEY, record);
    cell.startProcess('first');
    await cell.advance(600);
    t.like(lines.get(message), fields);
    await submit(cell, 1, 'alder', { count: 9 });
    await submit(cell, 2, 'birch', { count: 9 });
    await cell.advance(2_000);
    t.is(cell.fleet.history.length, 18);
    t.regex(cell.store.get(KEY)!.value, /"alder"/);
    t.true(gaugeOf(cell, 'past_use{team="alder"}') < 0.21);
  }
});

// The first placement of a term waited for the record, which the store may answer late.
test('a record that is not answered delays no placement and is taken over later', async (t) => {
  const { cell, lines } = createTeamCell();
  putRecord(cell, ['alder', 0.8, false]);
  cell.silentKey = KEY;
  cell.startProcess('first');
  await cell.advance(600);
  await submit(cell, 1, 'alder', { count: 8 });
  await cell.advance(100);
  t.is(cell.fleet.history.length, 8);
  await cell.advance(6_000);
  t.regex(cell.store.get(KEY)!.value, /0\.8/);
  cell.silentKey = null;
  await cell.advance(3_000);
  t.true(lines.has('past use recovered'));
  t.true(gaugeOf(cell, 'past_use{team="alder"}') > 0.6);
});
