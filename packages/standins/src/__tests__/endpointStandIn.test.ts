import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Pool } from 'undici';

import type { EndpointResponse } from '@chicorybend/common';

import { startEndpointStandIn } from '../index.js';
import type { EndpointStandIn } from '../index.js';

const TIMED_OUT = { any: true, name: 'TimeoutError' } as const;

/** Starts an endpoint that is closed after the test, also after a failed one, so that the process can end. */
async function startEndpoint(t: ExecutionContext, slots = 8): Promise<EndpointStandIn> {
  const endpoint = await startEndpointStandIn({ endpointId: 'endpoint-1', slots });
  t.teardown(endpoint.close);
  return endpoint;
}

function openPool(
  t: ExecutionContext,
  endpoint: EndpointStandIn,
  options: Pool.Options = {},
): Pool {
  const pool = new Pool(endpoint.address, options);
  t.teardown(() => pool.destroy());
  return pool;
}

async function run(pool: Pool, requestId: string, payload: unknown, timeout = 5_000) {
  const response = await pool.request({
    method: 'POST',
    path: '/run',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ requestId, team: 'harbour', payload }),
    signal: AbortSignal.timeout(timeout),
  });
  return { status: response.statusCode, body: (await response.body.json()) as EndpointResponse };
}

test('an answer echoes the request identity and the execution is recorded', async (t) => {
  const endpoint = await startEndpoint(t);
  const pool = openPool(t, endpoint);
  const answer = await run(pool, 'r1', { serviceMilliseconds: 5, result: { a: 1 }, marker: 'm1' });
  t.deepEqual(answer.body, { requestId: 'r1', endpointId: 'endpoint-1', result: { a: 1 } });
  t.is(endpoint.record.entriesOf('request-started')[0]?.marker, 'm1');
  t.is(endpoint.record.entriesOf('request-ended')[0]?.outcome, 'answered');
});

test('requests beyond the slots run and show in the record', async (t) => {
  const endpoint = await startEndpoint(t, 2);
  const pool = openPool(t, endpoint);
  await Promise.all(['a', 'b', 'c'].map((id) => run(pool, id, { serviceMilliseconds: 1_000 })));
  t.is(Math.max(...endpoint.record.entriesOf('request-started').map((e) => e.concurrent)), 3);
  t.is(endpoint.executingCount(), 0);
  t.true(endpoint.peaks.connections >= 3);
});

test('silenced connections stay silent while new ones work', async (t) => {
  const endpoint = await startEndpoint(t);
  const silencedPool = openPool(t, endpoint, { connections: 1 });
  await run(silencedPool, 'r1', { serviceMilliseconds: 0 });
  endpoint.silenceOpenConnections();
  await t.throwsAsync(run(silencedPool, 'r2', { serviceMilliseconds: 0 }, 200), TIMED_OUT);
  const newPool = openPool(t, endpoint, { connections: 1 });
  t.is((await run(newPool, 'r3', { serviceMilliseconds: 0 })).status, 200);
  t.deepEqual(
    endpoint.record.entriesOf('request-started').map((entry) => entry.requestId),
    ['r1', 'r3'],
  );
});

test('a request whose connection is silenced while it runs has run without an answer', async (t) => {
  const endpoint = await startEndpoint(t);
  const pool = openPool(t, endpoint);
  const answer = run(pool, 'r1', { serviceMilliseconds: 100 }, 400);
  while (endpoint.executingCount() === 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  endpoint.silenceOpenConnections();
  await t.throwsAsync(answer, TIMED_OUT);
  t.is(endpoint.record.entriesOf('request-started').length, 1);
});

test('an endpoint that closes after taking a request has begun to run it', async (t) => {
  const endpoint = await startEndpoint(t);
  const pool = openPool(t, endpoint);
  endpoint.faults.closesConnectionAfterStart = true;
  await t.throwsAsync(run(pool, 'r1', { serviceMilliseconds: 50 }));
  t.is(endpoint.record.entriesOf('request-started').length, 1);
  t.is(endpoint.record.entriesOf('request-ended')[0]?.outcome, 'unanswered');
  t.is(endpoint.executingCount(), 0);
});

test('an execution ends when its connection ends, so that its slot is free', async (t) => {
  const endpoint = await startEndpoint(t);
  const pool = openPool(t, endpoint);
  await t.throwsAsync(run(pool, 'r1', { serviceMilliseconds: 60_000 }, 1_000), TIMED_OUT);
  while (endpoint.executingCount() > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  t.is(endpoint.record.entriesOf('request-ended')[0]?.outcome, 'unanswered');
});

test('a failing endpoint answers with status 500 and works again after a restart', async (t) => {
  const endpoint = await startEndpoint(t);
  const pool = openPool(t, endpoint);
  endpoint.faults.failsEveryRequest = true;
  t.is((await run(pool, 'r1', { serviceMilliseconds: 0 })).status, 500);
  endpoint.faults.failsEveryRequest = false;
  await endpoint.crash();
  await t.throwsAsync(run(pool, 'r2', { serviceMilliseconds: 0 }));
  await endpoint.restart();
  t.is((await run(pool, 'r3', { serviceMilliseconds: 0 })).status, 200);
});
