import test from 'ava';

import { SINGLE_SCENARIOS } from '../core/scenarios.js';
import { assertPromisesHold } from './scenarioAssertions.js';

SINGLE_SCENARIOS.forEach((scenario) => {
  test.serial(`every promise holds under: ${scenario.name}`, (t) =>
    assertPromisesHold(t, scenario),
  );
});
