import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import test from 'ava';

import {
  createRandom,
  FAULT_KINDS,
  planFaults,
  readExample,
  runFaults,
  runSoak,
  startLocalCell,
} from '../index.js';
import type { Example, PlannedFault } from '../index.js';

const PROGRAM = fileURLToPath(new URL('./stubDaemon.js', import.meta.url));
const LIMIT_MILLISECONDS = 20_000;

function readSmallExample(daemons: number): Example {
  const example = readExample('coldline');
  const plan = { ...example.plan, daemons: example.plan.daemons.slice(0, daemons) };
  return { ...example, plan };
}

test('the fault schedule is determined by the seed', (t) => {
  const first = planFaults(createRandom(7), 60_000);
  t.deepEqual(planFaults(createRandom(7), 60_000), first);
  t.notDeepEqual(planFaults(createRandom(8), 60_000), first);
  t.true(first.length > 10);
  t.true(first.every(({ at }, index) => at >= (first[index - 1]?.at ?? 0)));
});

test('a long fault schedule contains every kind of fault, and faults that start at the same time', (t) => {
  const faults = planFaults(createRandom(1), 3_600_000);
  const kinds = new Set(faults.map(({ kind }) => kind));
  t.deepEqual(
    FAULT_KINDS.filter((kind) => !kinds.has(kind)),
    [],
  );
  t.true(faults.some(({ at }, index) => at === faults[index - 1]?.at));
});

test.serial('every kind of fault is undone at its end and leaves the cell healthy', async (t) => {
  const { plan } = readSmallExample(3);
  const cell = await startLocalCell({ plan, program: PROGRAM });
  t.teardown(() => cell.close());
  const applied: PlannedFault[] = [];
  // In sequence, because a fault is skipped while another one that excludes it is active.
  for (const [index, kind] of FAULT_KINDS.entries()) {
    const fault = { kind, at: 0, durationMilliseconds: 50, target: index, other: index + 1 };
    applied.push(...(await runFaults(cell, [fault])));
  }
  t.is(applied.length, FAULT_KINDS.length);
  t.true(await cell.waitReady(LIMIT_MILLISECONDS));
  const { store, vmList, workers, endpoints } = cell.platform;
  t.deepEqual(store.faults, { isDown: false, delayMilliseconds: 0, lostAnswerFraction: 0 });
  t.false(vmList.faults.isDown);
  workers.forEach(({ faults: left }) => {
    t.false(left.isSilent || left.failsEveryTask || left.lostAnswerFraction > 0);
  });
  endpoints.forEach(({ faults: left }) => {
    t.false(left.isSilent || left.closesConnectionAfterStart || left.failsEveryRequest);
    t.is(left.extraServiceMilliseconds + left.answerDelayMilliseconds, 0);
  });
  t.is(cell.daemons.filter((daemon) => daemon.processId() !== null).length, 3);
});

test.serial('a soak without faults completes its mixed load without violations', async (t) => {
  const outcome = await runSoak({
    example: readSmallExample(2),
    seed: 3,
    durationMilliseconds: 3_000,
    program: PROGRAM,
    faults: [],
    report: () => {},
  });
  t.deepEqual(outcome.failures, []);
  t.true(outcome.rows.some(({ kind, done }) => kind === 'batch' && done > 0));
  t.deepEqual(
    outcome.checks.flatMap(({ violations }) => violations),
    [],
  );
});

test.serial('a soak reports that the stub daemon repeats a non-idempotent request', async (t) => {
  const faults = Array.from({ length: 10 }, (_, index): PlannedFault => ({
    kind: 'endpoint-closes',
    at: 0,
    durationMilliseconds: 3_000,
    target: index * 3,
    other: 0,
  }));
  const lines: string[] = [];
  const outcome = await runSoak({
    example: readSmallExample(2),
    seed: 3,
    durationMilliseconds: 3_000,
    program: PROGRAM,
    faults,
    report: (line) => lines.push(line),
  });
  const kinds = outcome.checks.flatMap(({ violations }) => violations.map(({ kind }) => kind));
  t.true(kinds.includes('non-idempotent-request-repeated'));
  const folder = lines.find((line) => line.startsWith('output of the daemons: '))?.split(': ')[1];
  t.truthy(folder);
  if (folder) rmSync(folder, { recursive: true });
});
