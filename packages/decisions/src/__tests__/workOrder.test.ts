import test from 'ava';

import { compareWork } from '../core/workOrder.js';

const WORK = { priority: 1, objectiveAt: 1_000, remainingMilliseconds: 0, weightedShare: 0 };

test('order: priority, then the team below its share, then the least time to spare', (t) => {
  const urgent = { ...WORK, priority: 0, weightedShare: 5 };
  t.true(compareWork(urgent, WORK) < 0);
  const heavy = { ...WORK, weightedShare: 0.5, objectiveAt: 0 };
  t.true(compareWork(WORK, heavy) < 0);
  const long = { ...WORK, remainingMilliseconds: 500 };
  t.true(compareWork(long, WORK) < 0);
  const similar = { ...WORK, weightedShare: 0.04, objectiveAt: 900 };
  t.true(compareWork(similar, WORK) < 0);
});
