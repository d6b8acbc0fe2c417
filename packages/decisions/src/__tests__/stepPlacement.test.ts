import test from 'ava';

import { chooseEndpointsForAdvice } from '../core/chooseEndpointsForAdvice.js';
import { chooseEndpoint } from '../core/chooseEndpoint.js';

const CANDIDATE = {
  endpointId: 'a',
  rack: 'r1',
  capacity: { processors: 8, memoryBytes: 100, accelerators: 1 },
  used: { processors: 6, memoryBytes: 10, accelerators: 0 },
  stepTaskCount: 0,
  fillingTaskCount: 0,
  servingTaskCount: 0,
  slowness: 1,
};
const REQUEST = {
  resources: { processors: 2, memoryBytes: 10, accelerators: 0 },
  preferredRacks: [] as string[],
  maximumPerEndpoint: 0,
  isFilling: false,
  isServing: false,
  isUrgent: false,
};

test('a task goes only where it fits in every dimension', (t) => {
  t.is(chooseEndpoint([CANDIDATE], REQUEST)?.endpointId, 'a');
  const dimensions = [
    { processors: 2.001, memoryBytes: 10, accelerators: 0 },
    { processors: 2, memoryBytes: 91, accelerators: 0 },
    { processors: 2, memoryBytes: 10, accelerators: 2 },
  ];
  dimensions.forEach((resources) => {
    t.is(chooseEndpoint([CANDIDATE], { ...REQUEST, resources }), null);
  });
});

test('the tightest fit is chosen, unless the data is elsewhere', (t) => {
  const empty = {
    ...CANDIDATE,
    endpointId: 'b',
    rack: 'r2',
    used: { ...CANDIDATE.used, processors: 0 },
  };
  t.is(chooseEndpoint([empty, CANDIDATE], REQUEST)?.endpointId, 'a');
  t.is(chooseEndpoint([empty, CANDIDATE], { ...REQUEST, preferredRacks: ['r2'] })?.endpointId, 'b');
});

test('the number of tasks on one endpoint is bounded', (t) => {
  const full = { ...CANDIDATE, stepTaskCount: 2 };
  t.is(chooseEndpoint([full], { ...REQUEST, maximumPerEndpoint: 2 }), null);
  t.is(chooseEndpoint([full], { ...REQUEST, maximumPerEndpoint: 3 })?.endpointId, 'a');
});

test('filling tasks never join serving ones, and serving ones join filling ones last', (t) => {
  const serving = { ...CANDIDATE, servingTaskCount: 1 };
  t.is(chooseEndpoint([serving], { ...REQUEST, isFilling: true }), null);
  const filled = { ...CANDIDATE, fillingTaskCount: 1 };
  const other = { ...CANDIDATE, endpointId: 'b', used: { ...CANDIDATE.used, processors: 0 } };
  t.is(chooseEndpoint([filled, other], { ...REQUEST, isServing: true })?.endpointId, 'b');
  t.is(chooseEndpoint([filled], { ...REQUEST, isServing: true })?.endpointId, 'a');
});

test('urgent tasks take the fastest endpoint, others leave it free, and nobody prefers an unsound one', (t) => {
  const free = { ...CANDIDATE, used: { ...CANDIDATE.used, processors: 0 } };
  const candidates = [
    { ...free, endpointId: 'fast', slowness: 0.8 },
    { ...CANDIDATE, endpointId: 'usual' },
    { ...CANDIDATE, endpointId: 'slow', slowness: 1.25 },
    { ...CANDIDATE, endpointId: 'unsound', slowness: 4 },
  ];
  t.is(chooseEndpoint(candidates, { ...REQUEST, isUrgent: true })?.endpointId, 'fast');
  t.is(chooseEndpoint(candidates, REQUEST)?.endpointId, 'slow');
  t.is(chooseEndpoint([candidates[3]!, candidates[0]!], REQUEST)?.endpointId, 'fast');
});

test('a call for advice names as many endpoints as half of its time allows, with room and speed first', (t) => {
  const candidates = Array.from({ length: 200 }, (_, index) => ({
    ...CANDIDATE,
    endpointId: `${index}`,
    used: index % 2 === 0 ? CANDIDATE.capacity : CANDIDATE.used,
    slowness: 1 + index / 1_000,
  }));
  const times = { callMilliseconds: 600, endpointMilliseconds: 6 };
  const chosen = chooseEndpointsForAdvice(candidates, REQUEST, times);
  t.deepEqual(
    chosen.map(({ endpointId }) => Number(endpointId)),
    Array.from({ length: 50 }, (_, index) => 2 * index + 1),
  );
  t.is(
    chooseEndpointsForAdvice(candidates, REQUEST, { ...times, endpointMilliseconds: 0 }).length,
    200,
  );
  t.is(chooseEndpointsForAdvice(candidates.slice(0, 40), REQUEST, times).length, 40);
});
