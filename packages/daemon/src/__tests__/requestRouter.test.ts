import test from 'ava';
import type { ExecutionContext } from 'ava';

import {
  createFailure,
  createManualClock,
  createRetryBudget,
  Err,
  Ok,
  partitionOf,
} from '@chicorybend/common';
import type { InteractiveRequest } from '@chicorybend/common';

import { createHomeExecutor } from '../core/homeExecutor.js';
import { createRequestRouter } from '../core/requestRouter.js';
import type { PartitionLoad } from '../types/partition.js';
import {
  answerRequest,
  createKey,
  createOpening,
  createPool,
  createStubDirectory,
  createStubLease,
  createStubNetwork,
  findIdInPartition,
  pause,
  startEndpoint,
  waitUntil,
} from './interactiveStubs.js';
import type { StubNetwork, TestEndpoint } from './interactiveStubs.js';

const PARTITION_COUNT = 2;
const NO_RESOURCES = { processors: 0, memoryBytes: 0, accelerators: 0 };

function createLoad(partition: number, freeSlots: number, queuedRequests = 0): PartitionLoad {
  return {
    partition,
    freeSlots,
    queuedRequests,
    freeTotal: NO_RESOURCES,
    freeLargest: NO_RESOURCES,
    runningByTeam: {},
  };
}

/** Creates a daemon with its own endpoint pool and router. */
function createTestDaemon(
  t: ExecutionContext,
  daemonId: string,
  network: StubNetwork,
  endpoints: readonly TestEndpoint[],
  options: { retries?: number; random?: () => number } = {},
) {
  const directory = createStubDirectory(PARTITION_COUNT, daemonId);
  const loads = new Map<number, PartitionLoad>();
  const pool = createPool(t, endpoints, { daemonId, partitionCount: PARTITION_COUNT });
  const retryBudget = createRetryBudget(0, options.retries ?? 5);
  const router = createRequestRouter({
    ...pool,
    link: network.linkOf(daemonId),
    directory,
    loadBoard: { loads: () => loads },
    endpoints: pool.service,
    retryBudget,
    ...(options.random ? { random: options.random } : {}),
  });
  return { ...pool, directory, loads, router };
}

function createRequest(request: Partial<InteractiveRequest> = {}): InteractiveRequest {
  return {
    queue: 'entries',
    idempotent: false,
    deadlineMilliseconds: 2_000,
    payload: 1,
    ...request,
  };
}

/** Creates an idempotency key of team `bench` whose home is the partition. */
function createKeyInPartition(partition: number): string {
  for (;;) {
    const key = createKey();
    if (partitionOf(`bench/${key}`, PARTITION_COUNT) === partition) return key;
  }
}

test.serial('a non-idempotent request is served by the owner of its partition', async (t) => {
  const network = createStubNetwork();
  const endpoint = await startEndpoint(t, findIdInPartition('e', 1, PARTITION_COUNT));
  const entry = createTestDaemon(t, 'd1', network, []);
  const home = createTestDaemon(t, 'd2', network, [endpoint]);
  await home.service.open(createOpening(createStubLease(1, 1)));
  entry.directory.owners.set(1, 'd2');
  const idempotencyKey = createKeyInPartition(1);
  const request = createRequest({ payload: { lot: 7 } });
  const answer = await entry.router.route({ team: 'bench', idempotencyKey, request });
  t.deepEqual(answer.unwrap().result, { echo: { lot: 7 } });
  t.is(endpoint.received.length, 1);
});

