import test from 'ava';

import { createUrgentHeadroom } from '../core/urgentHeadroom.js';

const ENDPOINTS = Array.from({ length: 20 }, (_, index) => ({
  endpointId: `e${index}`,
  processors: 10,
}));

test('the headroom follows the recent peak of the urgent demand', (t) => {
  const headroom = createUrgentHeadroom();
  t.is(headroom.choose({ urgentDemand: 0, inUse: 150, endpoints: ENDPOINTS }, 0).size, 0);
  t.is(headroom.choose({ urgentDemand: 40, inUse: 150, endpoints: ENDPOINTS }, 0).size, 5);
  t.is(
    headroom.choose({ urgentDemand: 0, inUse: 150, endpoints: ENDPOINTS }, 1_000).size,
    4,
    'the peak is remembered between bursts',
  );
  t.is(headroom.choose({ urgentDemand: 0, inUse: 150, endpoints: ENDPOINTS }, 60_000).size, 0);
});

test('at most a part of the endpoints is kept, whatever the demand', (t) => {
  t.is(
    createUrgentHeadroom().choose({ urgentDemand: 1e6, inUse: 150, endpoints: ENDPOINTS }, 0).size,
    8,
  );
});

test('a change of the demand keeps the endpoints chosen before', (t) => {
  const headroom = createUrgentHeadroom();
  const few = headroom.choose({ urgentDemand: 20, inUse: 150, endpoints: ENDPOINTS }, 0);
  const more = headroom.choose(
    { urgentDemand: 50, inUse: 150, endpoints: [...ENDPOINTS].reverse() },
    0,
  );
  t.is(few.size, 2);
  t.true([...few].every((endpointId) => more.has(endpointId)));
});

test('no endpoint is kept while there is room for all work', (t) => {
  const load = { urgentDemand: 40, inUse: 79, endpoints: ENDPOINTS };
  t.is(createUrgentHeadroom().choose(load, 0).size, 0);
});
