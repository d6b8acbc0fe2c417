import test from 'ava';

import { runReplay } from '../__performance_tests__/replay.js';
import { VARIANTS } from '../__performance_tests__/replayRows.js';
import { createTrace } from '../__performance_tests__/replayTrace.js';
import { computeEntitlements } from '../__performance_tests__/shareDistance.js';

const SEED = 5;
const WORKERS = 20;
const DURATION_MILLISECONDS = 120_000;

Object.values(VARIANTS).forEach((variant) => {
  test(`${variant.name}: a replay starts every work item once and is deterministic`, (t) => {
    const trace = createTrace(SEED, WORKERS, DURATION_MILLISECONDS);
    const first = runReplay(trace, variant);
    const second = runReplay(trace, variant);
    t.is(first.started, trace.arrivals.length);
    t.is(second.lastStartAt, first.lastStartAt);
    t.is(second.packing, first.packing);
    t.deepEqual(second.distances, first.distances);
  });
});

test('entitlements follow the weights, and what one team does not demand goes to the others', (t) => {
  const divide = (...parameters: Parameters<typeof computeEntitlements>): readonly string[] =>
    Object.entries(computeEntitlements(...parameters))
      .map(([team, part]) => `${team} ${part.toFixed(9)}`)
      .sort();
  t.deepEqual(divide(0.9, { a: 1, b: 1, c: 0.1 }, { a: 1, b: 3, c: 1 }), [
    'a 0.200000000',
    'b 0.600000000',
    'c 0.100000000',
  ]);
  t.deepEqual(divide(0.3, { a: 0.1, b: 0.2 }, { a: 1, b: 1 }), ['a 0.100000000', 'b 0.200000000']);
});
