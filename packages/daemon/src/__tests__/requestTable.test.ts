import test from 'ava';
import fc from 'fast-check';
import { v7 } from 'uuid';

import { createFailure, createManualClock, Err, Ok } from '@chicorybend/common';
import type { ManualClock } from '@chicorybend/common';

import { createRequestTable } from '../core/requestTable.js';
import type {
  RequestTableHandover,
  RequestOutcome,
  RequestTable,
  DeduplicationResult,
} from '../core/requestTable.js';

const ANSWER: RequestOutcome = Ok({ requestId: 'r', endpointId: 'e', result: 1 });
const MINUTE_MILLISECONDS = 60_000;

function createTable(
  clock: ManualClock,
  options: Partial<Parameters<typeof createRequestTable>[0]> = {},
): RequestTable {
  return createRequestTable({ clock, handedOver: null, formerOwnerStoppedAt: null, ...options });
}

function keyAt(clock: ManualClock, offsetMilliseconds = 0): string {
  return v7({ msecs: clock.wallMilliseconds() + offsetMilliseconds });
}

function begin(table: RequestTable, idempotencyKey: string, bodyHash = 'h'): DeduplicationResult {
  return table.begin({ team: 'bench', idempotencyKey, bodyHash });
}

function settle(verdict: DeduplicationResult, outcome: RequestOutcome): void {
  if (verdict.kind === 'first') verdict.settle(outcome);
}

function failureOf(verdict: DeduplicationResult): string | null {
  return verdict.kind === 'refused' ? verdict.failure.code : null;
}

function roundTripJson(handed: RequestTableHandover): RequestTableHandover {
  return JSON.parse(JSON.stringify(handed)) as RequestTableHandover;
}

test('a repeated key joins the first request in progress and gets its kept answer later', async (t) => {
  const clock = createManualClock();
  const table = createTable(clock);
  const key = keyAt(clock);
  const first = begin(table, key);
  const second = begin(table, key);
  t.is(first.kind, 'first');
  t.is(second.kind, 'joined');
  settle(first, ANSWER);
  if (second.kind === 'joined') t.deepEqual(await second.outcome, ANSWER);
  clock.advance(9 * MINUTE_MILLISECONDS);
  const third = begin(table, key);
  t.is(third.kind, 'joined');
  if (third.kind === 'joined') t.deepEqual((await third.outcome).unwrap(), ANSWER.unwrap());
});

test('a repeated key with another body is refused, in progress and after the end', (t) => {
  const clock = createManualClock();
  const table = createTable(clock);
  const key = keyAt(clock);
  const first = begin(table, key);
  t.is(failureOf(begin(table, key, 'other')), 'idempotency-key-reused');
  settle(first, ANSWER);
  t.is(failureOf(begin(table, key, 'other')), 'idempotency-key-reused');
});

test('the same key of another team is another request', (t) => {
  const clock = createManualClock();
  const table = createTable(clock);
  const idempotencyKey = keyAt(clock);
  t.is(begin(table, idempotencyKey).kind, 'first');
  t.is(table.begin({ team: 'quotes', idempotencyKey, bodyHash: 'x' }).kind, 'first');
});

test('a key whose request was not run may be tried again; one with an unknown outcome may not', async (t) => {
  const clock = createManualClock();
  const table = createTable(clock);
  const refused = keyAt(clock);
  settle(begin(table, refused), Err(createFailure('overloaded')));
  t.is(begin(table, refused).kind, 'first');
  const lost = keyAt(clock);
  settle(begin(table, lost), Err(createFailure('outcome-unknown')));
  const again = begin(table, lost);
  t.is(again.kind, 'joined');
  if (again.kind === 'joined') t.is((await again.outcome).unwrapErr().run, 'unknown');
});

test('keys that are too old or in the future are refused at the exact limits', (t) => {
  const clock = createManualClock();
  const table = createTable(clock);
  t.is(begin(table, keyAt(clock, 500)).kind, 'first');
  t.is(failureOf(begin(table, keyAt(clock, 501))), 'idempotency-key-in-future');
  t.is(begin(table, keyAt(clock, -10 * MINUTE_MILLISECONDS)).kind, 'first');
  t.is(
    failureOf(begin(table, keyAt(clock, -10 * MINUTE_MILLISECONDS - 1))),
    'idempotency-key-expired',
  );
});

test('a key is kept as long as it would be accepted as new', (t) => {
  const clock = createManualClock();
  const table = createTable(clock);
  const key = keyAt(clock, 500);
  settle(begin(table, key), ANSWER);
  clock.advance(10 * MINUTE_MILLISECONDS + 500);
  t.is(begin(table, key).kind, 'joined');
  clock.advance(501);
  begin(table, keyAt(clock));
  t.is(failureOf(begin(table, key)), 'idempotency-key-expired');
  t.is(table.size(), 1);
});

test('after a takeover a key that the former owner may have run is answered as unknown', (t) => {
  const clock = createManualClock();
  clock.advance(MINUTE_MILLISECONDS);
  const formerOwnerStoppedAt = clock.monotonicMilliseconds();
  const latestKey = keyAt(clock, 500);
  clock.advance(3_000);
  const table = createTable(clock, { formerOwnerStoppedAt });
  t.is(failureOf(begin(table, latestKey)), 'idempotency-key-expired');
  const verdict = begin(table, keyAt(clock, -5 * MINUTE_MILLISECONDS));
  t.is(verdict.kind === 'refused' && verdict.failure.run, 'unknown');
  t.is(begin(table, keyAt(clock)).kind, 'first');
});

