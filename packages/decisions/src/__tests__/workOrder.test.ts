import test from 'ava';

import { compareWork, judgePunctuality } from '../core/workOrder.js';
import type { OrderedWork } from '../core/workOrder.js';

const WORK: OrderedWork = {
  priority: 1,
  punctuality: 'on-time',
  objectiveAt: 1_000,
  remainingMilliseconds: 0,
  weightedShare: 0,
};

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

test('late work waits for work of the same share that can be on time, overdue work for all other', (t) => {
  const late: OrderedWork = { ...WORK, punctuality: 'late', objectiveAt: 0 };
  t.true(compareWork(WORK, late) < 0);
  t.true(compareWork(late, { ...WORK, weightedShare: 1 }) < 0);
  const overdue: OrderedWork = { ...WORK, priority: 0, punctuality: 'overdue', objectiveAt: 0 };
  t.true(compareWork(late, overdue) < 0);
  t.true(compareWork(overdue, { ...overdue, objectiveAt: 1 }) < 0);
});

test('work is late past its objective, and overdue past three times that', (t) => {
  const judge = (ageMilliseconds: number) =>
    judgePunctuality({ ageMilliseconds, objectiveMilliseconds: 1_000, remainingMilliseconds: 200 });
  t.deepEqual([0, 900, 901, 2_900, 2_901].map(judge), [
    'on-time',
    'on-time',
    'late',
    'late',
    'overdue',
  ]);
});

/** Plays a team that sends jobs of 100 ms at twice the rate that one place can run, for 20 s. */
function playFlood(order: (left: OrderedWork, right: OrderedWork) => number): number {
  const objective = { objectiveMilliseconds: 500, remainingMilliseconds: 100 };
  let waiting: number[] = [];
  let punctual = 0;
  for (let now = 0; now < 20_000; now += 100) {
    waiting.push(now, now);
    const works = waiting.map((sentAt) => ({
      sentAt,
      ...WORK,
      punctuality: judgePunctuality({ ageMilliseconds: now - sentAt, ...objective }),
      objectiveAt: sentAt + objective.objectiveMilliseconds,
      remainingMilliseconds: objective.remainingMilliseconds,
    }));
    const [first] = works.sort(order);
    waiting = waiting.toSpliced(waiting.indexOf(first!.sentAt), 1);
    if (now + 100 - first!.sentAt <= objective.objectiveMilliseconds) punctual += 1;
  }
  return punctual;
}

test('a flood serves on time nearly all that has room, which the least time to spare alone does not', (t) => {
  const bySlack = playFlood((left, right) => left.objectiveAt - right.objectiveAt);
  t.true(bySlack < 20, `${bySlack} of 200`);
  const byPunctuality = playFlood(compareWork);
  t.true(byPunctuality > 180, `${byPunctuality} of 200`);
});
