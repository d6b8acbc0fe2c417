import test from 'ava';

import {
  boundFormerWidenedLeases,
  boundWidenedLeasesByAge,
  isReplacementNoticed,
} from '../core/leaseBounds.js';

const DURATIONS = { requested: 6_400, longest: 10_500, late: 22_500 };
const STARTED_AT = 100_000;

test('the age of an incarnation ends the bound on its widened leases', (t) => {
  t.is(boundWidenedLeasesByAge(STARTED_AT, 1_000, DURATIONS), STARTED_AT + 26_700);
  t.true(boundWidenedLeasesByAge(STARTED_AT, 60_000, DURATIONS) < STARTED_AT);
});

test('a new owner assumes the longest lease of a late order unless a former one has stored when it ends', (t) => {
  const latest = STARTED_AT + DURATIONS.late;
  t.is(boundFormerWidenedLeases(STARTED_AT, null, DURATIONS), latest);
  t.is(boundFormerWidenedLeases(STARTED_AT, STARTED_AT + 60_000, DURATIONS), latest);
  t.is(boundFormerWidenedLeases(STARTED_AT, STARTED_AT + 1_000, DURATIONS), STARTED_AT + 3_500);
});

test('a run that was recorded long ago is in the recorded incarnation', (t) => {
  t.false(isReplacementNoticed(STARTED_AT, null, DURATIONS));
  t.false(isReplacementNoticed(STARTED_AT, STARTED_AT - 2_000, DURATIONS));
  t.false(isReplacementNoticed(STARTED_AT, STARTED_AT - 23_700, DURATIONS));
  t.true(isReplacementNoticed(STARTED_AT, STARTED_AT - 23_800, DURATIONS));
});
