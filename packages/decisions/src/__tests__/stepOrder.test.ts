import test from 'ava';

import { judgePunctuality, orderSteps } from '../core/stepOrder.js';
import type { OrderingKey } from '../core/stepOrder.js';

const ORDERING_KEY: OrderingKey = {
  groupId: 'bench/entries',
  priority: 1,
  punctuality: 'on-time',
  objectiveAt: 1_000,
  remainingMilliseconds: 0,
  weightedShare: 0,
};

/** @returns whether the first of two steps is sorted before the second, whatever the order of the input */
function precedes(left: OrderingKey, right: OrderingKey, ...others: OrderingKey[]): boolean {
  return [
    [left, right],
    [right, left],
  ].every((pair) => {
    const ordered = orderSteps([...pair, ...others].map((order) => ({ order })));
    const position = (key: OrderingKey) => ordered.findIndex(({ order }) => order === key);
    return position(left) < position(right);
  });
}

test('steps are sorted by priority, then by the share of their team, then by slack', (t) => {
  t.true(precedes({ ...ORDERING_KEY, priority: 0, weightedShare: 5 }, ORDERING_KEY));
  t.true(precedes(ORDERING_KEY, { ...ORDERING_KEY, weightedShare: 0.5, objectiveAt: 0 }));
  t.true(precedes({ ...ORDERING_KEY, remainingMilliseconds: 500 }, ORDERING_KEY));
  t.true(precedes({ ...ORDERING_KEY, weightedShare: 0.04, objectiveAt: 900 }, ORDERING_KEY));
});

test('in a group with late steps, the newest step that can be on time comes first', (t) => {
  const late: OrderingKey = { ...ORDERING_KEY, punctuality: 'late', objectiveAt: 100 };
  const newer = { ...ORDERING_KEY, objectiveAt: 2_000 };
  t.true(precedes(newer, ORDERING_KEY, late));
  t.true(precedes(ORDERING_KEY, late));
  const overdue: OrderingKey = { ...ORDERING_KEY, punctuality: 'overdue', objectiveAt: 0 };
  t.true(precedes(late, overdue));
  t.true(precedes(overdue, { ...overdue, objectiveAt: 1 }));
});

test('the overload of one team does not change the positions of other teams', (t) => {
  const late: OrderingKey = { ...ORDERING_KEY, punctuality: 'late', objectiveAt: 100 };
  const newer = { ...ORDERING_KEY, objectiveAt: 2_000 };
  const other = { ...ORDERING_KEY, groupId: 'clerks/entries', objectiveAt: 1_500 };
  const behind = { ...ORDERING_KEY, groupId: 'mills/sorts', weightedShare: 0.5 };
  const ordered = orderSteps([behind, newer, other, late].map((order) => ({ order })));
  t.deepEqual(
    ordered.map(({ order }) => order),
    [newer, other, late, behind],
  );
});

test('an overdue step waits for the steps of other teams that are of use to their callers', (t) => {
  const overdue: OrderingKey = { ...ORDERING_KEY, punctuality: 'overdue', objectiveAt: 0 };
  const other = { ...ORDERING_KEY, groupId: 'mills/sorts', weightedShare: 0.5 };
  t.true(precedes(other, overdue));
  t.true(precedes({ ...other, punctuality: 'late' }, overdue));
  t.true(precedes(overdue, { ...other, priority: 2 }));
});

test('a step is late past its objective, and overdue past three times its objective', (t) => {
  const judge = (ageMilliseconds: number) =>
    judgePunctuality({ ageMilliseconds, objectiveMilliseconds: 1_000, remainingMilliseconds: 200 });
  t.deepEqual([0, 800, 801, 2_800, 2_801].map(judge), [
    'on-time',
    'on-time',
    'late',
    'late',
    'overdue',
  ]);
});

type Sorter = (steps: { sentAt: number; order: OrderingKey }[]) => { sentAt: number }[];

/**
 * Simulates a team that submits jobs of 100 ms to a single slot at twice the rate that the slot can run, for 20 s.
 *
 * @returns number of jobs that were complete within their objective
 */
function simulateOverload(sort: Sorter): number {
  const objective = { objectiveMilliseconds: 500, remainingMilliseconds: 100 };
  let waiting: number[] = [];
  let punctual = 0;
  for (let now = 0; now < 20_000; now += 100) {
    waiting.push(now, now);
    const steps = waiting.map((sentAt) => ({
      sentAt,
      order: {
        ...ORDERING_KEY,
        punctuality: judgePunctuality({ ageMilliseconds: now - sentAt, ...objective }),
        objectiveAt: sentAt + objective.objectiveMilliseconds,
        remainingMilliseconds: objective.remainingMilliseconds,
      },
    }));
    const { sentAt } = sort(steps)[0]!;
    waiting = waiting.toSpliced(waiting.indexOf(sentAt), 1);
    if (now + 100 - sentAt <= objective.objectiveMilliseconds) punctual += 1;
  }
  return punctual;
}

test('under overload nearly all slots serve steps on time, whereas least slack first serves hardly any', (t) => {
  const bySlack = simulateOverload((steps) =>
    steps.sort((left, right) => left.order.objectiveAt - right.order.objectiveAt),
  );
  t.true(bySlack < 20, `${bySlack} of 200`);
  const ordered = simulateOverload((steps) => orderSteps(steps));
  t.true(ordered > 180, `${ordered} of 200`);
});
