import test from 'ava';

import { DOUBLE_SCENARIOS } from '../core/scenarios.js';
import { assertPromisesHold } from './scenarioAssertions.js';

DOUBLE_SCENARIOS.forEach((scenario) => {
  test.serial(`every promise holds under: ${scenario.name}`, (t) =>
    assertPromisesHold(t, scenario),
  );
});
