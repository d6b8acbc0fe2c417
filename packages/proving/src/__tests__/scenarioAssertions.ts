import type { ExecutionContext } from 'ava';

import { readExample, runSoak } from '../index.js';
import { SCENARIO_MILLISECONDS } from '../core/scenarios.js';
import type { Scenario } from '../core/scenarios.js';

const SEED = 1;

/** Asserts that a fault scenario on six daemon processes violates no check and that each kind of work is served. */
export async function assertPromisesHold(t: ExecutionContext, scenario: Scenario): Promise<void> {
  t.timeout(240_000);
  const outcome = await runSoak({
    example: readExample('coldline'),
    seed: SEED,
    durationMilliseconds: SCENARIO_MILLISECONDS,
    faults: scenario.faults,
    report: () => {},
  });
  t.deepEqual(
    outcome.checks.flatMap(({ violations }) => violations),
    [],
  );
  t.deepEqual(outcome.failures, []);
  outcome.rows.forEach((row) => t.true(row.done > 0, `no ${row.kind} work was completed`));
}
