import test from 'ava';

import { planLongFault, readExample, runSoak } from '../index.js';
import type { LongFaultName } from '../index.js';

const SEED = 1;
const TIMES = { before: 4_000, during: 11_000, after: 5_000 };
/** Weaker than the bounds of the soak, because requests miss deadlines on a busy machine even without a fault. */
const BUSY_MACHINE = { answeredPart: 0.5, resumesWithinMilliseconds: 15_000 };

/**
 * Guards against work that stops, or does not resume, when a fault outlasts sessions, votes and takeovers. The soak
 * program runs the same faults for minutes.
 */
async function runShortly(name: LongFaultName) {
  const { expectations, ...plan } = planLongFault(name, TIMES);
  const answeredPart = Math.min(expectations.answeredPart, BUSY_MACHINE.answeredPart);
  return runSoak({
    example: readExample('coldline'),
    seed: SEED,
    ...plan,
    expectations: { ...expectations, ...BUSY_MACHINE, answeredPart },
    report: () => {},
  });
}

(['store-outage', 'data-centre-cut-off'] as const).forEach((name) => {
  test(`work continues as promised during a long fault and resumes after it: ${name}`, async (t) => {
    t.timeout(240_000);
    const { checks, failures, window } = await runShortly(name);
    t.deepEqual(failures, [], JSON.stringify(window));
    t.deepEqual(
      checks.flatMap(({ violations }) => violations),
      [],
    );
  });
});
