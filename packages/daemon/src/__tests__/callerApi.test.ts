import { connect } from 'node:net';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import {
  createFailure,
  createLocalCounters,
  createSilentLog,
  createSystemClock,
  Err,
  Ok,
  partitionOf,
} from '@chicorybend/common';
import type { Failure, InteractiveResponse, JobView, Result } from '@chicorybend/common';

import { DRAIN_GRACE_MILLISECONDS, registerCallerApi } from '../core/callerApi.js';
import { createHttpServer } from '../core/httpServer.js';
import type { RoutedRequest } from '../core/requestRouter.js';
import {
  CONFIGURATION,
  createKey,
  createStubConfiguration,
  createStubDirectory,
  createStubNetwork,
  HOST,
  pause,
  waitUntil,
} from './interactiveStubs.js';

const PARTITIONS = 4;
const KEY = 'Bearer cb_bench_secret';
const REQUEST = {
  queue: 'entries',
  idempotent: true,
  deadlineMilliseconds: 500,
  payload: { a: 1 },
};
const JOB = {
  queue: 'certificates',
  kind: 'batch',
  tasks: 1,
  resources: { processors: 1, memoryBytes: 1_024, accelerators: 0 },
  idempotent: false,
  urgent: false,
  expectedRunMilliseconds: 1_000,
  payload: null,
};
const JOB_ID = '2-00000000-0000-4000-8000-000000000000';
const JOB_VIEW: JobView = {
  jobId: JOB_ID,
  team: 'bench',
  queue: 'certificates',
  kind: 'batch',
  state: 'running',
  acceptedAt: 0,
  tasks: [],
};

interface Answer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Record<string, unknown> & { details?: { path: string; reason: string }[] };
}

