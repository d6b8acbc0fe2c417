import test from 'ava';

import { chooseGangRoom } from '../index.js';

function processors(count: number) {
  return { processors: count, memoryBytes: 0, accelerators: 0 };
}

function createRoom(endpointId: string, free: number, freeLater: number) {
  return { endpointId, free: processors(free), freeLater: processors(freeLater) };
}

const REQUIREMENTS = { resources: processors(4), maximumPerEndpoint: 0 };

test('a gang waits for the endpoints with the most room now, and for no more than it needs', (t) => {
  const rooms = [createRoom('a', 0, 8), createRoom('b', 8, 8), createRoom('c', 5, 8)];
  const chosen = chooseGangRoom(rooms, REQUIREMENTS, 4);
  t.deepEqual(
    chosen.map(({ endpointId }) => endpointId),
    ['b', 'c'],
  );
});

test('a gang that long-running work leaves too little room waits for no endpoint', (t) => {
  const rooms = [createRoom('a', 4, 4), createRoom('b', 8, 8), createRoom('c', 3, 3)];
  t.deepEqual(chooseGangRoom(rooms, REQUIREMENTS, 4), []);
  t.is(chooseGangRoom(rooms, REQUIREMENTS, 3).length, 2);
});

test('the limit of tasks of one step on an endpoint applies', (t) => {
  const rooms = [createRoom('a', 8, 8), createRoom('b', 8, 8)];
  const requirements = { ...REQUIREMENTS, maximumPerEndpoint: 1 };
  t.is(chooseGangRoom(rooms, requirements, 2).length, 2);
  t.deepEqual(chooseGangRoom(rooms, requirements, 3), []);
});
