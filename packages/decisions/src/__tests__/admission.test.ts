import test from 'ava';
import fc from 'fast-check';

import { createAdmissionController } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

test('a request is admitted exactly if its expected wait and service end before the deadline', (t) => {
  fc.assert(
    fc.property(
      fc.nat(500),
      fc.integer({ min: 1, max: 64 }),
      fc.nat(2_000),
      (queued, slots, left) => {
        const verdict = createAdmissionController({ initialServiceMilliseconds: 20 }).decide(
          queued,
          slots,
          left,
        );
        const expected = (queued * 20) / slots + 20;
        if (verdict.kind === 'refuse' && !(verdict.retryAfterMilliseconds >= 1)) return false;
        return (verdict.kind === 'admit') === expected <= left;
      },
    ),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('without a slot every request is refused, with a finite time to come back', (t) => {
  const verdict = createAdmissionController({ initialServiceMilliseconds: 20 }).decide(
    0,
    0,
    10_000,
  );
  t.deepEqual(verdict, { kind: 'refuse', retryAfterMilliseconds: 20 });
});

test('a slower endpoint is learnt, so that requests are refused before they wait in vain', (t) => {
  const admission = createAdmissionController({ initialServiceMilliseconds: 20 });
  t.is(admission.decide(8, 8, 50).kind, 'admit');
  for (let index = 0; index < 50; index += 1) admission.recordServiceTime(200);
  t.true(admission.expectedServiceMilliseconds() > 190);
  t.is(admission.decide(8, 8, 50).kind, 'refuse');
  admission.recordServiceTime(Number.NaN);
  t.true(Number.isFinite(admission.expectedServiceMilliseconds()));
});
