import test from 'ava';
import fc from 'fast-check';

import { canHost } from '../core/chooseEndpoint.js';
import { createUnmetRequirements } from '../core/unmetRequirements.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const amounts = fc.record({
  processors: fc.constantFrom(0, 0.5, 1, 2),
  memoryBytes: fc.constantFrom(0, 1, 2),
  accelerators: fc.constantFrom(0, 1),
});
const stepIds = fc.constantFrom(null, 'a', 'b');
const endpoints = fc.record({
  endpointId: fc.constant('e'),
  rack: fc.constant('r'),
  capacity: amounts,
  used: fc.constant({ processors: 0, memoryBytes: 0, accelerators: 0 }),
  stepTaskCount: fc.nat(2),
  fillingTaskCount: fc.constant(0),
  servingTaskCount: fc.nat(1),
  slowness: fc.constant(1),
  isKeptForUrgent: fc.boolean(),
  trialStepId: stepIds,
  reservedStepId: stepIds,
  isQuiet: fc.boolean(),
  workAtStake: fc.constant(0),
});
const trial = { stepId: 'a', maximumNewEndpoints: 1, isReservation: false };
const requirements = fc.record({
  resources: amounts,
  preferredRacks: fc.constant([]),
  keepsToRacks: fc.constant(false),
  maximumPerEndpoint: fc.nat(2),
  isFilling: fc.boolean(),
  isServing: fc.boolean(),
  isUrgent: fc.boolean(),
  isLongRunning: fc.boolean(),
  trial: fc.constantFrom(null, trial),
});

test('a task that an endpoint can host is not ruled out by others that none can', (t) => {
  let implied = 0;
  const property = fc.property(
    fc.array(endpoints, { maxLength: 3 }),
    fc.array(requirements, { maxLength: 12 }),
    (candidates, steps) => {
      const unmet = createUnmetRequirements();
      steps.forEach((step) => {
        const isMet = candidates.some((candidate) => canHost(candidate, step));
        if (unmet.isImplied(step)) {
          implied += 1;
          t.false(isMet);
        } else if (!isMet) unmet.record(step);
      });
    },
  );
  fc.assert(property, PROPERTY_PARAMETERS);
  t.true(implied > 0);
});
