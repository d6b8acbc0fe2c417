import test from 'ava';

import { createLoopLateness, decideShedding } from '../index.js';

const CALL = { sentAt: 1_000, waitMilliseconds: 0, timeoutMilliseconds: 250 };

test('a missing answer shows no silence if the process was late when the time-out passed, or for half of it', (t) => {
  const lateness = createLoopLateness();
  t.true(lateness.isSilenceShown({ ...CALL, endedAt: 1_250 }));
  t.false(lateness.isSilenceShown({ ...CALL, endedAt: 1_300 }), 'the time-out was handled late');
  lateness.recordWakeUp(1_050, 1_100);
  t.true(lateness.isSilenceShown({ ...CALL, endedAt: 1_251 }), 'late for a fifth of the time');
  lateness.recordWakeUp(1_080, 1_200);
  t.false(lateness.isSilenceShown({ ...CALL, endedAt: 1_251 }), 'late for more than half of it');
  t.true(lateness.isSilenceShown({ ...CALL, endedAt: 1_200 }), 'the connection ended');
});

test('overlapping wake-ups count once, and the lateness of the last second does not outlast it', (t) => {
  const lateness = createLoopLateness();
  lateness.recordWakeUp(100, 400);
  lateness.recordWakeUp(300, 500);
  lateness.recordWakeUp(600, 615);
  t.is(lateness.lateMilliseconds(0, 1_000), 400);
  t.is(lateness.lateShare(1_000), 0.4);
  t.is(lateness.sustainedShare(1_000), 0.2);
  t.is(lateness.lateShare(1_600), 0);
});

test('optional work is left out before new jobs, and a single stall refuses no job', (t) => {
  const levelOf = (lateShare: number, sustainedShare: number, commitMilliseconds = 20) =>
    decideShedding({ lateShare, sustainedShare, commitMilliseconds });
  t.is(levelOf(0.2, 0.2, 500), 'nothing', 'the store is slow');
  t.is(levelOf(0.4, 0.4, 500), 'optional-work');
  t.is(levelOf(0.8, 0.4), 'optional-work', 'a single stall');
  t.is(levelOf(0.8, 0.4, 60), 'new-jobs', 'commits are delayed');
  t.is(levelOf(0.5, 0.5), 'new-jobs', 'for two seconds');
});
