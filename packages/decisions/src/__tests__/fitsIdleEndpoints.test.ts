import test from 'ava';

import { fitsIdleEndpoints } from '../core/fitsIdleEndpoints.js';

const CAPACITY = { processors: 8, memoryBytes: 100, accelerators: 2 };
const RESOURCES = { processors: 3, memoryBytes: 10, accelerators: 0 };

test('tasks fit on idle endpoints as often as the scarcest dimension and the limit per endpoint allow', (t) => {
  const capacities = [CAPACITY, CAPACITY];
  const taskSize = { resources: RESOURCES, maximumPerEndpoint: 0 };
  t.true(fitsIdleEndpoints(capacities, taskSize, 4));
  t.false(fitsIdleEndpoints(capacities, taskSize, 5));
  t.false(fitsIdleEndpoints(capacities, { ...taskSize, maximumPerEndpoint: 1 }, 3));
  const large = { ...RESOURCES, memoryBytes: 51 };
  t.false(fitsIdleEndpoints(capacities, { ...taskSize, resources: large }, 3));
  t.false(fitsIdleEndpoints([], taskSize, 1));
  const small = { ...RESOURCES, processors: 0.1 };
  const third = { ...CAPACITY, processors: 0.3 };
  t.true(fitsIdleEndpoints([third], { ...taskSize, resources: small }, 3));
});

test('tasks that no endpoint can run do not fit, however many endpoints there are', (t) => {
  const capacities = Array.from({ length: 9 }, () => CAPACITY);
  const resources = { ...RESOURCES, accelerators: 3 };
  t.false(fitsIdleEndpoints(capacities, { resources, maximumPerEndpoint: 0 }, 1));
});
