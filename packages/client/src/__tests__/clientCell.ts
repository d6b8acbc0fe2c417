import {
  createLocalCounters,
  createSilentLog,
  createStoreClient,
  createSystemClock,
  Ok,
  sha256,
} from '@chicorybend/common';
import type { JobState, JobView, TaskState } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import type { ExecutionContext } from 'ava';
import { createConfigurationService, createHttpServer, registerOperatorApi } from 'chicorybendd';
import type { ConfigurationService, MembershipView, PeerLink, WorkerView } from 'chicorybendd';
import type { FastifyInstance } from 'fastify';

import { runClient } from '../index.js';
import type { ExitCode } from '../index.js';

const TOKEN = 'token-of-the-bootstrap-operator';
const DAEMON_ID = 'entry-1';
const LIMITS = { tasks: 10, requests: 10 };

/** Initial configuration of the cell. */
export const SECTIONS = {
  cell: { name: 'coldline' },
  policy: { order: 'waiting-time-first' },
  teams: { harbour: { share: 2, limits: LIMITS } },
  queues: { quotes: { kind: 'interactive', access: 'keyed' } },
  keys: {
    '4f2a91c0d3e7': {
      team: 'harbour',
      secretHash: sha256('secret'),
      issuedAt: 1_700_000_000_000,
      issuedBy: 'bootstrap',
    },
  },
};

const USAGE_ROW = {
  team: 'harbour',
  queue: 'sorting',
  hour: Date.UTC(2026, 2, 1),
  processorSeconds: 3_600,
  memoryByteSeconds: 0,
  acceleratorSeconds: 0,
  tasks: 1,
};

/** Exit code and output of a client run. */
export interface ClientRun {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly errors: string;
}

/** HTTP API and configuration service of a daemon on a stand-in store, and client runs against them. */
export interface ClientCell {
  readonly server: FastifyInstance;
  readonly service: ConfigurationService;
  /** Files that the client reads and writes. */
  readonly files: Map<string, string>;
  readonly variables: Record<string, string>;
  run(...argv: string[]): Promise<ClientRun>;
}

function createLoopbackLink(): PeerLink {
  const handlers = new Map<string, (params: never, context: never) => Promise<unknown>>();
  return {
    async call(_, method, params) {
      const handler = handlers.get(method);
      if (!handler) return Ok([] as never);
      return (await handler(params as never, { from: DAEMON_ID } as never)) as never;
    },
    handle: (method, handler) => handlers.set(method, handler),
  };
}

function createSingleMemberView(): MembershipView {
  const member = {
    daemonId: DAEMON_ID,
    incarnation: '1',
    peerAddress: '127.0.0.1:1',
    apiAddress: 'http://127.0.0.1:1',
    dataCentre: 'east',
  };
  return {
    selfId: DAEMON_ID,
    record: () => ({ version: 1, members: [member] }),
    liveMembers: () => [member],
    peerStatuses: () => [],
    isInContactWithMajority: () => true,
    mayAct: () => true,
  };
}

/** States of the jobs with a fixed id, each with the state of its second task. */
const JOB_STATES: Readonly<Record<string, readonly [JobState, TaskState]>> = {
  'failed-job': ['failed', 'failed'],
  'running-job': ['running', 'running'],
  'starting-job': ['running', 'pending'],
};

const WORKER_VIEW: WorkerView = {
  workerId: '',
  partition: 0,
  state: 'live',
  capacity: { processors: 1, memoryBytes: 1, accelerators: 0 },
  free: { processors: 1, memoryBytes: 1, accelerators: 0 },
  runningTasks: 0,
};

function createJobView(jobId: string): JobView {
  const [state, taskState] = JOB_STATES[jobId] ?? ['succeeded', 'succeeded'];
  const task = { attempt: 1, workerId: 'worker-1' };
  const tasks = [
    { ...task, taskId: `${jobId}/0`, state: 'succeeded' as const },
    { ...task, taskId: `${jobId}/1`, state: taskState },
  ];
  return { jobId, team: 'harbour', queue: 'sorting', kind: 'batch', state, acceptedAt: 1, tasks };
}

/** Stubs for the routes of callers, which the operators' API does not include. */
function addCallerRouteStubs(server: FastifyInstance): void {
  const idOf = (parameters: unknown) => (parameters as { id: string }).id;
  server.post('/v1/requests', async () => ({ requestId: '1', endpointId: 'ledger-1', result: 7 }));
  server.post('/v1/jobs', (_, reply) => reply.status(201).send({ jobId: '3-1' }));
  server.get('/v1/jobs/:id', async (request) => createJobView(idOf(request.params)));
  server.get('/v1/jobs/:id/result', async (request) => createJobView(idOf(request.params)));
  server.post('/v1/jobs/:id/cancel', async (request) => createJobView(idOf(request.params)));
}

/**
 * Starts the HTTP API of a daemon on the loopback interface, with `SECTIONS` as configuration. It is closed when the
 * test ends.
 */
export async function createClientCell(t: ExecutionContext): Promise<ClientCell> {
  const clock = createSystemClock();
  const standIn = await startStoreStandIn();
  const store = createStoreClient({ address: standIn.address, clock });
  const link = createLoopbackLink();
  const membership = createSingleMemberView();
  const log = createSilentLog();
  const counters = createLocalCounters();
  const service = createConfigurationService({ clock, store, link, membership, log, counters });
  const applied = await service.change({
    operator: { name: 'bootstrap', tokenHash: null },
    action: 'configuration.apply',
    subject: null,
    edit: () => Ok({ baseRevision: 0, sections: SECTIONS }),
  });
  applied.unwrap();
  link.handle('usage.report', async () => Ok({ rows: [USAGE_ROW], unmeasured: 0 }));
  link.handle('worker.lift', async ({ workerId }) => Ok({ ...WORKER_VIEW, workerId }));
  link.handle('job.release', async ({ jobId }) => Ok(createJobView(jobId)));
  const server = createHttpServer({
    host: '127.0.0.1',
    port: 0,
    log,
    counters,
    readiness: () => Ok(undefined),
  });
  const directory = {
    partitionCount: 2,
    ownerOf: (partition: number) => (partition === 0 ? { daemonId: DAEMON_ID, epoch: 1 } : null),
    leaseOf: () => null,
    isOwnerSilent: () => false,
    servedPartitions: () => [0],
    refreshOwner: () => undefined,
  };
  registerOperatorApi(server, {
    clock,
    operatorToken: TOKEN,
    configuration: service,
    link,
    membership,
    directory,
  });
  addCallerRouteStubs(server.instance);
  const address = await server.listen();
  t.teardown(async () => {
    await server.close();
    await store.close();
    await standIn.close();
  });
  const files = new Map<string, string>();
  const variables: Record<string, string> = {
    CHICORYBEND_ADDRESS: address,
    CHICORYBEND_TOKEN: TOKEN,
    CHICORYBEND_OPERATOR: 'bootstrap',
    CHICORYBEND_KEY: 'cb_4f2a91c0d3e7_secret',
  };
  return {
    server: server.instance,
    service,
    files,
    variables,
    async run(...argv) {
      const output: string[] = [];
      const errors: string[] = [];
      const exitCode = await runClient(argv, {
        variables,
        print: (text) => output.push(text),
        printError: (text) => errors.push(text),
        async readFile(path) {
          const text = files.get(path);
          if (text === undefined) throw new Error('no such file');
          return text;
        },
        async writeFile(path, text) {
          files.set(path, text);
        },
      });
      return { exitCode, output: output.join('\n'), errors: errors.join('\n') };
    },
  };
}
