import { createManualClock } from '@chicorybend/common';
import test from 'ava';

import { createAuthority } from '../core/authority.js';

test('a lapsed session ends the right to act even if nothing ran in between (paused owner)', (t) => {
  const clock = createManualClock();
  const authority = createAuthority(clock);
  authority.setVoters(1, ['b', 'c'], 2);
  authority.recordSessionRenewal(clock.monotonicMilliseconds());
  t.true(authority.mayAct());
  clock.advance(2_499);
  t.true(authority.mayAct());
  clock.advance(1);
  t.false(authority.mayAct());
});

test('a renewal counts from its sending, not from its answer (slow store)', (t) => {
  const clock = createManualClock();
  const authority = createAuthority(clock);
  const sentAt = clock.monotonicMilliseconds();
  clock.advance(2_400);
  authority.recordSessionRenewal(sentAt);
  t.true(authority.mayAct());
  clock.advance(100);
  t.false(authority.mayAct());
});

test('votes of a majority keep the right to act during an outage of the store, without a gap', (t) => {
  const clock = createManualClock();
  const authority = createAuthority(clock);
  authority.setVoters(1, ['b', 'c', 'd', 'e', 'f'], 4);
  authority.recordSessionRenewal(clock.monotonicMilliseconds());
  const { generation } = authority;
  const before = generation();
  for (let round = 0; round < 20; round += 1) {
    clock.advance(500);
    ['b', 'c', 'd'].forEach((id) => authority.recordVote(id, clock.monotonicMilliseconds()));
    t.true(authority.mayAct());
  }
  t.is(generation(), before);
});

test('a minority of votes does not keep the right to act', (t) => {
  const clock = createManualClock();
  const authority = createAuthority(clock);
  authority.setVoters(1, ['b', 'c', 'd', 'e', 'f'], 4);
  authority.recordSessionRenewal(clock.monotonicMilliseconds());
  for (let round = 0; round < 6; round += 1) {
    clock.advance(500);
    ['b', 'c'].forEach((id) => authority.recordVote(id, clock.monotonicMilliseconds()));
  }
  t.false(authority.mayAct());
});

test('a right that came back after a lapse starts a new generation (ownership must be claimed again)', (t) => {
  const clock = createManualClock();
  const authority = createAuthority(clock);
  authority.setVoters(1, ['b'], 2);
  authority.recordSessionRenewal(clock.monotonicMilliseconds());
  const before = authority.generation();
  clock.advance(2_600);
  authority.recordSessionRenewal(clock.monotonicMilliseconds());
  t.true(authority.mayAct());
  t.is(authority.generation(), before + 1);
});

test('votes for an earlier version of the membership do not carry over', (t) => {
  const clock = createManualClock();
  const authority = createAuthority(clock);
  authority.setVoters(1, ['b', 'c'], 2);
  authority.recordVote('b', clock.monotonicMilliseconds());
  authority.setVoters(2, ['b', 'c', 'd'], 3);
  clock.advance(2_400);
  authority.recordVote('c', clock.monotonicMilliseconds());
  clock.advance(100);
  t.false(authority.mayAct());
});