async function startCallerApi(
  t: ExecutionContext,
  options: {
    configuration?: Parameters<typeof createStubConfiguration>[0];
    jobDeadlineMilliseconds?: number;
  } = {},
) {
  const network = createStubNetwork();
  const directory = createStubDirectory(PARTITIONS, 'd1');
  const routed: RoutedRequest[] = [];
  const state = {
    routed,
    readiness: Ok(undefined) as Result<void, Failure>,
    route: async (): Promise<Result<InteractiveResponse, Failure>> =>
      Ok({ requestId: 'r', endpointId: 'e', result: 1 }),
  };
  const server = createHttpServer({
    host: HOST,
    port: 0,
    log: createSilentLog(),
    counters: createLocalCounters(),
    readiness: () => state.readiness,
  });
  const api = registerCallerApi(server, {
    clock: createSystemClock(),
    counters: createLocalCounters(),
    configuration: createStubConfiguration(options.configuration),
    directory,
    link: network.linkOf('d1'),
    router: {
      route(request) {
        routed.push(request);
        return state.route();
      },
      inFlight: () => 0,
      idle: async () => undefined,
    },
    jobDeadlineMilliseconds: options.jobDeadlineMilliseconds ?? 1_000,
  });
  const address = await server.listen();
  t.teardown(() => server.close());

  async function send(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const response = await fetch(`${address}${path}`, {
      method,
      headers: {
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...headers,
      },
      ...(body === undefined
        ? {}
        : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
    });
    const answer = (await response.json()) as Answer['body'];
    return { status: response.status, headers: response.headers, body: answer };
  }

  return { ...state, state, network, directory, server, api, address, send };
}

function assertFailure(t: ExecutionContext, answer: Answer, status: number, code: string): void {
  t.is(answer.body.code, code);
  t.is(answer.status, status);
  t.is(typeof answer.body.message, 'string');
  t.true(['run', 'not-run', 'unknown'].includes(String(answer.body.run)));
  const allowed = ['run', 'code', 'message', 'retryAfterMilliseconds', 'details'];
  t.deepEqual(
    Object.keys(answer.body).filter((name) => !allowed.includes(name)),
    [],
  );
}

test('a body that is not JSON, too deep, too large or of another type is refused in the failure form', async (t) => {
  const { send, routed } = await startCallerApi(t);
  assertFailure(t, await send('POST', '/v1/requests', '{"queue":'), 400, 'malformed-json');
  assertFailure(
    t,
    await send('POST', '/v1/requests', `${'['.repeat(200)}${']'.repeat(200)}`),
    400,
    'malformed-json',
  );
  assertFailure(
    t,
    await send('POST', '/v1/requests', '{"__proto__": {"idempotent": true}}'),
    400,
    'malformed-json',
  );
  assertFailure(
    t,
    await send('POST', '/v1/requests', JSON.stringify('x'.repeat(1_048_577))),
    413,
    'body-too-large',
  );
  assertFailure(
    t,
    await send('POST', '/v1/requests', 'a=b', { 'content-type': 'text/plain' }),
    415,
    'unsupported-media-type',
  );
  assertFailure(t, await send('POST', '/v1/requests'), 400, 'invalid-body');
  t.is(routed.length, 0);
});

test('a body of exactly the size limit is accepted', async (t) => {
  const { send } = await startCallerApi(t);
  const empty = JSON.stringify({ ...REQUEST, payload: '' });
  const payload = 'x'.repeat(1_048_576 - empty.length);
  const answer = await send(
    'POST',
    '/v1/requests',
    { ...REQUEST, payload },
    { authorization: KEY },
  );
  t.is(answer.status, 200);
});

test('unknown routes, methods and broken paths are refused in the failure form', async (t) => {
  const { send } = await startCallerApi(t);
  assertFailure(t, await send('GET', '/v2/requests'), 404, 'unknown-route');
  assertFailure(t, await send('DELETE', '/v1/requests'), 404, 'unknown-route');
  assertFailure(t, await send('GET', '/v1/jobs/%zz'), 404, 'unknown-route');
  assertFailure(t, await send('GET', `/v1/jobs/${'9'.repeat(500)}`), 404, 'unknown-route');
});

test('input that is not HTTP is answered with a failure body and its connection is closed', async (t) => {
  const { address } = await startCallerApi(t);
  const socket = connect(Number(new URL(address).port), HOST);
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  socket.write('NONSENSE\r\n\r\n');
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  t.regex(text, /^HTTP\/1\.1 400 /);
  t.is((JSON.parse(text.split('\r\n\r\n')[1] ?? '') as { run: string }).run, 'not-run');
});

test('each wrong or unknown field is named with its path and reason', async (t) => {
  const { send, routed } = await startCallerApi(t);
  const answer = await send('POST', '/v1/jobs', {
    ...JOB,
    tasks: 0,
    resources: { ...JOB.resources, memoryBytes: '1', disks: 2 },
    extra: 1,
  });
  assertFailure(t, answer, 400, 'invalid-body');
  const paths = (answer.body.details ?? []).map(({ path }) => path).sort();
  t.deepEqual(paths, ['extra', 'resources.disks', 'resources.memoryBytes', 'tasks']);
  t.is(answer.body.details?.find(({ path }) => path === 'extra')?.reason, 'unknown field');
  const { payload, ...withoutPayload } = REQUEST;
  const missing = await send('POST', '/v1/requests', withoutPayload, { authorization: KEY });
  assertFailure(t, missing, 400, 'invalid-body');
  t.deepEqual(
    missing.body.details?.map(({ path }) => path),
    ['payload'],
  );
  t.deepEqual(payload, REQUEST.payload);
  t.is(routed.length, 0);
});

test('an invalid value of a single field is refused with the path of the field', async (t) => {
  const { send, routed } = await startCallerApi(t);
  const wrong: [string, unknown][] = [
    ['queue', ''],
    ['queue', 7],
    ['idempotent', 'yes'],
    ['deadlineMilliseconds', 0],
    ['deadlineMilliseconds', 1.5],
    ['deadlineMilliseconds', 10_001],
    ['deadlineMilliseconds', null],
  ];
  for (const [field, value] of wrong) {
    const body = { ...REQUEST, [field]: value };
    const answer = await send('POST', '/v1/requests', body, { authorization: KEY });
    assertFailure(t, answer, 400, 'invalid-body');
    t.deepEqual(
      answer.body.details?.map(({ path }) => path),
      [field],
    );
  }
  for (const body of [null, [], '"text"', 1]) {
    assertFailure(t, await send('POST', '/v1/requests', body), 400, 'invalid-body');
  }
  t.is(routed.length, 0);
});

test('an unexpected exception is answered as a failure with an unknown outcome', async (t) => {
  const { send, state } = await startCallerApi(t);
  state.route = () => Promise.reject(new Error('broken'));
  const answer = await send('POST', '/v1/requests', REQUEST, { authorization: KEY });
  assertFailure(t, answer, 500, 'internal-error');
  t.is(answer.body.run, 'unknown');
});

test('a failure with a time to retry carries the header retry-after in whole seconds', async (t) => {
  const { send, state } = await startCallerApi(t);
  const retry = { retryAfterMilliseconds: 1_200 };
  state.route = async () => Err(createFailure('overloaded', {}, retry));
  const answer = await send('POST', '/v1/requests', REQUEST, { authorization: KEY });
  assertFailure(t, answer, 503, 'overloaded');
  t.is(answer.headers.get('retry-after'), '2');
  t.is(answer.body.retryAfterMilliseconds, 1_200);
});

test('a keyed queue accepts requests only with a valid key of an allowed team', async (t) => {
  const { send, routed } = await startCallerApi(t);
  const cases: [Record<string, string>, number, string][] = [
    [{}, 401, 'missing-key'],
    [{ authorization: 'cb_bench_secret' }, 400, 'invalid-header'],
    [{ authorization: 'Bearer cb_bench_other' }, 401, 'wrong-key'],
    [{ authorization: 'Bearer cb_revoked_secret' }, 401, 'revoked-key'],
    [{ authorization: 'Bearer cb_quotes_secret' }, 403, 'team-not-allowed'],
  ];
  for (const [headers, status, code] of cases) {
    assertFailure(t, await send('POST', '/v1/requests', REQUEST, headers), status, code);
  }
  t.is(routed.length, 0);
  t.is((await send('POST', '/v1/requests', REQUEST, { authorization: KEY })).status, 200);
  t.is(routed[0]?.team, 'bench');
});

test('an open queue needs no key and accounts requests to its own team, whatever key is presented', async (t) => {
  const { send, routed } = await startCallerApi(t);
  const body = { ...REQUEST, queue: 'public' };
  t.is((await send('POST', '/v1/requests', body)).status, 200);
  t.is((await send('POST', '/v1/requests', body, { authorization: KEY })).status, 200);
  t.deepEqual(
    routed.map(({ team }) => team),
    ['quotes', 'quotes'],
  );
});

test('an unknown queue, a queue of another kind and names of built-in properties are refused', async (t) => {
  const { send } = await startCallerApi(t);
  const headers = { authorization: KEY };
  for (const queue of ['nowhere', 'constructor', '__proto__']) {
    const answer = await send('POST', '/v1/requests', { ...REQUEST, queue }, headers);
    assertFailure(t, answer, 404, 'unknown-queue');
  }
  const batch = await send('POST', '/v1/requests', { ...REQUEST, queue: 'certificates' }, headers);
  assertFailure(t, batch, 400, 'wrong-queue-kind');
  const job = await send('POST', '/v1/jobs', { ...JOB, kind: 'gang' }, headers);
  assertFailure(t, job, 400, 'wrong-queue-kind');
});

test('requests to keyed queues are refused while the configuration is not confirmed as current', async (t) => {
  const { send } = await startCallerApi(t, {
    configuration: { current: CONFIGURATION, isFresh: false },
  });
  const answer = await send('POST', '/v1/requests', REQUEST, { authorization: KEY });
  assertFailure(t, answer, 503, 'configuration-not-fresh');
  t.is((await send('POST', '/v1/requests', { ...REQUEST, queue: 'public' })).status, 200);
});

test('all calls are refused before the first configuration was read', async (t) => {
  const { send } = await startCallerApi(t, {
    configuration: { current: null, isFresh: false },
  });
  const body = { ...REQUEST, queue: 'public' };
  assertFailure(t, await send('POST', '/v1/requests', body), 503, 'configuration-not-fresh');
  assertFailure(t, await send('GET', `/v1/jobs/${JOB_ID}`), 503, 'configuration-not-fresh');
});

test('a non-idempotent request needs a UUID version 7 as its key', async (t) => {
  const { send, routed } = await startCallerApi(t);
  const body = { ...REQUEST, idempotent: false };
  const headers = { authorization: KEY };
  assertFailure(
    t,
    await send('POST', '/v1/requests', body, headers),
    400,
    'idempotency-key-required',
  );
  for (const key of ['order-7', '7f1c1d0e-3c57-4f0a-9d3c-0a1b2c3d4e5f']) {
    const answer = await send('POST', '/v1/requests', body, { ...headers, 'idempotency-key': key });
    assertFailure(t, answer, 400, 'invalid-header');
  }
  const key = createKey();
  const taken = await send('POST', '/v1/requests', body, {
    ...headers,
    'idempotency-key': key.toUpperCase(),
  });
  t.is(taken.status, 200);
  t.is(routed[0]?.idempotencyKey, key);
});

test('a job is submitted to the owner of the partition that its team and key map to', async (t) => {
  const { send, network } = await startCallerApi(t);
  const partitions: number[] = [];
  network.linkOf('d1').handle('job.submit', async (params) => {
    partitions.push(params.partition);
    return Ok({ jobId: JOB_ID });
  });
  const headers = { authorization: KEY, 'idempotency-key': 'filing-2026-12' };
  const answer = await send('POST', '/v1/jobs', JOB, headers);
  t.is(answer.status, 201);
  t.deepEqual(answer.body, { jobId: JOB_ID });
  t.deepEqual(partitions, [partitionOf('bench/filing-2026-12', PARTITIONS)]);
  const withoutKey = await send('POST', '/v1/jobs', JOB, { authorization: KEY });
  assertFailure(t, withoutKey, 400, 'idempotency-key-required');
  const badKey = await send('POST', '/v1/jobs', JOB, { ...headers, 'idempotency-key': 'a b' });
  assertFailure(t, badKey, 400, 'invalid-header');
});

// A daemon that is not the owner must not refuse the job itself: only the owner knows whether it was accepted before.
test('the refusal of a job that fits no worker is passed on with its reasons', async (t) => {
  const { send, network, directory } = await startCallerApi(t);
  for (let partition = 0; partition < PARTITIONS; partition += 1) {
    directory.owners.set(partition, 'd2');
  }
  const details = [{ path: 'resources.processors', reason: 'a task needs 33' }];
  network.linkOf('d2').handle('job.submit', async () => {
    const reason = 'resources.processors: a task needs 33';
    return Err(createFailure('never-fits', { reason }, { details }));
  });
  const headers = { authorization: KEY, 'idempotency-key': 'k' };
  const job = { ...JOB, resources: { ...JOB.resources, processors: 33 } };
  const answer = await send('POST', '/v1/jobs', job, headers);
  assertFailure(t, answer, 422, 'never-fits');
  t.regex(String(answer.body.message), /a task needs 33/);
  t.deepEqual(answer.body.details, details);
});

// Guards against the refusal of a body without fields that have a default.
test('accelerators and urgency of a job may be left out', async (t) => {
  const { send, network } = await startCallerApi(t);
  const requests: unknown[] = [];
  network.linkOf('d1').handle('job.submit', async ({ request }) => {
    requests.push(request);
    return Ok({ jobId: JOB_ID });
  });
  const { urgent, ...job } = JOB;
  const { accelerators, ...resources } = JOB.resources;
  const headers = { authorization: KEY, 'idempotency-key': 'k' };
  const answer = await send('POST', '/v1/jobs', { ...job, resources }, headers);
  t.is(answer.status, 201);
  t.like(requests[0], { urgent: false, resources: { accelerators: 0 } });
});

test('a missing field has the reason "is required", a field of a wrong type the expected type', async (t) => {
  const { send } = await startCallerApi(t);
  const { kind, ...job } = JOB;
  const headers = { authorization: KEY, 'idempotency-key': 'k' };
  const answer = await send('POST', '/v1/jobs', { ...job, tasks: 'two' }, headers);
  assertFailure(t, answer, 400, 'invalid-body');
  const reasons = Object.fromEntries(
    answer.body.details?.map(({ path, reason }) => [path, reason]) ?? [],
  );
  t.is(reasons.kind, 'is required');
  t.regex(String(reasons.tasks), /expected number, received string/);
});

test('a submission is retried at the new owner after not-sent, lost and not-owner', async (t) => {
  const { send, network, directory } = await startCallerApi(t);
  let faults = 0;
  network.fault = () => {
    faults += 1;
    if (faults === 1) return { kind: 'not-sent', reason: 'refused' };
    if (faults === 2) return { kind: 'lost', reason: 'closed' };
    if (faults === 3) return { kind: 'refused', failure: createFailure('not-owner') };
    return null;
  };
  const keys: string[] = [];
  network.linkOf('d2').handle('job.submit', async (params) => {
    keys.push(params.idempotencyKey);
    return Ok({ jobId: JOB_ID });
  });
  directory.refreshOwner = () => {
    for (let partition = 0; partition < PARTITIONS; partition += 1) {
      directory.owners.set(partition, 'd2');
    }
  };
  const headers = { authorization: KEY, 'idempotency-key': 'k1' };
  const answer = await send('POST', '/v1/jobs', JOB, headers);
  t.is(answer.status, 201);
  t.deepEqual(keys, ['k1']);
  t.is(faults, 4);
});

test('a submission whose call was lost is never reported as not run', async (t) => {
  const { send, network } = await startCallerApi(t, { jobDeadlineMilliseconds: 200 });
  let faults = 0;
  network.fault = () => {
    faults += 1;
    if (faults === 1) return { kind: 'lost', reason: 'closed' };
    if (faults === 2) return { kind: 'not-sent', reason: 'refused' };
    return { kind: 'refused', failure: createFailure('store-unavailable') };
  };
  const headers = { authorization: KEY, 'idempotency-key': 'k1' };
  const answer = await send('POST', '/v1/jobs', JOB, headers);
  assertFailure(t, answer, 502, 'peer-lost');
  t.is(answer.body.run, 'unknown');
});

test('a submission without a reachable owner is refused as not run by its deadline', async (t) => {
  const { send, network, directory } = await startCallerApi(t, {
    jobDeadlineMilliseconds: 150,
  });
  network.fault = () => ({ kind: 'not-sent', reason: 'refused' });
  const headers = { authorization: KEY, 'idempotency-key': 'k1' };
  assertFailure(t, await send('POST', '/v1/jobs', JOB, headers), 503, 'peer-unreachable');
  t.true(directory.refreshes > 0);
  directory.owners.clear();
  assertFailure(t, await send('POST', '/v1/jobs', JOB, headers), 503, 'no-owner');
});

test('a job is visible only to its team, and without a key only if its queue is open', async (t) => {
  const { send, network } = await startCallerApi(t);
  const view = { ...JOB_VIEW };
  network
    .linkOf('d1')
    .handle('job.read', async ({ jobId, team }) =>
      team === view.team ? Ok({ ...view, jobId }) : Err(createFailure('unknown-job', { jobId })),
    );
  const path = `/v1/jobs/${JOB_ID}`;
  t.is((await send('GET', path, undefined, { authorization: KEY })).body.state, 'running');
  const other = { authorization: 'Bearer cb_quotes_secret' };
  assertFailure(t, await send('GET', path, undefined, other), 404, 'unknown-job');
  assertFailure(t, await send('GET', path), 404, 'unknown-job');
  Object.assign(view, { team: 'quotes' });
  assertFailure(t, await send('GET', path), 404, 'unknown-job');
  Object.assign(view, { queue: 'samples' });
  t.is((await send('GET', path)).status, 200);
  const revoked = { authorization: 'Bearer cb_revoked_secret' };
  assertFailure(t, await send('GET', path, undefined, revoked), 401, 'revoked-key');
});

test('malformed job ids and ids of partitions that do not exist are unknown jobs', async (t) => {
  const { send } = await startCallerApi(t);
  const headers = { authorization: KEY };
  for (const jobId of ['1', 'x', `9${JOB_ID}`, `-${JOB_ID}`, `${JOB_ID}0`, '2-..%2F..']) {
    const answer = await send('GET', `/v1/jobs/${jobId}`, undefined, headers);
    assertFailure(t, answer, 404, 'unknown-job');
  }
});

test('a wait for a result ends when the job ends, the wait time passes or a drain starts', async (t) => {
  const { send, network, api } = await startCallerApi(t);
  const view = { ...JOB_VIEW };
  const link = network.linkOf('d1');
  link.handle('job.read', async () => Ok({ ...view }));
  link.handle('job.wait', async ({ waitMilliseconds }) => {
    await pause(Math.min(waitMilliseconds, 50));
    return Ok({ ...view });
  });
  const path = `/v1/jobs/${JOB_ID}/result`;
  const headers = { authorization: KEY };
  t.is(
    (await send('GET', `${path}?waitMilliseconds=100`, undefined, headers)).body.state,
    'running',
  );
  const waiting = send('GET', `${path}?waitMilliseconds=30000`, undefined, headers);
  await pause(60);
  Object.assign(view, { state: 'succeeded' });
  t.is((await waiting).body.state, 'succeeded');
  Object.assign(view, { state: 'running' });
  const interrupted = send('GET', `${path}?waitMilliseconds=30000`, undefined, headers);
  await waitUntil(() => api.inFlight() === 1);
  const drainedAt = performance.now();
  api.startDrain();
  t.is((await interrupted).status, 200);
  t.true(
    performance.now() - drainedAt < 20_000,
    'the drain ends the wait long before its time limit',
  );
});

test('a wait with an invalid query is refused with the name of the parameter', async (t) => {
  const { send } = await startCallerApi(t);
  for (const query of ['waitMilliseconds=-1', 'waitMilliseconds=x', 'wait=1']) {
    const answer = await send('GET', `/v1/jobs/${JOB_ID}/result?${query}`);
    assertFailure(t, answer, 400, 'invalid-body');
    t.is(answer.body.details?.[0]?.path, query.split('=')[0]);
  }
});

test('a cancellation is sent to the owner, and its answer or failure is returned', async (t) => {
  const { send, network } = await startCallerApi(t);
  const link = network.linkOf('d1');
  link.handle('job.read', async () => Ok(JOB_VIEW));
  link.handle('job.cancel', async () => Ok({ ...JOB_VIEW, state: 'cancelling' as const }));
  const headers = { authorization: KEY };
  const path = `/v1/jobs/${JOB_ID}/cancel`;
  t.is((await send('POST', path, undefined, headers)).body.state, 'cancelling');
  const withType = { ...headers, 'content-type': 'application/json' };
  t.is((await send('POST', path, '', withType)).body.state, 'cancelling');
  link.handle('job.cancel', async ({ jobId }) =>
    Err(createFailure('not-cancellable', { jobId, state: 'succeeded' })),
  );
  assertFailure(t, await send('POST', path, undefined, headers), 409, 'not-cancellable');
});

test('a drain accepts requests during its grace time, then refuses them, and waits for requests in flight', async (t) => {
  const { send, state, api } = await startCallerApi(t);
  const resolvers: (() => void)[] = [];
  state.route = () =>
    new Promise((resolve) => {
      resolvers.push(() => resolve(Ok({ requestId: 'r', endpointId: 'e', result: 1 })));
    });
  const headers = { authorization: KEY };
  const running = send('POST', '/v1/requests', REQUEST, headers);
  await waitUntil(() => api.inFlight() === 1);
  api.startDrain();
  const late = send('POST', '/v1/requests', REQUEST, headers);
  await waitUntil(() => api.inFlight() === 2);
  resolvers[1]?.();
  t.is((await late).status, 200);
  await pause(DRAIN_GRACE_MILLISECONDS);
  assertFailure(t, await send('POST', '/v1/requests', REQUEST, headers), 503, 'draining');
  let isIdle = false;
  const idle = api.idle().then(() => {
    isIdle = true;
  });
  await pause(20);
  t.false(isIdle);
  resolvers[0]?.();
  t.is((await running).status, 200);
  await idle;
  t.is(api.inFlight(), 0);
});

test('the health routes report liveness and readiness separately', async (t) => {
  const { send, state, server } = await startCallerApi(t);
  t.is((await send('GET', '/health/live')).status, 200);
  t.is((await send('GET', '/health/ready')).status, 200);
  state.readiness = Err(createFailure('draining'));
  assertFailure(t, await send('GET', '/health/ready'), 503, 'draining');
  t.is((await send('GET', '/health/live')).status, 200);
  server.closeConnectionsAfterAnswers();
  t.is((await send('GET', '/health/live')).headers.get('connection'), 'close');
});
