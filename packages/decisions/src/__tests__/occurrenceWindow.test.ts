import test from 'ava';
import fc from 'fast-check';

import { canOpenOccurrence } from '../core/occurrenceWindow.js';

const SIZE = { tasksPerOccurrence: 10, maximumOpenTasks: 1_000 };

test('a job that is far behind its schedule keeps a bounded number of occurrences open', (t) => {
  fc.assert(
    fc.property(
      fc.record({
        tasksPerOccurrence: fc.integer({ min: 1, max: 1_000 }),
        maximumOpenTasks: fc.integer({ min: 1, max: 10_000 }),
      }),
      (size) => {
        let count = 0;
        while (
          canOpenOccurrence({ tasks: count * size.tasksPerOccurrence, waiting: count }, size)
        ) {
          count += 1;
        }
        return (
          count >= 1 &&
          count <= 64 &&
          (count - 1) * size.tasksPerOccurrence <= size.maximumOpenTasks
        );
      },
    ),
    { seed: 1 },
  );
  t.pass();
});

test('occurrences overlap as long as their tasks are started', (t) => {
  t.true(canOpenOccurrence({ tasks: 990, waiting: 0 }, SIZE));
  t.false(canOpenOccurrence({ tasks: 1_000, waiting: 0 }, SIZE));
  t.true(canOpenOccurrence({ tasks: 640, waiting: 63 }, SIZE));
  t.false(canOpenOccurrence({ tasks: 640, waiting: 64 }, SIZE));
});
