import test from 'ava';
import fc from 'fast-check';

import { InvariantError } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

import {
  createBestFitPolicy,
  createFirstFitPolicy,
  createRandomPolicy,
  createSpreadPolicy,
  createWorkerPool,
} from '../index.js';
import type { PlacementPolicy, PlacementRequest, PoolWorker, WorkerPool } from '../index.js';
import { createNaivePool } from './naivePool.js';
import type { NaivePool } from './naivePool.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const GIBIBYTE = 2 ** 30;
const WORKER_IDS = Array.from({ length: 12 }, (_, index) => `worker-${index}`);
const RACKS = ['rack-0', 'rack-1', 'rack-2'];

const POLICIES: Readonly<Record<string, () => PlacementPolicy>> = {
  'best-fit': createBestFitPolicy,
  spread: createSpreadPolicy,
  'first-fit': createFirstFitPolicy,
  random: () => createRandomPolicy(() => 0.5),
};

const resourcesArbitrary = (maximum: number): fc.Arbitrary<Resources> =>
  fc.record({
    // Tenths have no exact binary form, so their sums drift unless they are counted in whole units.
    processors: fc.integer({ min: 0, max: 10 * maximum }).map((tenths) => tenths / 10),
    memoryBytes: fc.integer({ min: 0, max: 4 * maximum }).map((part) => (part * GIBIBYTE) / 4),
    accelerators: fc.oneof(
      { weight: 3, arbitrary: fc.constant(0) },
      { weight: 1, arbitrary: fc.integer({ min: 0, max: 4 }) },
    ),
  });

const requestArbitrary: fc.Arbitrary<PlacementRequest> = fc.record({
  resources: resourcesArbitrary(6),
  avoidRacks: fc.subarray(RACKS),
  avoidWorkers: fc.subarray(WORKER_IDS, { maxLength: 4 }),
});

type Step =
  | { readonly kind: 'upsert'; readonly worker: PoolWorker }
  | { readonly kind: 'remove' | 'pause' | 'resume' | 'release'; readonly workerId: string }
  | { readonly kind: 'adopt'; readonly workerId: string; readonly resources: Resources }
  | { readonly kind: 'place'; readonly request: PlacementRequest }
  | { readonly kind: 'gang' | 'some'; readonly request: PlacementRequest; readonly count: number };

const workerIdArbitrary = fc.constantFrom(...WORKER_IDS);

const upsertArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constant('upsert' as const),
  worker: fc.record({
    workerId: workerIdArbitrary,
    dataCentre: fc.constant('a'),
    rack: fc.constantFrom(...RACKS),
    capacity: resourcesArbitrary(16),
  }),
});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: upsertArbitrary },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('remove' as const, 'pause' as const, 'resume' as const),
      workerId: workerIdArbitrary,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('release' as const), workerId: workerIdArbitrary }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('adopt' as const),
      workerId: workerIdArbitrary,
      resources: resourcesArbitrary(8),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant('place' as const), request: requestArbitrary }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('gang' as const, 'some' as const),
      request: requestArbitrary,
      count: fc.integer({ min: 1, max: 12 }),
    }),
  },
);

const stepsArbitrary = fc
  .tuple(
    fc.array(upsertArbitrary, { minLength: 4, maxLength: 16 }),
    fc.array(stepArbitrary, { maxLength: 60 }),
  )
  .map(([upserts, steps]) => [...upserts, ...steps]);

interface PoolPair {
  readonly pool: WorkerPool;
  readonly model: NaivePool;
}

