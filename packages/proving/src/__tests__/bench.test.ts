import type { BenchRow } from '@chicorybend/common';
import test from 'ava';

import { findBenchProducers, judgeRow, runBench } from '../index.js';
import type { NamedProducer } from '../index.js';

const SHORT_RUN = { isShort: true };

function createRow(change: Partial<BenchRow>): BenchRow {
  return {
    name: 'row',
    measured: 1,
    unit: 'calls',
    bound: 1,
    direction: 'at-most',
    ...change,
  };
}

test('a row fails if its value is beyond its bound in either direction, or not a number', (t) => {
  t.true(judgeRow(createRow({ measured: 1 })).ok);
  t.false(judgeRow(createRow({ measured: 1.01 })).ok);
  t.true(judgeRow(createRow({ measured: 1, direction: 'at-least' })).ok);
  t.false(judgeRow(createRow({ measured: 0.99, direction: 'at-least' })).ok);
  t.false(judgeRow(createRow({ measured: Number.NaN })).ok);
});

test('a short run omits rows in units of time, because their result depends on the machine', async (t) => {
  const producer: NamedProducer = {
    name: 'mixed',
    produce: async () => [
      createRow({ name: 'count' }),
      createRow({ name: 'time', unit: 'ms', measured: 9 }),
    ],
  };
  const short = await runBench([producer], SHORT_RUN);
  t.deepEqual(
    short.map(({ name }) => name),
    ['count'],
  );
  const full = await runBench([producer], { ...SHORT_RUN, isShort: false });
  t.is(full.filter(({ ok }) => !ok).length, 1);
});

test('a producer that throws yields a failed row, and the other producers still run', async (t) => {
  const broken: NamedProducer = {
    name: 'broken',
    produce: () => Promise.reject(new Error('no measurement')),
  };
  const working: NamedProducer = {
    name: 'working',
    produce: async () => [createRow({})],
  };
  const rows = await runBench([broken, working], SHORT_RUN);
  t.deepEqual(
    rows.map(({ ok }) => ok),
    [false, true],
  );
});

test('the store client benchmark is discovered, and its short run is deterministic', async (t) => {
  const producers = await findBenchProducers();
  const storeClientProducers = producers.filter(
    ({ name }) => name === 'proving/produceStoreClientRows',
  );
  t.is(storeClientProducers.length, 1);
  const first = await runBench(storeClientProducers, SHORT_RUN);
  t.deepEqual(await runBench(storeClientProducers, SHORT_RUN), first);
  t.true(first.every(({ ok }) => ok));
});
