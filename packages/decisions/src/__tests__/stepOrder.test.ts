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

/** @returns whether the first of two pieces of work comes first, however they are given */
function precedes(left: OrderingKey, right: OrderingKey, ...others: OrderingKey[]): boolean {
  return [
    [left, right],
    [right, left],
  ].every((pair) => {
    const ordered = orderSteps([...pair, ...others].map((order) => ({ order })));
    const position = (work: OrderingKey) => ordered.findIndex(({ order }) => order === work);
    return position(left) < position(right);
  });
}

test('order: priority, then the team below its share, then the least time to spare', (t) => {
  t.true(precedes({ ...ORDERING_KEY, priority: 0, weightedShare: 5 }, ORDERING_KEY));
  t.true(precedes(ORDERING_KEY, { ...ORDERING_KEY, weightedShare: 0.5, objectiveAt: 0 }));
  t.true(precedes({ ...ORDERING_KEY, remainingMilliseconds: 500 }, ORDERING_KEY));
  t.true(precedes({ ...ORDERING_KEY, weightedShare: 0.04, objectiveAt: 900 }, ORDERING_KEY));
});

test('where some work of a team is late, the newest that can be on time comes first', (t) => {
  const late: OrderingKey = { ...ORDERING_KEY, punctuality: 'late', objectiveAt: 100 };
  const newer = { ...ORDERING_KEY, objectiveAt: 2_000 };
  t.true(precedes(newer, ORDERING_KEY, late));
  t.true(precedes(ORDERING_KEY, late));
  const overdue: OrderingKey = { ...ORDERING_KEY, punctuality: 'overdue', objectiveAt: 0 };
  t.true(precedes(late, overdue));
  t.true(precedes(overdue, { ...overdue, objectiveAt: 1 }));
});

test('the flood of one team leaves the places of other teams as they are', (t) => {
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

test('work is late past its objective, and overdue past three times that', (t) => {
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

type Sorter = (works: { sentAt: number; order: OrderingKey }[]) => { sentAt: number }[];

/** Plays a team that sends jobs of 100 ms at twice the rate that one place can run, for 20 s. */
function simulateOverload(sort: Sorter): number {
  const objective = { objectiveMilliseconds: 500, remainingMilliseconds: 100 };
  let waiting: number[] = [];
  let punctual = 0;
  for (let now = 0; now < 20_000; now += 100) {
    waiting.push(now, now);
    const works = waiting.map((sentAt) => ({
      sentAt,
      order: {
        ...ORDERING_KEY,
        punctuality: judgePunctuality({ ageMilliseconds: now - sentAt, ...objective }),
        objectiveAt: sentAt + objective.objectiveMilliseconds,
        remainingMilliseconds: objective.remainingMilliseconds,
      },
    }));
    const { sentAt } = sort(works)[0]!;
    waiting = waiting.toSpliced(waiting.indexOf(sentAt), 1);
    if (now + 100 - sentAt <= objective.objectiveMilliseconds) punctual += 1;
  }
  return punctual;
}

test('a flood serves on time nearly all that has room, which the least time to spare does not', (t) => {
  const bySlack = simulateOverload((works) =>
    works.sort((left, right) => left.order.objectiveAt - right.order.objectiveAt),
  );
  t.true(bySlack < 20, `${bySlack} of 200`);
  const ordered = simulateOverload((works) => orderSteps(works));
  t.true(ordered > 180, `${ordered} of 200`);
});