test.serial('a repeated key gets the first answer and is not run again', async (t) => {
  const network = createStubNetwork();
  const endpoint = await startEndpoint(
    t,
    findIdInPartition('e', 1, PARTITION_COUNT),
    (request, response) => {
      setTimeout(() => answerRequest('e', request, response), 50);
    },
  );
  const daemon = createTestDaemon(t, 'd1', network, [endpoint]);
  await daemon.service.open(createOpening(createStubLease(1, 1)));
  const routed = {
    team: 'bench',
    idempotencyKey: createKeyInPartition(1),
    request: createRequest(),
  };
  const [first, joined] = await Promise.all([
    daemon.router.route(routed),
    daemon.router.route(routed),
  ]);
  const later = await daemon.router.route(routed);
  t.deepEqual(joined.unwrap(), first.unwrap());
  t.deepEqual(later.unwrap(), first.unwrap());
  const other = { ...routed, request: createRequest({ payload: 2 }) };
  t.is((await daemon.router.route(other)).unwrapErr().code, 'idempotency-key-reused');
  t.is(endpoint.received.length, 1);
});

test.serial(
  'a repeated call ends at its own deadline while the first one is in progress',
  async (t) => {
    const network = createStubNetwork();
    const endpoint = await startEndpoint(
      t,
      findIdInPartition('e', 1, PARTITION_COUNT),
      () => undefined,
    );
    const daemon = createTestDaemon(t, 'd1', network, [endpoint]);
    await daemon.service.open(createOpening(createStubLease(1, 1)));
    const identity = { team: 'bench', idempotencyKey: createKeyInPartition(1), bodyHash: 'h' };
    const link = network.linkOf('d1');
    const forwarded = {
      ...identity,
      partition: 1,
      requestId: 'r',
      request: createRequest(),
      isOverflow: false,
    };
    let isFirstEnded = false;
    const first = link.call('d1', 'request.execute', forwarded, 2_000).then(() => {
      isFirstEnded = true;
    });
    await waitUntil(() => endpoint.received.length === 1);
    const second = await link.call('d1', 'request.execute', forwarded, 100);
    t.false(isFirstEnded);
    const error = second.unwrapErr();
    t.is(error.kind === 'refused' && error.failure.run, 'unknown');
    await first;
  },
);

test.serial(
  'a lost call of a non-idempotent request ends as unknown and is not repeated',
  async (t) => {
    const network = createStubNetwork();
    const daemon = createTestDaemon(t, 'd1', network, []);
    let calls = 0;
    network.fault = () => {
      calls += 1;
      return { kind: 'lost', reason: 'closed' };
    };
    const routed = { team: 'bench', idempotencyKey: createKey(), request: createRequest() };
    t.is((await daemon.router.route(routed)).unwrapErr().run, 'unknown');
    t.is(calls, 1);
  },
);

test.serial(
  'a lost call of an idempotent request is repeated within the retry budget and never ends as not run',
  async (t) => {
    const network = createStubNetwork();
    const daemon = createTestDaemon(t, 'd1', network, [], { retries: 2 });
    let calls = 0;
    network.fault = () => {
      calls += 1;
      if (calls === 1) return { kind: 'lost', reason: 'closed' };
      return { kind: 'not-sent', reason: 'refused' };
    };
    const request = createRequest({ idempotent: true });
    const outcome = await daemon.router.route({ team: 'bench', idempotencyKey: null, request });
    t.is(outcome.unwrapErr().run, 'unknown');
    t.is(calls, 3);
  },
);

test.serial(
  'a request whose daemon is unreachable is refused as not run once the retry budget is used up',
  async (t) => {
    const network = createStubNetwork();
    const daemon = createTestDaemon(t, 'd1', network, [], { retries: 0 });
    network.fault = () => ({ kind: 'not-sent', reason: 'refused' });
    const routed = { team: 'bench', idempotencyKey: createKey(), request: createRequest() };
    const failure = (await daemon.router.route(routed)).unwrapErr();
    t.is(failure.code, 'peer-unreachable');
    t.is(failure.run, 'not-run');
  },
);

