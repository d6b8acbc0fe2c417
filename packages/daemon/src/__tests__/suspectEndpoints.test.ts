import test from 'ava';

import {
  answerRequest,
  createOpening,
  createPool,
  createPoolRequest,
  createStubLease,
  pause,
  startEndpoint,
  waitUntil,
} from './interactiveStubs.js';
import type { EndpointBehaviour, PoolFixture } from './interactiveStubs.js';

const SHORT_DEADLINE_MILLISECONDS = 300;

function answerAfter(endpointId: string, milliseconds: number): EndpointBehaviour {
  return (request, response) => {
    setTimeout(() => answerRequest(endpointId, request, response), milliseconds);
  };
}

function executeWithShortDeadline({ clock, service }: PoolFixture) {
  const deadlineAt = clock.monotonicMilliseconds() + SHORT_DEADLINE_MILLISECONDS;
  return service.execute(0, createPoolRequest(clock, { deadlineAt }));
}

/** Sends batches of concurrent requests, so that an endpoint that answers none has the most free slots. */
async function countUnanswered({ clock, service }: PoolFixture, batches: number): Promise<number> {
  let unanswered = 0;
  for (let batch = 0; batch < batches; batch += 1) {
    const outcomes = await Promise.all(
      Array.from({ length: 5 }, () => service.execute(0, createPoolRequest(clock))),
    );
    unanswered += outcomes.filter((outcome) => outcome.isErr()).length;
  }
  return unanswered;
}

test.serial(
  'an endpoint that answers health checks but no request loses no request that fits elsewhere',
  async (t) => {
    const silent = await startEndpoint(t, 'e1', () => undefined);
    const live = await startEndpoint(t, 'e2', answerAfter('e2', 30));
    const pool = createPool(t, [silent, live]);
    await pool.service.open(createOpening(createStubLease(0, 1)));
    t.is((await executeWithShortDeadline(pool)).unwrapErr().run, 'unknown');
    t.is(await countUnanswered(pool, 4), 0);
    t.is(silent.received.length, 1);
  },
);

test.serial('an endpoint that fails requests at once does not attract the others', async (t) => {
  let calls = 0;
  const failing = await startEndpoint(t, 'e1', (request, response) => {
    calls += 1;
    if (calls % 2 === 0) answerRequest('e1', request, response);
    else response.writeHead(500).end('failed');
  });
  const live = await Promise.all(
    ['e2', 'e3'].map((id) => startEndpoint(t, id, answerAfter(id, 40))),
  );
  const { clock, service } = createPool(t, [failing, ...live]);
  await service.open(createOpening(createStubLease(0, 1)));
  const outcomes = [];
  for (let index = 0; index < 100; index += 1) {
    outcomes.push(service.execute(0, createPoolRequest(clock)));
    await pause(5);
  }
  const failed = (await Promise.all(outcomes)).filter((outcome) => outcome.isErr()).length;
  t.true(failed <= 10, `${failed} of 100 requests failed`);
});

test.serial('an endpoint that answers late is used again like the others', async (t) => {
  const slow = await startEndpoint(t, 'e1', answerAfter('e1', 2 * SHORT_DEADLINE_MILLISECONDS));
  const live = await startEndpoint(t, 'e2');
  const pool = createPool(t, [slow, live]);
  await pool.service.open(createOpening(createStubLease(0, 1)));
  t.is((await executeWithShortDeadline(pool)).unwrapErr().run, 'unknown');
  await waitUntil(() => pool.counters.read('endpoints.answers.late') === 1);
  t.true((await pool.service.execute(0, createPoolRequest(pool.clock))).isOk());
  t.is(slow.received.length, 2);
});

test.serial('an endpoint that is well again is used again within seconds', async (t) => {
  const endpoint = await startEndpoint(t, 'e1', (_request, response) => {
    setTimeout(() => response.destroy(), 2 * SHORT_DEADLINE_MILLISECONDS);
  });
  const live = await startEndpoint(t, 'e2');
  const pool = createPool(t, [endpoint, live]);
  await pool.service.open(createOpening(createStubLease(0, 1)));
  t.is((await executeWithShortDeadline(pool)).unwrapErr().run, 'unknown');
  endpoint.behaviour = (request, response) => answerRequest('e1', request, response);
  const startedAt = performance.now();
  while (endpoint.received.length < 2 && performance.now() - startedAt < 5_000) {
    t.true((await pool.service.execute(0, createPoolRequest(pool.clock))).isOk());
    await pause(20);
  }
  t.is(endpoint.received.length, 2);
});

test.serial('suspect endpoints are used when no other has a free slot', async (t) => {
  const endpoint = await startEndpoint(t, 'e1', () => undefined);
  const pool = createPool(t, [endpoint]);
  await pool.service.open(createOpening(createStubLease(0, 1)));
  t.is((await executeWithShortDeadline(pool)).unwrapErr().run, 'unknown');
  endpoint.behaviour = (request, response) => answerRequest('e1', request, response);
  t.is(await countUnanswered(pool, 2), 0);
});
