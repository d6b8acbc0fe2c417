// Minimal substitute for the daemon, for tests of the local cell and the programs that use it. Jobs are run by the
// process that first wrote its address to the store; there is no takeover, no limit and no durability.
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:net';

import fastify from 'fastify';
import { request as httpRequest } from 'undici';

import { createStoreClient, createSystemClock, sleep } from '@chicorybend/common';
import type {
  EndpointResponse,
  InteractiveRequest,
  JobRequest,
  JobView,
  SealResponse,
  StartRequest,
  TaskView,
  VmListResponse,
  VmRecord,
} from '@chicorybend/common';

type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key] };
type MutableJob = Mutable<Omit<JobView, 'tasks'>> & {
  tasks: Mutable<TaskView>[];
  request: JobRequest;
};

interface StubConfiguration {
  revision: number;
  sections: { keys?: Record<string, { revokedAt?: number }> };
}

const LEADER_KEY = 'stub/leader';
const CONFIGURATION_KEY = 'stub/configuration';
const NOT_AFTER_MILLISECONDS = 5_000;
const LEASE_MILLISECONDS = 12_000;
const RENEW_MILLISECONDS = 100;

const flag = (name: string): string => process.argv[process.argv.indexOf(`--${name}`) + 1] ?? '';
const clock = createSystemClock();
const store = createStoreClient({ address: flag('store-address'), clock });
const selfAddress = flag('api-advertise');
const jobs = new Map<string, MutableJob>();
const jobIdsByKey = new Map<string, string>();
const app = fastify();
let nextVmIndex = 0;