test('a table that was handed over still knows answers, requests in progress and an earlier takeover', async (t) => {
  const clock = createManualClock();
  clock.advance(MINUTE_MILLISECONDS);
  const former = createTable(clock, { formerOwnerStoppedAt: clock.monotonicMilliseconds() });
  const beforeTakeover = keyAt(clock, -1_000);
  clock.advance(5_000);
  const [ended, running, refused] = [keyAt(clock), keyAt(clock), keyAt(clock)];
  settle(begin(former, ended), ANSWER);
  begin(former, running);
  settle(begin(former, refused), Err(createFailure('not-owner')));
  const next = createTable(clock, { handedOver: roundTripJson(former.handOver()) });
  const kept = begin(next, ended);
  if (kept.kind === 'joined') t.deepEqual((await kept.outcome).unwrap(), ANSWER.unwrap());
  else t.fail(kept.kind);
  const unknown = begin(next, running);
  if (unknown.kind === 'joined') t.is((await unknown.outcome).unwrapErr().run, 'unknown');
  else t.fail(unknown.kind);
  t.is(failureOf(begin(next, ended, 'other')), 'idempotency-key-reused');
  t.is(begin(next, refused).kind, 'first');
  t.is(failureOf(begin(next, beforeTakeover)), 'idempotency-key-expired');
});

test('a full table forgets its oldest keys and answers them as unknown', (t) => {
  const clock = createManualClock();
  const table = createTable(clock, { maximumKeys: 100 });
  const oldest = keyAt(clock);
  settle(begin(table, oldest), ANSWER);
  for (let index = 0; index < 1_000; index += 1) {
    clock.advance(200);
    settle(begin(table, keyAt(clock)), ANSWER);
    t.true(table.size() <= 100);
  }
  t.is(failureOf(begin(table, oldest)), 'idempotency-key-expired');
});

test('a table that is full of fresh keys refuses new ones instead of forgetting', (t) => {
  const clock = createManualClock();
  const table = createTable(clock, { maximumKeys: 10 });
  const keys = Array.from({ length: 10 }, () => keyAt(clock));
  keys.forEach((key) => settle(begin(table, key), ANSWER));
  t.is(failureOf(begin(table, keyAt(clock))), 'overloaded');
  t.true(keys.every((key) => begin(table, key).kind === 'joined'));
});

test('answers are forgotten with their keys when they take too much memory', (t) => {
  const clock = createManualClock();
  const table = createTable(clock, { maximumAnswerBytes: 10_000 });
  const large = Ok({ requestId: 'r', endpointId: 'e', result: 'x'.repeat(2_000) });
  const first = keyAt(clock);
  settle(begin(table, first), large);
  for (let index = 0; index < 20; index += 1) {
    clock.advance(11_000);
    settle(begin(table, keyAt(clock)), large);
  }
  t.true(table.size() <= 6);
  t.is(failureOf(begin(table, first)), 'idempotency-key-expired');
});

test('a handover of a large table is bounded; keys left out are answered as unknown', (t) => {
  const clock = createManualClock();
  const former = createTable(clock);
  const keys = Array.from({ length: 12_000 }, () => {
    clock.advance(1);
    const key = keyAt(clock);
    settle(begin(former, key), ANSWER);
    return key;
  });
  const handed = former.handOver();
  t.true(handed.entries.length <= 10_000);
  const next = createTable(clock, { handedOver: roundTripJson(handed) });
  t.true(keys.every((key) => begin(next, key).kind !== 'first'));
});

type Step =
  | { readonly kind: 'call'; readonly key: number }
  | { readonly kind: 'advance'; readonly milliseconds: number }
  | { readonly kind: 'handOver' }
  | { readonly kind: 'takeOver' };

const steps: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('call' as const), key: fc.nat(20) }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.integer({ min: 1, max: 120_000 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'handOver' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'takeOver' as const }) },
);

test('no key is run twice over any order of calls, time, handovers and takeovers', (t) => {
  fc.assert(
    fc.property(fc.array(steps, { maxLength: 80 }), (plan) => {
      const clock = createManualClock();
      const keys = new Map<number, string>();
      const runs = new Map<string, number>();
      let table = createTable(clock, { maximumKeys: 8 });
      plan.forEach((step) => {
        if (step.kind === 'advance') clock.advance(step.milliseconds);
        else if (step.kind === 'handOver') {
          table = createTable(clock, { maximumKeys: 8, handedOver: table.handOver() });
        } else if (step.kind === 'takeOver') {
          const formerOwnerStoppedAt = clock.monotonicMilliseconds();
          clock.advance(3_000);
          table = createTable(clock, { maximumKeys: 8, formerOwnerStoppedAt });
        } else {
          const key = keys.get(step.key) ?? keyAt(clock, (step.key % 5) * 125);
          keys.set(step.key, key);
          const verdict = begin(table, key);
          if (verdict.kind !== 'first') return;
          runs.set(key, (runs.get(key) ?? 0) + 1);
          verdict.settle(ANSWER);
        }
      });
      return [...runs.values()].every((count) => count === 1);
    }),
    { numRuns: 500 },
  );
  t.pass();
});
