import {
  createLocalCounters,
  createStoreClient,
  createSystemClock,
  Ok,
  sleep,
} from '@chicorybend/common';
import type { Configuration, StoreClient } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';

import {
  createLedger,
  grantUnits,
  returnUnits,
  setLimits,
  sumAllotments,
  topUpUnits,
  usableUnits,
} from '../core/allotmentLedger.js';
import type { AllotmentLedger } from '../core/allotmentLedger.js';
import { createAllotments } from '../core/allotments.js';
import type { AllotmentService } from '../core/allotments.js';
import { ALLOTMENT_KEY_PREFIX } from '../core/ledgerWriter.js';
import type {
  ConfigurationView,
  Journal,
  PartitionDirectory,
  PeerHandler,
  PeerLink,
} from '../index.js';

const PARTITIONS = 4;
const clock = createSystemClock();

test('allotments never sum to more than the limit, whatever is granted and returned', (t) => {
  const step = fc.record({
    partition: fc.nat(PARTITIONS - 1),
    isGrant: fc.boolean(),
    units: fc.integer({ min: 1, max: 20 }),
  });
  fc.assert(
    fc.property(fc.nat(50), fc.array(step, { maxLength: 50 }), (limit, steps) => {
      let ledger = createLedger({ tasks: limit, requests: limit }, 1, PARTITIONS);
      steps.forEach(({ partition, isGrant, units }) => {
        const changed = isGrant
          ? grantUnits(ledger, partition, 'tasks', units)
          : returnUnits(ledger, partition, 'tasks', units);
        ledger = changed ?? ledger;
        ledger = topUpUnits(ledger, (partition + 1) % PARTITIONS, 'tasks', units) ?? ledger;
        t.true(sumAllotments(ledger, 'tasks') <= limit);
      });
      t.is(sumAllotments(ledger, 'requests'), limit);
    }),
  );
});

test('the usable units of all partitions together stay within a lowered limit', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 100 }), fc.nat(100), (limit, lowered) => {
      let ledger = createLedger({ tasks: limit, requests: limit }, 1, PARTITIONS);
      for (let partition = 0; partition < PARTITIONS; partition += 1) {
        ledger = grantUnits(ledger, partition, 'tasks', 1) ?? ledger;
      }
      ledger = setLimits(ledger, { tasks: lowered, requests: lowered }, 2);
      const usable = Array.from({ length: PARTITIONS }, (_, partition) =>
        usableUnits(ledger, partition, 'requests'),
      );
      t.true(usable.reduce((sum, units) => sum + units, 0) <= Math.max(lowered, 0));
    }),
  );
});

interface TestCell {
  readonly services: readonly AllotmentService[];
  readonly client: StoreClient;
  setLimit(tasks: number): void;
  countReads(): number;
  ledger(): Promise<AllotmentLedger>;
  /** Makes the store unavailable, or available again. */
  setStoreDown(isDown: boolean): void;
}

function createJournalStub(): Journal {
  return { append: () => Promise.resolve(Ok(undefined)) };
}

