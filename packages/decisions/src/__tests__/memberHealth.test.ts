import test from 'ava';

import { createMemberHealth } from '../core/memberHealth.js';

test('a member that fails is suspect until it answers, and is tried again at growing intervals', (t) => {
  const health = createMemberHealth({ minimumMilliseconds: 100, maximumMilliseconds: 1_000 });
  t.false(health.isSuspect());
  const retries = [100, 200, 400, 800, 1_000, 1_000];
  retries.forEach((delay) => {
    health.recordFailure(0);
    t.true(health.isSuspect());
    t.false(health.isRetryDue(delay - 1));
    t.true(health.isRetryDue(delay));
  });
  health.recordAnswer(5_000);
  t.false(health.isSuspect());
  t.is(health.failuresInRow(), 0);
  health.recordFailure(6_000);
  t.true(health.isRetryDue(6_100));
});

test('only an answer since a time proves a member, and an overdue call takes that back', (t) => {
  const health = createMemberHealth({ minimumMilliseconds: 100, maximumMilliseconds: 1_000 });
  t.false(health.isProvenSince(0));
  health.recordAnswer(10);
  t.true(health.isProvenSince(10));
  t.false(health.isProvenSince(11));
  health.recordOverdue();
  t.true(health.isSuspect());
  t.false(health.isProvenSince(10));
});
