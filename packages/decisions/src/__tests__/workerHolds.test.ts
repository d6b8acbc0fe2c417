import test from 'ava';
import fc from 'fast-check';

import type { Resources } from '@chicorybend/common';

import { createBestFitPolicy, createSpreadPolicy, createWorkerPool } from '../index.js';
import type { PlacementRequest, WorkerPool } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const sizeOf = (processors: number): Resources => ({
  processors,
  memoryBytes: processors,
  accelerators: 0,
});

const request = (processors: number, heldFor?: string): PlacementRequest => ({
  resources: sizeOf(processors),
  avoidRacks: [],
  avoidWorkers: [],
  ...(heldFor === undefined ? {} : { heldFor }),
});

function createPool(workers: number, maximumHeldFraction = 1, policy = createBestFitPolicy()) {
  const pool = createWorkerPool(policy, { maximumHeldFraction });
  for (let index = 0; index < workers; index += 1) {
    pool.upsert({
      workerId: `worker-${index}`,
      dataCentre: 'a',
      rack: `rack-${index}`,
      capacity: sizeOf(8),
    });
  }
  return pool;
}

/** Starts as many one-processor tasks as fit. */
function fillUp(pool: WorkerPool, running: { workerId: string; resources: Resources }[]): void {
  let workerId = pool.place(request(1));
  while (workerId !== null) {
    pool.allocate(workerId, sizeOf(1));
    running.push({ workerId, resources: sizeOf(1) });
    workerId = pool.place(request(1));
  }
}

test('a gang with a hold fits once all initial tasks have ended, although small tasks fill all other capacity', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 1, max: 8 }),
      fc.integer({ min: 1, max: 6 }),
      fc.boolean(),
      fc.infiniteStream(fc.nat(999)),
      (workers, processors, requestedCount, isSpread, picks) => {
        const policy = isSpread ? createSpreadPolicy() : createBestFitPolicy();
        const pool = createPool(workers, 1, policy);
        const count = Math.min(requestedCount, workers * Math.floor(8 / processors));
        const gang = request(processors, 'gang');
        const running: { workerId: string; resources: Resources }[] = [];
        fillUp(pool, running);
        if (!pool.hold!('gang', gang, count)) throw new Error('the hold was refused');
        const initial = [...running];
        while (initial.length > 0) {
          const [ended] = initial.splice(picks.next().value! % initial.length, 1);
          pool.release(ended!.workerId, ended!.resources);
          fillUp(pool, running);
        }
        const chosen = pool.placeAll(gang, count);
        if (!chosen) throw new Error('the gang still does not fit');
        chosen.forEach((workerId) => pool.allocate(workerId, gang.resources));
        pool.dropHold!('gang');
      },
    ),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('without a hold, small tasks that fill the freed capacity starve the gang', (t) => {
  const pool = createPool(2);
  const running: { workerId: string; resources: Resources }[] = [];
  fillUp(pool, running);
  [...running].forEach((ended) => {
    pool.release(ended.workerId, ended.resources);
    fillUp(pool, running);
  });
  t.is(pool.placeAll(request(8), 1), null);
});

test('held capacity is not used by other work and is available again after the hold', (t) => {
  const pool = createPool(1);
  pool.allocate('worker-0', sizeOf(4));
  t.true(pool.hold!('large', request(6), 1));
  t.is(pool.place(request(3)), null);
  t.is(pool.place(request(3, 'other')), null);
  t.is(pool.place(request(2)), null);
  t.is(pool.place(request(3, 'large')), 'worker-0');
  t.deepEqual(pool.freeOf('worker-0'), sizeOf(4));
  pool.dropHold!('large');
  t.is(pool.place(request(3)), 'worker-0');
});

test('holds never exceed the maximum held fraction of the pool', (t) => {
  const pool = createPool(10, 0.25);
  t.true(pool.hold!('a', request(8), 2));
  t.false(pool.hold!('b', request(8), 1));
  t.true(pool.hold!('a', request(8), 2));
  pool.dropHold!('a');
  t.true(pool.hold!('b', request(8), 1));
});

test('a worker that leaves the pool no longer counts as held', (t) => {
  const pool = createPool(2, 0.5);
  t.true(pool.hold!('a', request(8), 1));
  t.false(pool.hold!('b', request(1), 1));
  pool.remove('worker-0');
  pool.remove('worker-1');
  pool.upsert({ workerId: 'worker-2', dataCentre: 'a', rack: 'r', capacity: sizeOf(8) });
  t.is(pool.place(request(8)), 'worker-2');
  pool.dropHold!('a');
  t.true(pool.hold!('c', request(4), 1));
});

test('urgent work does not wait for a hold, and uses held capacity only if it fits nowhere else', (t) => {
  const pool = createPool(2);
  pool.allocate('worker-0', sizeOf(4));
  pool.allocate('worker-1', sizeOf(4));
  t.true(pool.hold!('large', request(8), 1));
  const urgent = { ...request(4), isUrgent: true };
  const first = pool.place(urgent)!;
  pool.allocate(first, sizeOf(4));
  t.is(pool.place(request(4)), null);
  const second = pool.place(urgent)!;
  t.not(second, first);
  pool.allocate(second, sizeOf(4));
  t.is(pool.place(urgent), null);
  pool.release(second, sizeOf(8));
  t.is(pool.placeAll(request(8, 'large'), 1)?.[0], second);
});

test('a partial hold covers as many tasks as there is capacity for, and is replaced by the next call', (t) => {
  const pool = createPool(2, 0.1);
  t.is(pool.holdSome!('gang', request(5), 3), 2);
  t.is(pool.place(request(4)), null);
  t.is(pool.holdSome!('other', request(1), 1), 0);
  pool.remove('worker-0');
  t.is(pool.holdSome!('gang', request(5), 3), 1);
  t.is(pool.place(request(5, 'gang')), 'worker-1');
  pool.dropHold!('gang');
  t.is(pool.place(request(8)), 'worker-1');
});

test('a second partial hold respects the maximum held fraction', (t) => {
  const pool = createPool(20, 0.1);
  t.is(pool.holdSome!('first', request(4), 1), 1);
  t.is(pool.holdSome!('second', request(4), 5), 3);
});