/** Creates one allotment service per partition, as if each partition had a different owner. */
async function createCell(t: ExecutionContext, limit: number): Promise<TestCell> {
  const store = await startStoreStandIn({ writesPerSecond: 5_000, readsPerSecond: 5_000 });
  const client = createStoreClient({ address: store.address, clock });
  let tasks = limit;
  let revision = 1;
  const listeners: ((configuration: Configuration) => void)[] = [];
  const configuration = {
    current: () => ({
      revision,
      teams: { harbour: { share: 1, limits: { tasks, requests: tasks } } },
    }),
    onChange: (listener: (changed: Configuration) => void) => listeners.push(listener),
  } as unknown as ConfigurationView;
  const directory = {
    partitionCount: PARTITIONS,
    ownerOf: (partition: number) => ({ daemonId: `d${partition}`, epoch: 1 }),
  } as unknown as PartitionDirectory;
  const handlers = new Map<string, PeerHandler<'allotment.return'>>();
  const services = Array.from({ length: PARTITIONS }, (_, partition) => {
    const link = {
      handle: (_method: string, handler: PeerHandler<'allotment.return'>) =>
        handlers.set(`d${partition}`, handler),
      call: (daemonId: string, _method: string, params: never) =>
        handlers.get(daemonId)?.(params, { from: 'test', remainingMilliseconds: 500 }),
    } as unknown as PeerLink;
    return createAllotments({
      directory,
      configuration,
      link,
      store: client,
      clock,
      counters: createLocalCounters(),
      random: Math.random,
    });
  });
  for (const [partition, { partitionService: service }] of services.entries()) {
    await service.open({
      lease: { partition, epoch: 1, journal: createJournalStub(), mayAct: () => true },
      records: [],
      handedOver: null,
      formerOwnerStoppedAt: -Infinity,
    });
  }
  services.forEach((service) => service.start());
  t.teardown(async () => {
    services.forEach((service) => service.stop());
    await client.close();
    await store.close();
  });
  return {
    services,
    client,
    setLimit(value) {
      tasks = value;
      revision += 1;
      listeners.forEach((listener) => listener({} as Configuration));
    },
    async ledger() {
      const entry = await client.get<AllotmentLedger>(`${ALLOTMENT_KEY_PREFIX}harbour`);
      return entry.unwrap()?.data as AllotmentLedger;
    },
    countReads: () => store.counts.reads,
    setStoreDown(isDown) {
      store.faults.isDown = isDown;
    },
  };
}

/** Charges units one by one until `wanted` are charged or the time has passed; returns the number charged. */
async function chargeFor(
  cell: TestCell,
  partition: number,
  wanted: number,
  milliseconds: number,
): Promise<number> {
  const until = clock.monotonicMilliseconds() + milliseconds;
  let charged = 0;
  while (charged < wanted && clock.monotonicMilliseconds() < until) {
    const result = cell.services[partition]?.allotments.charge(partition, 'harbour', 'tasks', 1);
    if (result?.isOk()) charged += 1;
    else await sleep(clock, 5);
  }
  return charged;
}

test('partitions that each request the whole limit get exactly the limit in total', async (t) => {
  const cell = await createCell(t, 10);
  const charged = await Promise.all([0, 1, 2, 3].map((p) => chargeFor(cell, p, 10, 1_500)));
  t.is(
    charged.reduce((sum, units) => sum + units, 0),
    10,
  );
});

test('one partition can use the whole limit after the others have returned idle units', async (t) => {
  const cell = await createCell(t, 8);
  for (const partition of [0, 1, 2]) {
    t.is(await chargeFor(cell, partition, 2, 1_000), 2);
    cell.services[partition]?.allotments.release(partition, 'harbour', 'tasks', 2);
  }
  t.is(await chargeFor(cell, 3, 8, 4_000), 8);
});

test('one request for idle units is enough for a gang that needs the whole limit', async (t) => {
  const cell = await createCell(t, 8);
  for (const partition of [0, 1, 2]) {
    t.is(await chargeFor(cell, partition, 2, 1_000), 2);
    cell.services[partition]?.allotments.release(partition, 'harbour', 'tasks', 2);
  }
  t.true(cell.services[3]?.allotments.charge(3, 'harbour', 'tasks', 8).isErr());
  const isGranted = async () => (await cell.ledger()).parts['3']?.tasks === 8;
  // The refused charge has made the only request; no backoff is involved.
  const until = clock.monotonicMilliseconds() + 2_000;
  while (!(await isGranted()) && clock.monotonicMilliseconds() < until) await sleep(clock, 5);
  t.is((await cell.ledger()).parts['3']?.tasks, 8);
});

test('after a limit is lowered nothing starts until usage is below it', async (t) => {
  const cell = await createCell(t, 10);
  t.is(await chargeFor(cell, 0, 6, 2_000), 6);
  cell.setLimit(4);
  t.is(await chargeFor(cell, 0, 1, 300), 0);
  t.is(await chargeFor(cell, 1, 1, 300), 0);
  cell.services[0]?.allotments.release(0, 'harbour', 'tasks', 3);
  t.is(await chargeFor(cell, 0, 1, 5_000), 1);
  t.is(await chargeFor(cell, 0, 1, 300), 0);
});

