import { createFailure } from '@chicorybend/common';
import type { FailureCode } from '@chicorybend/common';
import test from 'ava';

import { createCallAttempts } from '../core/callAttempts.js';
import type { CallerAnswer } from '../types/caller.js';

const OWNER = 1;
const LATER_OWNER = 1_000_001;

function refuse(code: FailureCode, isWithoutEffect?: boolean): CallerAnswer {
  const refusal = { kind: 'failed', failure: createFailure(code) } as const;
  return isWithoutEffect === undefined ? refusal : { ...refusal, isWithoutEffect };
}

function describe(answer: CallerAnswer | null): string | null {
  return answer?.kind === 'failed' ? answer.failure.code : (answer?.kind ?? null);
}

test('a refusal of the first attempt is final', (t) => {
  const attempts = createCallAttempts({ action: 'submit' });
  t.is(describe(attempts.record(refuse('wrong-key'), OWNER)), 'wrong-key');
});

test('a request is repeated while there is no owner, and was not run when its time is up', (t) => {
  const attempts = createCallAttempts({ action: 'submit' });
  t.is(attempts.record('not-sent', -Infinity), null);
  t.is(attempts.record(refuse('not-ready'), OWNER), null);
  t.is(attempts.record(refuse('not-owner'), OWNER), null);
  t.is(describe(attempts.timeoutAnswer()), 'no-owner');
});

// Told that the request has not run, the caller would give up a job that runs.
test('after an unanswered attempt, a refusal is final only if a later owner rules out that it took effect', (t) => {
  const cases: [CallerAnswer, number, string | null][] = [
    [refuse('wrong-key', true), LATER_OWNER, 'wrong-key'],
    [refuse('over-limit', true), LATER_OWNER, 'over-limit'],
    [refuse('wrong-key', false), LATER_OWNER, 'acceptance-unknown'],
    [refuse('configuration-not-fresh', false), LATER_OWNER, 'acceptance-unknown'],
    // An owner of an earlier build does not tell.
    [refuse('wrong-key'), LATER_OWNER, 'acceptance-unknown'],
    // The earlier attempt may arrive at the same owner after this one.
    [refuse('wrong-key', true), OWNER, 'acceptance-unknown'],
    [refuse('over-limit', true), OWNER, null],
  ];
  cases.forEach(([refusal, epoch, expected]) => {
    const attempts = createCallAttempts({ action: 'submit' });
    t.is(attempts.record('lost', OWNER), null);
    t.is(describe(attempts.record(refusal, epoch)), expected, describe(refusal)!);
  });
});

test('an attempt whose effect its owner does not know counts as unanswered', (t) => {
  const attempts = createCallAttempts({ action: 'cancel' });
  t.is(attempts.record(refuse('acceptance-unknown'), OWNER), null);
  t.true(attempts.mayHaveTakenEffect());
  t.is(describe(attempts.record(refuse('wrong-key', false), LATER_OWNER)), 'acceptance-unknown');
  t.is(describe(attempts.timeoutAnswer()), 'acceptance-unknown');
});

test('a refusal to read a state is final, because reading takes no effect', (t) => {
  const attempts = createCallAttempts({ action: 'status' });
  t.is(attempts.record('lost', OWNER), null);
  t.is(describe(attempts.record(refuse('wrong-key', false), LATER_OWNER)), 'wrong-key');
});

test('an acceptance by a later owner answers the unanswered attempt as well', (t) => {
  const attempts = createCallAttempts({ action: 'submit' });
  t.is(attempts.record('lost', OWNER), null);
  t.is(describe(attempts.record({ kind: 'accepted' }, LATER_OWNER)), 'accepted');
});
