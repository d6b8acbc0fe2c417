import test from 'ava';

import { selectFittingStarts } from '../core/selectFittingStarts.js';

function createRun(processors: number, isUnsent: boolean, memoryBytes = 1) {
  return { resources: { processors, memoryBytes, accelerators: 0 }, isUnsent };
}

const CAPACITY = { processors: 4, memoryBytes: 100, accelerators: 0 };

test('runs whose start was sent count before older starts that were not sent', (t) => {
  const older = createRun(2, true);
  const runs = [older, createRun(3, false)];
  t.deepEqual([...selectFittingStarts(CAPACITY, runs)], []);
  t.deepEqual([...selectFittingStarts({ ...CAPACITY, processors: 5 }, runs)], [older]);
});

test('the newest starts are withdrawn first', (t) => {
  const runs = [createRun(2, false), createRun(1, true), createRun(1, true), createRun(1, true)];
  t.deepEqual([...selectFittingStarts(CAPACITY, runs)], runs.slice(1, 3));
});

test('a start does not fit on an endpoint whose sent runs exceed the capacity in a dimension that it needs none of', (t) => {
  const filling = createRun(0, true);
  t.deepEqual([...selectFittingStarts(CAPACITY, [createRun(5, false), filling])], []);
  t.deepEqual([...selectFittingStarts(CAPACITY, [createRun(1, false, 100), filling])], []);
  t.deepEqual([...selectFittingStarts(CAPACITY, [createRun(4, false), filling])], [filling]);
});

test('starts that fill the capacity exactly fit, whatever the rounding errors of their sum', (t) => {
  const runs = [createRun(0.1, true), createRun(0.2, true)];
  t.deepEqual([...selectFittingStarts({ ...CAPACITY, processors: 0.3 }, runs)], runs);
  t.deepEqual([...selectFittingStarts({ ...CAPACITY, processors: 0.299 }, runs)], runs.slice(0, 1));
});