function requireTrue(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

function charge({ pool, model }: PoolPair, workerId: string, resources: Resources): void {
  requireTrue(
    model.fits(workerId, resources),
    `${workerId} has too little free by the naive model`,
  );
  pool.allocate(workerId, resources);
  model.workers.get(workerId)!.allocations.push(resources);
}

/** Checks against a naive scan: null only if nothing fits; avoided racks and free accelerators are used last. */
function checkPlacement(
  { model }: PoolPair,
  request: PlacementRequest,
  found: string | null,
): void {
  const candidates = model.findAll(request);
  if (found === null) {
    requireTrue(candidates.length === 0, `no worker was found, but ${candidates.join()} fit`);
    return;
  }
  requireTrue(candidates.includes(found), `${found} is not allowed or has too little free`);
  const isAvoided = (workerId: string): boolean =>
    request.avoidRacks.includes(model.workers.get(workerId)!.rack);
  const tier = candidates.filter((workerId) => !isAvoided(workerId));
  requireTrue(
    !isAvoided(found) || tier.length === 0,
    `${found} is in an avoided rack, but ${tier.join()} fit`,
  );
  checkFewestFreeAccelerators(model, request, found, isAvoided(found) ? candidates : tier);
}

function checkFewestFreeAccelerators(
  model: NaivePool,
  request: PlacementRequest,
  found: string,
  tier: readonly string[],
): void {
  if (request.resources.accelerators > 0) return;
  const freeAccelerators = (workerId: string): number => {
    const { capacity, allocations } = model.workers.get(workerId)!;
    const used = allocations.reduce((sum, { accelerators }) => sum + accelerators, 0);
    return Math.max(0, capacity.accelerators - used);
  };
  requireTrue(
    freeAccelerators(found) <= Math.min(...tier.map(freeAccelerators)),
    `${found} has more free accelerators than another worker on which the task fits`,
  );
}

function checkGroup(
  pair: PoolPair,
  request: PlacementRequest,
  count: number,
  isAll: boolean,
): void {
  const { pool, model } = pair;
  const before = WORKER_IDS.map((workerId) => pool.freeOf(workerId));
  const some = pool.placeSome(request, count);
  const all = pool.placeAll(request, count);
  const after = WORKER_IDS.map((workerId) => pool.freeOf(workerId));
  requireTrue(
    JSON.stringify(before) === JSON.stringify(after),
    'placing several tasks changed the free amounts',
  );
  const expected = Math.min(count, model.countFits(request));
  requireTrue(some.length === expected, `${some.length} instead of ${expected} tasks were placed`);
  requireTrue(
    (all !== null) === (expected === count),
    'a gang was placed although it does not fit, or not placed although it does',
  );
  requireTrue(all === null || all.length === count, 'a gang has the wrong size');
  const chosen = isAll ? (all ?? []) : some;
  chosen.forEach((workerId) => charge(pair, workerId, request.resources));
}

function runStep(pair: PoolPair, step: Step): void {
  const { pool, model } = pair;
  switch (step.kind) {
    case 'upsert':
      pool.upsert(step.worker);
      model.upsert(step.worker);
      break;
    case 'remove':
      pool.remove(step.workerId);
      model.workers.delete(step.workerId);
      break;
    case 'pause':
    case 'resume': {
      pool.setSchedulable(step.workerId, step.kind === 'resume');
      const worker = model.workers.get(step.workerId);
      if (worker) worker.isSchedulable = step.kind === 'resume';
      break;
    }
    case 'release': {
      const resources = model.workers.get(step.workerId)?.allocations.shift();
      if (resources) pool.release(step.workerId, resources);
      break;
    }
    case 'adopt':
      pool.adopt(step.workerId, step.resources);
      model.workers.get(step.workerId)?.allocations.push(step.resources);
      break;
    case 'place': {
      const found = pool.place(step.request);
      checkPlacement(pair, step.request, found);
      if (found !== null) charge(pair, found, step.request.resources);
      break;
    }
    default:
      checkGroup(pair, step.request, step.count, step.kind === 'gang');
  }
}

Object.entries(POLICIES).forEach(([name, createPolicy]) => {
  test(`${name}: the pool agrees with a naive model that recomputes every sum`, (t) => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const pair = { pool: createWorkerPool(createPolicy()), model: createNaivePool() };
        steps.forEach((step) => runStep(pair, step));
        requireTrue(pair.pool.size() === pair.model.workers.size, 'a worker was lost');
      }),
      PROPERTY_PARAMETERS,
    );
    t.pass();
  });
});

