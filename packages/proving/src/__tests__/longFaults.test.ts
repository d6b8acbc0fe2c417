import test from 'ava';

import { planLongFault, readExample, runSoak } from '../index.js';
import type { LongFaultName } from '../index.js';

const SEED = 1;
const TIMES = { before: 4_000, during: 11_000, after: 5_000 };
/** Less than the soak asks for: on a busy machine requests miss their deadlines without any fault. */
const BUSY_MACHINE = { answeredPart: 0.5, resumesWithinMilliseconds: 15_000 };

/** Guards what must go on while a fault outlasts sessions, votes and takeovers; the soak runs minutes of it. */
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
  test(`work goes on as promised and resumes: ${name}`, async (t) => {
    t.timeout(240_000);
    const { checks, failures, window } = await runShortly(name);
    t.deepEqual(failures, [], JSON.stringify(window));
    t.deepEqual(
      checks.flatMap(({ violations }) => violations),
      [],
    );
  });
});
