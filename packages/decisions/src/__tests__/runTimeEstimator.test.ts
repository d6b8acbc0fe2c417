import test from 'ava';
import fc from 'fast-check';

import { createRunTimeEstimator } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const DECLARED = { processors: 2, memoryBytes: 1_000, accelerators: 1 };
const sample = (runMilliseconds: number, processors: number) => ({
  team: 'alder',
  queue: 'sorts',
  runMilliseconds,
  peak: { ...DECLARED, processors },
});

test('the declared run time counts until enough executions were seen', (t) => {
  const estimator = createRunTimeEstimator();
  for (let index = 0; index < 4; index += 1) estimator.recordExecution(sample(9_000, 1));
  t.is(estimator.estimateRunMilliseconds('alder', 'sorts', 500), 500);
  estimator.recordExecution(sample(9_000, 1));
  t.is(estimator.estimateRunMilliseconds('alder', 'sorts', 500), 9_000);
  t.is(estimator.estimateRunMilliseconds('alder', 'other', 500), 500);
  t.is(estimator.estimateRunMilliseconds('birch', 'sorts', 500), 500);
});

test('one execution that hangs does not spoil the estimated run time', (t) => {
  const estimator = createRunTimeEstimator();
  for (let index = 0; index < 20; index += 1) estimator.recordExecution(sample(100, 1));
  estimator.recordExecution(sample(1e9, 1));
  t.is(estimator.estimateRunMilliseconds('alder', 'sorts', 500), 100);
});

test('a changed workload replaces what was learnt', (t) => {
  const estimator = createRunTimeEstimator();
  for (let index = 0; index < 200; index += 1) estimator.recordExecution(sample(100, 1));
  for (let index = 0; index < 64; index += 1) estimator.recordExecution(sample(700, 1));
  t.is(estimator.estimateRunMilliseconds('alder', 'sorts', 500), 700);
});

test('the charged size is never below the declared one, whatever was seen', (t) => {
  fc.assert(
    fc.property(fc.array(fc.tuple(fc.boolean(), fc.nat(8)), { maxLength: 100 }), (samples) => {
      const estimator = createRunTimeEstimator();
      samples.forEach(([isEnded, processors]) => {
        const { peak, ...rest } = sample(100, processors);
        if (isEnded) estimator.recordExecution({ ...rest, peak });
        else estimator.recordUsage({ ...rest, used: peak });
      });
      const charge = estimator.estimateCharge('alder', 'sorts', DECLARED);
      return (
        charge.processors >= DECLARED.processors &&
        charge.memoryBytes >= DECLARED.memoryBytes &&
        charge.accelerators >= DECLARED.accelerators
      );
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('tasks that use more than declared are charged what they use', (t) => {
  const estimator = createRunTimeEstimator();
  for (let index = 0; index < 20; index += 1) estimator.recordExecution(sample(100, 3));
  t.is(estimator.estimateCharge('alder', 'sorts', DECLARED).processors, 3);
});

test('usage that lags behind the peak does not lower what was learnt', (t) => {
  const estimator = createRunTimeEstimator();
  for (let index = 0; index < 20; index += 1) estimator.recordExecution(sample(100, 3));
  for (let index = 0; index < 200; index += 1) {
    estimator.recordUsage({
      team: 'alder',
      queue: 'sorts',
      used: { ...DECLARED, processors: 0.1 },
    });
  }
  t.is(estimator.estimateUsage('alder', 'sorts', DECLARED).processors, 3);
});
