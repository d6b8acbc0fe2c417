import test from 'ava';

import { createReservationWindows } from '../index.js';

const STEP = 'a.0.0';
const INTERVAL_MILLISECONDS = 50;

/** @returns durations of the times in which the step may reserve room, and of those in which it may not, in turn */
function measureTurns(milliseconds: number): { reserved: number[]; paused: number[] } {
  const windows = createReservationWindows();
  const reserved: number[] = [];
  const paused: number[] = [];
  let wasReserved: boolean | null = null;
  for (let now = 0; now < milliseconds; now += INTERVAL_MILLISECONDS) {
    const isReserved = windows.scopeOf(STEP, now) !== 'nothing';
    const turns = isReserved ? reserved : paused;
    if (isReserved !== wasReserved) turns.push(0);
    turns[turns.length - 1]! += INTERVAL_MILLISECONDS;
    wasReserved = isReserved;
  }
  return { reserved, paused };
}

test('reservations become longer up to a bound, and other work has a turn between them', (t) => {
  const { reserved, paused } = measureTurns(120_000);
  t.deepEqual(reserved.slice(0, 4), [10_000, 20_000, 20_000, 20_000]);
  t.true(paused.every((milliseconds) => milliseconds >= 1_000));
});

test('a step that has started begins with a short reservation again', (t) => {
  const windows = createReservationWindows();
  t.is(windows.scopeOf(STEP, 0), 'tasks');
  t.is(windows.scopeOf(STEP, 10_100), 'nothing');
  t.is(windows.scopeOf(STEP, 11_100), 'endpoints');
  windows.forget(STEP);
  t.is(windows.scopeOf(STEP, 11_100), 'tasks');
  t.is(windows.scopeOf(STEP, 21_200), 'nothing');
});

test('the windows of steps do not depend on each other', (t) => {
  const windows = createReservationWindows();
  t.is(windows.scopeOf(STEP, 0), 'tasks');
  t.is(windows.scopeOf('b.0.0', 10_100), 'tasks');
  t.is(windows.scopeOf(STEP, 10_100), 'nothing');
});