async function sendJson<Answer>(address: string, body: unknown): Promise<Answer> {
  const response = await httpRequest(address, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return (await response.body.json()) as Answer;
}

async function readConfiguration(): Promise<StubConfiguration> {
  const entry = (await store.get<StubConfiguration>(CONFIGURATION_KEY)).unwrap();
  return entry?.data ?? { revision: 0, sections: {} };
}

async function findLeader(): Promise<string> {
  await store.put({ key: LEADER_KEY, data: selfAddress, expectedVersion: 0 });
  return (await store.get<string>(LEADER_KEY)).unwrap()?.data ?? selfAddress;
}

async function chooseVm(role: VmRecord['role']): Promise<VmRecord> {
  const list = await sendJson<VmListResponse>(`${flag('vm-list-address')}/v1/vms`, undefined);
  const candidates = list.vms.filter((vm) => vm.role === role);
  nextVmIndex += 1;
  const chosen = candidates[nextVmIndex % candidates.length];
  if (!chosen) throw new Error(`the VM list contains no VM with role ${role}`);
  return chosen;
}

async function runRequest(request: InteractiveRequest): Promise<EndpointResponse> {
  const endpoint = await chooseVm('endpoint');
  const body = { requestId: randomUUID(), team: 'stub', payload: request.payload };
  return sendJson<EndpointResponse>(`${endpoint.address}/run`, body);
}

async function startTask(job: MutableJob, index: number): Promise<void> {
  const worker = await chooseVm('worker');
  const command = { partition: 0, epoch: 1 };
  const sealed = await sendJson<SealResponse>(`${worker.address}/seal`, command);
  const taskId = `${job.jobId}/${index}`;
  const start: StartRequest = {
    ...command,
    incarnation: sealed.incarnation,
    notAfterWorkerMilliseconds: sealed.workerMilliseconds + NOT_AFTER_MILLISECONDS,
    leaseMilliseconds: LEASE_MILLISECONDS,
    tasks: [
      {
        taskId,
        attempt: 1,
        team: job.team,
        jobPartition: 0,
        jobEpoch: 1,
        resources: job.request.resources,
        payload: job.request.payload,
      },
    ],
  };
  await sendJson(`${worker.address}/start`, start);
  const task = job.tasks[index];
  if (!task) return;
  task.state = 'running';
  while (task.state === 'running') {
    await sleep(clock, RENEW_MILLISECONDS);
    const isCancelled = job.state === 'cancelling';
    if (isCancelled) {
      await sendJson(`${worker.address}/stop`, { ...command, tasks: [{ taskId, attempt: 1 }] });
    }
    const renewal = { ...command, leaseMilliseconds: LEASE_MILLISECONDS, acknowledged: [] };
    const report = await sendJson<SealResponse>(`${worker.address}/renew`, renewal);
    const finished = report.finished.find((each) => each.taskId === taskId);
    if (finished) {
      task.state = finished.end === 'succeeded' ? 'succeeded' : 'cancelled';
      task.result = finished.result;
    }
  }
}

async function runJob(job: MutableJob): Promise<void> {
  await Promise.all(job.tasks.map((_, index) => startTask(job, index)));
  const state = job.state === 'cancelling' ? 'cancelled' : 'succeeded';
  Object.assign(job, { state });
}

function acceptJob(request: JobRequest, idempotencyKey: string): { jobId: string } {
  const existingJobId = jobIdsByKey.get(idempotencyKey);
  if (existingJobId) return { jobId: existingJobId };
  const jobId = `0-${randomUUID()}`;
  const tasks = Array.from({ length: request.tasks }, (_, index): Mutable<TaskView> => ({
    taskId: `${jobId}/${index}`,
    state: 'pending',
    attempt: 1,
    workerId: null,
  }));
  const { queue, kind } = request;
  const acceptedAt = Date.now();
  const job: MutableJob = {
    jobId,
    team: 'stub',
    queue,
    kind,
    state: 'running',
    acceptedAt,
    tasks,
    request,
  };
  jobs.set(jobId, job);
  jobIdsByKey.set(idempotencyKey, jobId);
  runJob(job).catch(() => {
    job.state = 'unknown';
  });
  return { jobId };
}

app.get('/health/ready', () => ({ state: 'serving' }));
app.get('/v1/configuration', readConfiguration);
app.post('/v1/configuration/apply', async (message) => {
  const { sections } = message.body as { sections: object };
  const entry = (await store.get<StubConfiguration>(CONFIGURATION_KEY)).unwrap();
  const revision = (entry?.data.revision ?? 0) + 1;
  const data = { revision, sections: { ...entry?.data.sections, ...sections } };
  const expectedVersion = entry?.version ?? 0;
  const outcome = (await store.put({ key: CONFIGURATION_KEY, data, expectedVersion })).unwrap();
  if (outcome.kind !== 'written') throw new Error('the configuration was changed concurrently');
  return { revision };
});
app.post('/v1/requests', async (message, reply) => {
  const keyId = message.headers.authorization?.split('_')[1];
  const { sections } = await readConfiguration();
  const key = keyId === undefined ? { revokedAt: undefined } : sections.keys?.[keyId];
  if (!key || key.revokedAt !== undefined) {
    const code = key ? 'revoked-key' : 'wrong-key';
    return reply.status(401).send({ run: 'not-run', code, message: code });
  }
  return runRequest(message.body as InteractiveRequest);
});

app.addHook('preHandler', async (message, reply) => {
  if (!message.url.startsWith('/v1/jobs')) return;
  const leader = await findLeader();
  if (leader === selfAddress) return;
  const response = await httpRequest(`${leader}${message.url}`, {
    method: message.method as 'GET' | 'POST',
    headers: {
      'content-type': 'application/json',
      'idempotency-key': String(message.headers['idempotency-key'] ?? ''),
    },
    body: message.method === 'GET' ? null : JSON.stringify(message.body ?? {}),
  });
  reply.status(response.statusCode).send(await response.body.json());
});
app.post('/v1/jobs', async (message, reply) => {
  const idempotencyKey = String(message.headers['idempotency-key']);
  return reply.status(201).send(acceptJob(message.body as JobRequest, idempotencyKey));
});
app.get<{ Params: { id: string } }>('/v1/jobs/:id', (message) => jobs.get(message.params.id));
app.get<{ Params: { id: string } }>('/v1/jobs/:id/result', async (message) => {
  const job = jobs.get(message.params.id);
  while (job?.state === 'running' || job?.state === 'cancelling') {
    await sleep(clock, RENEW_MILLISECONDS);
  }
  return job;
});
app.post<{ Params: { id: string } }>('/v1/jobs/:id/cancel', (message) => {
  const job = jobs.get(message.params.id);
  if (job?.state === 'running') job.state = 'cancelling';
  return job;
});

const peers = createServer((socket) => socket.pipe(socket).on('error', () => {}));
peers.listen(Number(flag('peer-port')), flag('host'));
process.on('SIGTERM', () => {
  // Waits for requests in flight, but closes idle connections that callers keep open.
  setInterval(() => app.server.closeIdleConnections(), RENEW_MILLISECONDS);
  app.close().then(
    () => process.exit(0),
    () => process.exit(1),
  );
});
await app.listen({ host: flag('host'), port: Number(flag('api-port')) });