test('after a limit is lowered partitions do not use allotments from a ledger read before the change', async (t) => {
  const cell = await createCell(t, 20);
  // The grants to the other partitions make partition 0's copy of the ledger outdated.
  t.is(await chargeFor(cell, 0, 1, 1_000), 1);
  for (const partition of [1, 2, 3]) t.is(await chargeFor(cell, partition, 5, 1_000), 5);
  for (const partition of [1, 2, 3]) {
    cell.services[partition]?.allotments.release(partition, 'harbour', 'tasks', 5);
  }
  cell.services[0]?.allotments.release(0, 'harbour', 'tasks', 1);
  cell.setLimit(6);
  const charged = await Promise.all([0, 1, 2, 3].map((p) => chargeFor(cell, p, 10, 6_000)));
  t.is(
    charged.reduce((sum, units) => sum + units, 0),
    6,
  );
});

test('a former owner cannot change the allotment that its successor has taken over', async (t) => {
  const cell = await createCell(t, 10);
  t.is(await chargeFor(cell, 0, 4, 1_000), 4);
  const successor = cell.services[1];
  await successor?.partitionService.open({
    lease: { partition: 0, epoch: 2, journal: createJournalStub(), mayAct: () => true },
    records: [],
    handedOver: null,
    formerOwnerStoppedAt: 0,
  });
  const before = (await cell.ledger()).parts['0'];
  cell.services[0]?.allotments.release(0, 'harbour', 'tasks', 4);
  await chargeFor(cell, 0, 10, 300);
  t.deepEqual((await cell.ledger()).parts['0'], before);
});

test('after a burst and a change of the limit every partition serves requests without the store', async (t) => {
  const cell = await createCell(t, 16);
  const [burst] = cell.services;
  const charge = (partition: number) =>
    cell.services[partition]?.allotments.charge(partition, 'harbour', 'requests', 1).isOk();
  // The other partitions return their idle units, which are granted to this one.
  let charged = 0;
  const until = clock.monotonicMilliseconds() + 4_000;
  while (charged < 16 && clock.monotonicMilliseconds() < until) {
    if (charge(0)) charged += 1;
    else await sleep(clock, 5);
  }
  t.is(charged, 16);
  burst?.allotments.release(0, 'harbour', 'requests', 16);
  cell.setLimit(2);
  await sleep(clock, 3_000);
  cell.setLimit(16);
  await sleep(clock, 12_000);
  cell.setStoreDown(true);
  [0, 1, 2, 3].forEach((partition) => {
    [1, 2, 3, 4].forEach((unit) => t.true(charge(partition), `unit ${unit} of ${partition}`));
  });
  t.true(
    [0, 1, 2, 3].every((partition) => !charge(partition)),
    'the limit is not exceeded',
  );
});

// Guards against store reads that grow with teams times partitions: 750 x 256 per second at the design size.
test('idle partitions do not read ledgers from the store', async (t) => {
  const cell = await createCell(t, 16);
  // Idle units are returned after 5 s.
  await sleep(clock, 7_000);
  const before = cell.countReads();
  await sleep(clock, 6_000);
  t.is(cell.countReads() - before, 0);
});

test('a partition that is asked to return units while the store is down keeps them', async (t) => {
  const cell = await createCell(t, 16);
  const charge = (partition: number) =>
    cell.services[partition]?.allotments.charge(partition, 'harbour', 'requests', 1).isOk();
  cell.setStoreDown(true);
  [1, 2, 3, 4].forEach(() => t.true(charge(0)));
  // Each refused charge may ask the others for units again, as a team beyond its allotment does during an outage.
  const until = clock.monotonicMilliseconds() + 12_000;
  while (clock.monotonicMilliseconds() < until) {
    t.false(charge(0));
    await sleep(clock, 100);
  }
  [1, 2, 3].forEach((partition) => {
    [1, 2, 3, 4].forEach((unit) => t.true(charge(partition), `unit ${unit} of ${partition}`));
  });
});