test('allocations that were placed never exceed a capacity, whatever the fractions', (t) => {
  fc.assert(
    fc.property(fc.array(requestArbitrary, { maxLength: 80 }), (requests) => {
      const pair = { pool: createWorkerPool(createBestFitPolicy()), model: createNaivePool() };
      WORKER_IDS.forEach((workerId, index) => {
        const worker = {
          workerId,
          dataCentre: 'a',
          rack: RACKS[index % RACKS.length]!,
          capacity: { processors: 8, memoryBytes: 16 * GIBIBYTE, accelerators: index % 3 },
        };
        pair.pool.upsert(worker);
        pair.model.upsert(worker);
      });
      requests.forEach((request) => runStep(pair, { kind: 'place', request }));
      WORKER_IDS.forEach((workerId) => {
        requireTrue(pair.model.isWithinCapacity(workerId), `${workerId} is overcommitted`);
      });
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

const WORKER: PoolWorker = {
  workerId: 'worker-0',
  dataCentre: 'a',
  rack: 'rack-0',
  capacity: { processors: 4, memoryBytes: 8 * GIBIBYTE, accelerators: 1 },
};

test('a charge beyond the capacity stops the process instead of overcommitting the worker', (t) => {
  const pool = createWorkerPool(createBestFitPolicy());
  pool.upsert(WORKER);
  pool.allocate('worker-0', { processors: 3, memoryBytes: 0, accelerators: 0 });
  const error = t.throws(
    () => pool.allocate('worker-0', { processors: 1.001, memoryBytes: 0, accelerators: 0 }),
    { instanceOf: InvariantError },
  );
  t.is(error.invariantId, 'no-overcommit');
  t.throws(() => pool.allocate('worker-1', { processors: 0, memoryBytes: 0, accelerators: 0 }), {
    instanceOf: InvariantError,
  });
});

test('releasing more than was charged stops the process, because it would hide an overcommit', (t) => {
  const pool = createWorkerPool(createBestFitPolicy());
  pool.upsert(WORKER);
  pool.allocate('worker-0', { processors: 1, memoryBytes: 0, accelerators: 0 });
  t.throws(() => pool.release('worker-0', { processors: 2, memoryBytes: 0, accelerators: 0 }), {
    instanceOf: InvariantError,
  });
});

test('a worker with adopted resources beyond its capacity takes no tasks until they are released', (t) => {
  const pool = createWorkerPool(createBestFitPolicy());
  const request = {
    resources: { processors: 1, memoryBytes: 0, accelerators: 0 },
    avoidRacks: [],
    avoidWorkers: [],
  };
  pool.upsert(WORKER);
  pool.adopt('worker-0', { processors: 6, memoryBytes: 0, accelerators: 0 });
  t.is(pool.place(request), null);
  t.is(pool.freeOf('worker-0')!.processors, 0);
  pool.release('worker-0', { processors: 2, memoryBytes: 0, accelerators: 0 });
  t.is(pool.place(request), null);
  pool.release('worker-0', { processors: 1, memoryBytes: 0, accelerators: 0 });
  t.is(pool.place(request), 'worker-0');
});

test('the reason why a task can never run names each dimension that does not fit', (t) => {
  const pool = createWorkerPool(createBestFitPolicy());
  const explain = (processors: number, gibibytes: number, accelerators: number, count = 1) =>
    pool.explainNeverFits({ processors, memoryBytes: gibibytes * GIBIBYTE, accelerators }, count);
  t.truthy(explain(1, 1, 0));
  pool.upsert(WORKER);
  pool.upsert({
    ...WORKER,
    workerId: 'worker-1',
    capacity: { processors: 16, memoryBytes: 4 * GIBIBYTE, accelerators: 0 },
  });
  pool.allocate('worker-0', WORKER.capacity);
  t.is(explain(4, 8, 1), null);
  t.regex(explain(17, 9, 0)!, /^processors: .*; memoryBytes: /);
  t.regex(explain(1, 1, 2)!, /^accelerators: /);
  t.regex(explain(16, 8, 0)!, /together/);
  t.is(explain(4, 1, 0, 5), null);
  t.regex(explain(4, 1, 0, 6)!, /^tasks: needs 6/);
  pool.remove('worker-1');
  t.regex(explain(16, 1, 0)!, /^processors: /);
});

test('totals count only workers that may take new work', (t) => {
  const pool = createWorkerPool(createBestFitPolicy());
  pool.upsert(WORKER);
  pool.upsert({ ...WORKER, workerId: 'worker-1' });
  pool.allocate('worker-0', { processors: 1, memoryBytes: GIBIBYTE, accelerators: 1 });
  pool.setSchedulable('worker-1', false);
  t.deepEqual(pool.totals(), {
    freeTotal: { processors: 3, memoryBytes: 7 * GIBIBYTE, accelerators: 0 },
    freeLargest: { processors: 3, memoryBytes: 7 * GIBIBYTE, accelerators: 0 },
    capacityTotal: WORKER.capacity,
  });
});
