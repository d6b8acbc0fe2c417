import type { BenchRow } from '@chicorybend/common';
import test from 'ava';

import { findBenchProducers, judgeRow, runBench } from '../index.js';
import type { NamedProducer } from '../index.js';

const OPTIONS = { isShort: true };

function describeRow(change: Partial<BenchRow>): BenchRow {
  return {
    name: 'row',
    measured: 1,
    unit: 'calls',
    bound: 1,
    direction: 'at-most',
    ...change,
  };
}

test('a value past its bound fails in both directions, and so does a missing one', (t) => {
  t.true(judgeRow(describeRow({ measured: 1 })).ok);
  t.false(judgeRow(describeRow({ measured: 1.01 })).ok);
  t.true(judgeRow(describeRow({ measured: 1, direction: 'at-least' })).ok);
  t.false(judgeRow(describeRow({ measured: 0.99, direction: 'at-least' })).ok);
  t.false(judgeRow(describeRow({ measured: Number.NaN })).ok);
});

test('a short run leaves out bounds on time, because their verdict depends on the machine', async (t) => {
  const producer: NamedProducer = {
    name: 'mixed',
    produce: async () => [
      describeRow({ name: 'count' }),
      describeRow({ name: 'time', unit: 'ms', measured: 9 }),
    ],
  };
  const short = await runBench([producer], OPTIONS);
  t.deepEqual(
    short.map(({ name }) => name),
    ['count'],
  );
  const whole = await runBench([producer], { ...OPTIONS, isShort: false });
  t.is(whole.filter(({ ok }) => !ok).length, 1);
});

test('a producer that throws gives a failed row and lets the others run', async (t) => {
  const broken: NamedProducer = {
    name: 'broken',
    produce: () => Promise.reject(new Error('no measurement')),
  };
  const working: NamedProducer = {
    name: 'working',
    produce: async () => [describeRow({})],
  };
  const rows = await runBench([broken, working], OPTIONS);
  t.deepEqual(
    rows.map(({ ok }) => ok),
    [false, true],
  );
});

test('the store client example is found, and its short run has the same values each time', async (t) => {
  const producers = await findBenchProducers();
  const own = producers.filter(({ name }) => name === 'proving/produceStoreClientRows');
  t.is(own.length, 1);
  const first = await runBench(own, OPTIONS);
  t.deepEqual(await runBench(own, OPTIONS), first);
  t.true(first.every(({ ok }) => ok));
});