test.serial(
  'a request follows its partition in a handover without using the retry budget',
  async (t) => {
    const network = createStubNetwork();
    const endpoint = await startEndpoint(t, findIdInPartition('e', 1, PARTITION_COUNT));
    const former = createTestDaemon(t, 'd1', network, [endpoint], { retries: 0 });
    const next = createTestDaemon(t, 'd2', network, [endpoint]);
    await former.service.open(createOpening(createStubLease(1, 1)));
    const handedOver = await former.service.release(1);
    const routed = {
      team: 'bench',
      idempotencyKey: createKeyInPartition(1),
      request: createRequest(),
    };
    const waiting = former.router.route(routed);
    await pause(50);
    t.true(former.directory.refreshes > 0);
    await next.service.open({ ...createOpening(createStubLease(1, 2)), handedOver });
    former.directory.owners.set(1, 'd2');
    t.true((await waiting).isOk());
    t.is(endpoint.received.length, 1);
  },
);

test.serial(
  'a request that waits in a handover is run by the next owner under the same key',
  async (t) => {
    const network = createStubNetwork();
    const answers: (() => void)[] = [];
    const endpoint = await startEndpoint(
      t,
      findIdInPartition('e', 1, PARTITION_COUNT),
      (request, response) => {
        answers.push(() => answerRequest('e', request, response));
        if (answers.length > 1) answerRequest('e', request, response);
      },
      { slots: 1 },
    );
    const former = createTestDaemon(t, 'd1', network, [endpoint]);
    const next = createTestDaemon(t, 'd2', network, [endpoint]);
    await former.service.open(createOpening(createStubLease(1, 1)));
    const route = (idempotencyKey: string) =>
      former.router.route({ team: 'bench', idempotencyKey, request: createRequest() });
    const running = route(createKeyInPartition(1));
    await waitUntil(() => answers.length === 1);
    const queued = route(createKeyInPartition(1));
    await waitUntil(() => former.service.loadOf(1).queuedRequests === 1);
    const handedOver = await former.service.release(1);
    answers[0]?.();
    t.true((await running).isOk());
    // The running request has ended since the release, so its slot is left out of the handover.
    const state = { ...(handedOver as object), slots: [] };
    await next.service.open({ ...createOpening(createStubLease(1, 2)), handedOver: state });
    former.directory.owners.set(1, 'd2');
    t.true((await queued).isOk());
    t.is(new Set(endpoint.received.map(({ requestId }) => requestId)).size, 2);
  },
);

test.serial(
  'after a takeover a request whose key may have been run ends as unknown and a new key is run',
  async (t) => {
    const network = createStubNetwork();
    const endpoint = await startEndpoint(t, findIdInPartition('e', 1, PARTITION_COUNT));
    const daemon = createTestDaemon(t, 'd1', network, [endpoint]);
    const oldKey = createKeyInPartition(1);
    await pause(1_100);
    const formerOwnerStoppedAt = daemon.clock.monotonicMilliseconds() - 9_900;
    const stoppedAfterKey = { ...createOpening(createStubLease(1, 2)), formerOwnerStoppedAt };
    await daemon.service.open({
      ...stoppedAfterKey,
      formerOwnerStoppedAt: daemon.clock.monotonicMilliseconds() - 1_050,
    });
    const request = createRequest();
    const old = await daemon.router.route({ team: 'bench', idempotencyKey: oldKey, request });
    t.is(old.unwrapErr().run, 'unknown');
    await daemon.service.open(stoppedAfterKey);
    await pause(100);
    const fresh = await daemon.router.route({
      team: 'bench',
      idempotencyKey: createKeyInPartition(1),
      request,
    });
    t.true(fresh.isOk());
    t.is(endpoint.received.length, 1);
  },
);

