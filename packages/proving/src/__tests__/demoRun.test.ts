import { fileURLToPath } from 'node:url';

import test from 'ava';

import { readExample, runDemo } from '../index.js';

const PROGRAM = fileURLToPath(new URL('./stubDaemon.js', import.meta.url));

test('the demo counts the work of each kind from the record and violates no promise', async (t) => {
  const example = readExample('coldline');
  const plan = { ...example.plan, daemons: example.plan.daemons.slice(0, 2) };
  const outcome = await runDemo({
    example: { ...example, plan },
    program: PROGRAM,
    report: () => {},
  });
  t.deepEqual(
    outcome.rows.map(({ kind, submitted, done }) => ({ kind, missing: submitted - done })),
    [
      { kind: 'interactive, idempotent', missing: 1 },
      { kind: 'interactive, non-idempotent', missing: 0 },
      { kind: 'batch', missing: 0 },
      { kind: 'gang', missing: 0 },
      { kind: 'service', missing: 0 },
    ],
  );
  t.true(outcome.rows.every(({ executions, done }) => executions >= done));
  t.deepEqual(outcome.failures, []);
  t.deepEqual(
    outcome.checks.flatMap(({ violations }) => violations),
    [],
  );
});
