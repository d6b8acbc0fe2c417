import test from 'ava';

import { InvariantError, loadStateChart } from '../index.js';
import type { TaskState } from '../index.js';

test('every state chart loads, and its initial state is not final', (t) => {
  (['task', 'request', 'partition', 'daemon'] as const).forEach((name) => {
    const chart = loadStateChart<string>(name);
    t.false(chart.isFinal(chart.initial), name);
  });
});

test('a task with an unknown outcome is never started again', (t) => {
  const chart = loadStateChart<TaskState>('task');
  t.true(chart.isFinal('unknown'));
  t.is(chart.next('lost', 'STARTED'), null);
});

test('an event without a transition in the current state violates an invariant', (t) => {
  const chart = loadStateChart<TaskState>('task');
  t.throws(() => chart.advance('pending', 'SUCCEEDED'), { instanceOf: InvariantError });
});