test.serial(
  'a request for a full partition is run by the partition with the most free slots',
  async (t) => {
    const network = createStubNetwork();
    const busy = await startEndpoint(
      t,
      findIdInPartition('e', 1, PARTITION_COUNT),
      () => undefined,
      {
        slots: 1,
      },
    );
    const free = await startEndpoint(t, findIdInPartition('f', 0, PARTITION_COUNT));
    const home = createTestDaemon(t, 'd1', network, [busy]);
    const other = createTestDaemon(t, 'd2', network, [free]);
    await home.service.open(createOpening(createStubLease(1, 1)));
    await other.service.open(createOpening(createStubLease(0, 1)));
    home.directory.owners.set(0, 'd2');
    home.loads.set(0, createLoad(0, 8));
    const route = (request: InteractiveRequest) =>
      home.router.route({ team: 'bench', idempotencyKey: createKeyInPartition(1), request });
    const stuck = route(createRequest());
    await waitUntil(() => busy.received.length === 1);
    // Several requests are queued, so that the expected wait exceeds the threshold for overflow.
    const outcomes = await Promise.all([1, 2, 3].map(() => route(createRequest())));
    t.true(outcomes.some((outcome) => outcome.isOk() && outcome.value.endpointId === free.vm.id));
    t.true(home.counters.read('requests.overflowed') > 0);
    t.is((await stuck).unwrapErr().run, 'unknown');
  },
);

test.serial(
  'a request for a full partition is not sent to a silent owner with the most free slots',
  async (t) => {
    const network = createStubNetwork();
    const home = createTestDaemon(t, 'd1', network, []);
    await home.service.open(createOpening(createStubLease(1, 1)));
    home.directory.owners.set(0, 'd2');
    home.directory.silentOwners.add('d2');
    home.loads.set(0, createLoad(0, 8));
    let calls = 0;
    network.fault = (to) => {
      if (to !== 'd2') return null;
      calls += 1;
      return { kind: 'lost', reason: 'silent' };
    };
    const idempotencyKey = createKeyInPartition(1);
    const routed = { team: 'bench', idempotencyKey, request: createRequest() };
    t.is((await home.router.route(routed)).unwrapErr().code, 'no-endpoint');
    t.is(calls, 0);
  },
);

test.serial(
  'a request whose home partition has no endpoints is run by another partition',
  async (t) => {
    const network = createStubNetwork();
    const endpoint = await startEndpoint(t, findIdInPartition('f', 0, PARTITION_COUNT));
    const home = createTestDaemon(t, 'd1', network, []);
    const other = createTestDaemon(t, 'd2', network, [endpoint]);
    await home.service.open(createOpening(createStubLease(1, 1)));
    await other.service.open(createOpening(createStubLease(0, 1)));
    home.directory.owners.set(0, 'd2');
    home.loads.set(0, createLoad(0, 0));
    const routed = {
      team: 'bench',
      idempotencyKey: createKeyInPartition(1),
      request: createRequest(),
    };
    t.true((await home.router.route(routed)).isOk());
    const again = await home.router.route(routed);
    t.true(again.isOk());
    t.is(endpoint.received.length, 1);
  },
);

test.serial(
  'a lost overflow call of a non-idempotent request ends as unknown and is not run by the home partition',
  async (t) => {
    const network = createStubNetwork();
    const endpoint = await startEndpoint(t, findIdInPartition('f', 0, PARTITION_COUNT));
    const home = createTestDaemon(t, 'd1', network, []);
    await home.service.open(createOpening(createStubLease(1, 1)));
    home.directory.owners.set(0, 'd2');
    home.loads.set(0, createLoad(0, 8));
    network.fault = (to) => {
      if (to !== 'd2') return null;
      home.vms.set([{ ...endpoint.vm, id: findIdInPartition('g', 1, PARTITION_COUNT) }]);
      return { kind: 'lost', reason: 'closed' };
    };
    const routed = {
      team: 'bench',
      idempotencyKey: createKeyInPartition(1),
      request: createRequest(),
    };
    t.is((await home.router.route(routed)).unwrapErr().run, 'unknown');
    t.is((await home.router.route(routed)).unwrapErr().run, 'unknown');
    t.is(endpoint.received.length, 0);
  },
);

test.serial('an idempotent request goes to the less loaded of two random partitions', async (t) => {
  const network = createStubNetwork();
  const picks = [0.1, 0.9, 0.9, 0.1];
  const random = () => picks.shift() ?? 0;
  const daemon = createTestDaemon(t, 'd1', network, [], { random });
  daemon.loads.set(0, createLoad(0, 0, 20));
  daemon.loads.set(1, createLoad(1, 0, 3));
  const partitions: number[] = [];
  network.linkOf('d1').handle('request.execute', async ({ partition, requestId }) => {
    partitions.push(partition);
    return Ok({ requestId, endpointId: 'e', result: null });
  });
  const routed = {
    team: 'bench',
    idempotencyKey: null,
    request: createRequest({ idempotent: true }),
  };
  await daemon.router.route(routed);
  await daemon.router.route(routed);
  t.deepEqual(partitions, [1, 1]);
});

test.serial('an answer to another request is not passed on to the caller', async (t) => {
  const network = createStubNetwork();
  const daemon = createTestDaemon(t, 'd1', network, []);
  network
    .linkOf('d1')
    .handle('request.execute', async () =>
      Ok({ requestId: 'another', endpointId: 'e', result: 'secret' }),
    );
  const routed = { team: 'bench', idempotencyKey: createKey(), request: createRequest() };
  t.is((await daemon.router.route(routed)).unwrapErr().code, 'peer-lost');
});

test.serial(
  'the home partition reserves time for its answer, so that a refusal arrives before the calling daemon gives up',
  async (t) => {
    const network = createStubNetwork();
    const clock = createManualClock();
    const pool = createPool(t, [], { partitionCount: PARTITION_COUNT });
    const deadlines: number[] = [];
    const executeAtHome = createHomeExecutor({
      ...pool,
      clock,
      link: network.linkOf('d1'),
      directory: createStubDirectory(PARTITION_COUNT, 'd1'),
      loadBoard: { loads: () => new Map() },
      retryBudget: createRetryBudget(0, 0),
      random: () => 0,
      endpoints: {
        ...pool.service,
        async execute(_partition, work) {
          deadlines.push(work.deadlineAt);
          return Err(createFailure('overloaded'));
        },
      },
    });
    const forwarded = {
      partition: 1,
      requestId: 'r',
      team: 'bench',
      idempotencyKey: null,
      bodyHash: 'h',
      request: createRequest(),
      isOverflow: true,
    };
    await executeAtHome(forwarded, { from: 'd2', remainingMilliseconds: 100 });
    await executeAtHome(forwarded, { from: 'd2', remainingMilliseconds: 5_000 });
    t.deepEqual(deadlines, [90, 4_950]);
  },
);

test.serial('refusals of the home partition are passed on unchanged', async (t) => {
  const network = createStubNetwork();
  const daemon = createTestDaemon(t, 'd1', network, []);
  network.linkOf('d1').handle('request.execute', async () => Err(createFailure('overloaded')));
  const routed = { team: 'bench', idempotencyKey: createKey(), request: createRequest() };
  t.is((await daemon.router.route(routed)).unwrapErr().code, 'overloaded');
});

test.serial('a drain can wait for requests that this daemon runs for other daemons', async (t) => {
  const network = createStubNetwork();
  const answers: (() => void)[] = [];
  const endpoint = await startEndpoint(
    t,
    findIdInPartition('e', 1, PARTITION_COUNT),
    (request, response) => {
      answers.push(() => answerRequest('e', request, response));
    },
  );
  const entry = createTestDaemon(t, 'd1', network, []);
  const home = createTestDaemon(t, 'd2', network, [endpoint]);
  await home.service.open(createOpening(createStubLease(1, 1)));
  entry.directory.owners.set(1, 'd2');
  const routed = {
    team: 'bench',
    idempotencyKey: createKeyInPartition(1),
    request: createRequest(),
  };
  const running = entry.router.route(routed);
  await waitUntil(() => answers.length === 1);
  t.is(home.router.inFlight(), 1);
  let isIdle = false;
  const idle = home.router.idle().then(() => {
    isIdle = true;
  });
  await home.service.release(1);
  home.service.close(1);
  t.false(isIdle);
  answers[0]?.();
  t.true((await running).isOk());
  await idle;
  t.is(home.router.inFlight(), 0);
});
