import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { v7 as createKey } from 'uuid';

import {
  createFailure,
  createLocalCounters,
  createRetryBudget,
  createSilentLog,
  createSystemClock,
  Err,
  Ok,
  partitionOf,
} from '@chicorybend/common';
import type { Clock, Configuration, EndpointRequest, VmRecord } from '@chicorybend/common';
import { createAdmissionController, createRequestQueue } from '@chicorybend/decisions';
import type { AdmissionController } from '@chicorybend/decisions';

import { createEndpointService } from '../core/endpointService.js';
import type { EndpointServiceOptions } from '../core/endpointService.js';
import type { PoolRequest } from '../core/trackedRequest.js';
import type { Allotments } from '../types/allotment.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { PartitionDirectory, PartitionLease, PartitionOpening } from '../types/partition.js';
import type { PeerError, PeerHandler, PeerLink } from '../types/peer.js';
import type { VmDirectory } from '../types/vmDirectory.js';

export const HOST = '127.0.0.1';

/** Creates an admission controller that admits every request, as a baseline. */
export function createUnlimitedAdmission(options: {
  initialServiceMilliseconds: number;
}): AdmissionController {
  return { ...createAdmissionController(options), decide: () => ({ kind: 'admit' }) };
}

/** Registers functions that close resources at the end of a test or a benchmark. */
export interface Teardown {
  teardown(close: () => void | Promise<void>): void;
}

export type EndpointBehaviour = (
  request: EndpointRequest,
  response: ServerResponse,
  incoming: IncomingMessage,
) => void;

export interface TestEndpoint {
  readonly vm: VmRecord;
  /** Requests in the order of their arrival. */
  readonly received: EndpointRequest[];
  behaviour: EndpointBehaviour;
  isHealthy: boolean;
  running: number;
  maximumRunning: number;
  connections(): number;
  close(): Promise<void>;
}

export function answerRequest(
  endpointId: string,
  request: EndpointRequest,
  response: ServerResponse,
) {
  const body = { requestId: request.requestId, endpointId, result: { echo: request.payload } };
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
}

async function readBody(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

export async function startEndpoint(
  t: Teardown,
  id: string,
  behaviour?: EndpointBehaviour,
  vm: Partial<VmRecord> = {},
): Promise<TestEndpoint> {
  const received: EndpointRequest[] = [];
  let connections = 0;
  const server = createServer((incoming, response) => {
    if (incoming.url === '/health') {
      if (endpoint.isHealthy) response.end('{}');
      return;
    }
    readBody(incoming).then(
      (text) => {
        const request = JSON.parse(text) as EndpointRequest;
        received.push(request);
        endpoint.running += 1;
        endpoint.maximumRunning = Math.max(endpoint.maximumRunning, endpoint.running);
        response.once('close', () => {
          endpoint.running -= 1;
        });
        endpoint.behaviour(request, response, incoming);
      },
      () => undefined,
    );
  });
  server.on('connection', (socket) => {
    connections += 1;
    socket.once('close', () => {
      connections -= 1;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const endpoint: TestEndpoint = {
    vm: {
      id,
      role: 'endpoint',
      state: 'live',
      address: `http://${HOST}:${port}`,
      dataCentre: 'a',
      rack: 'r1',
      ...vm,
    },
    received,
    isHealthy: true,
    running: 0,
    maximumRunning: 0,
    connections: () => connections,
    behaviour: behaviour ?? ((request, response) => answerRequest(id, request, response)),
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
  t.teardown(endpoint.close);
  return endpoint;
}

export interface StubVmDirectory extends VmDirectory {
  set(vms: readonly VmRecord[]): void;
}

export function createStubVmDirectory(
  initial: readonly VmRecord[],
  workers: readonly VmRecord[] = [],
) {
  let vms = initial;
  const listeners: (() => void)[] = [];
  const directory: StubVmDirectory = {
    endpoints: () => vms,
    isEntryVmGone: () => false,
    workers: () => workers,
    onChange: (listener) => {
      listeners.push(listener);
    },
    set(next) {
      vms = next;
      listeners.forEach((listener) => listener());
    },
  };
  return directory;
}

export interface StubAllotments extends Allotments {
  readonly charged: Map<string, number>;
}

export function createStubAllotments(limits: Readonly<Record<string, number>> = {}) {
  const charged = new Map<string, number>();
  const allotments: StubAllotments = {
    charged,
    charge(_partition, team, dimension, count) {
      const limit = limits[team] ?? Number.POSITIVE_INFINITY;
      const used = charged.get(team) ?? 0;
      if (used + count > limit) return Err(createFailure('over-limit', { team, limit, dimension }));
      charged.set(team, used + count);
      return Ok(undefined);
    },
    adopt(_partition, team, _dimension, count) {
      charged.set(team, (charged.get(team) ?? 0) + count);
    },
    release(_partition, team, _dimension, count) {
      charged.set(team, (charged.get(team) ?? 0) - count);
    },
  };
  return allotments;
}

function createStubKey(team: string) {
  return { team, secretHash: '0'.repeat(64), issuedAt: 0, issuedBy: 'test' };
}

export const CONFIGURATION: Configuration = {
  revision: 1,
  cell: { name: 'test', maximumRequestMilliseconds: 10_000, maximumQueuedRequests: 256 },
  policy: { order: 'waiting-time-first', agingMilliseconds: 60_000 },
  operators: {},
  teams: {
    bench: { share: 1, limits: { tasks: 100, requests: 100 } },
    quotes: { share: 1, limits: { tasks: 100, requests: 100 } },
  },
  queues: {
    entries: { kind: 'interactive', access: 'keyed', teams: ['bench'], priority: 'normal' },
    public: { kind: 'interactive', access: 'open', team: 'quotes', priority: 'normal' },
    certificates: { kind: 'batch', access: 'keyed', priority: 'normal' },
    samples: { kind: 'batch', access: 'open', team: 'quotes', priority: 'normal' },
  },
  keys: { bench: createStubKey('bench'), quotes: createStubKey('quotes') },
};

/** Keys are `cb_<team>_secret`; `cb_revoked_secret` is a revoked one. */
export function createStubConfiguration(
  state: { current: Configuration | null; isFresh: boolean } = {
    current: CONFIGURATION,
    isFresh: true,
  },
): ConfigurationView {
  return {
    current: () => state.current,
    isFresh: () => state.isFresh,
    onChange: () => undefined,
    authenticate(keyText) {
      if (!state.isFresh) return Err(createFailure('configuration-not-fresh'));
      const [, keyId = ''] = /^cb_([a-z]+)_secret$/.exec(keyText) ?? [];
      if (keyId === 'revoked') return Err(createFailure('revoked-key', { keyId }));
      if (!state.current?.teams[keyId]) return Err(createFailure('wrong-key'));
      return Ok({ keyId, team: keyId });
    },
  };
}

export interface StubLease extends PartitionLease {
  isAllowed: boolean;
}

export function createStubLease(partition: number, epoch: number): StubLease {
  const lease: StubLease = {
    partition,
    epoch,
    isAllowed: true,
    mayAct: () => lease.isAllowed,
    journal: { append: async () => Ok(undefined) },
  };
  return lease;
}

/** Creates the opening of a partition that no daemon has owned before. */
export function createOpening(lease: PartitionLease): PartitionOpening {
  return {
    lease,
    records: [],
    handedOver: null,
    formerOwnerStoppedAt: Number.NEGATIVE_INFINITY,
  };
}

export interface StubDirectory extends PartitionDirectory {
  readonly owners: Map<number, string>;
  readonly silentOwners: Set<string>;
  refreshes: number;
}

export function createStubDirectory(partitionCount: number, ownerId: string | null): StubDirectory {
  const owners = new Map<number, string>();
  for (let partition = 0; partition < partitionCount && ownerId; partition += 1) {
    owners.set(partition, ownerId);
  }
  const directory: StubDirectory = {
    partitionCount,
    owners,
    silentOwners: new Set(),
    refreshes: 0,
    ownerOf(partition) {
      const daemonId = owners.get(partition);
      return daemonId === undefined ? null : { daemonId, epoch: 1 };
    },
    isOwnerSilent: (partition) => directory.silentOwners.has(owners.get(partition) ?? ''),
    leaseOf: () => null,
    servedPartitions: () => [...owners.keys()],
    refreshOwner() {
      directory.refreshes += 1;
    },
  };
  return directory;
}

type AnyHandler = PeerHandler<never>;

/** Peer links of daemons in one process. `fault` is called before each call; an error that it returns ends the call. */
export interface StubNetwork {
  fault: ((to: string, method: string) => PeerError | null) | null;
  linkOf(daemonId: string): PeerLink;
}

export function createStubNetwork(): StubNetwork {
  const handlers = new Map<string, AnyHandler>();
  const network: StubNetwork = {
    fault: null,
    linkOf: (self) => ({
      async call(to, method, params, deadlineMilliseconds) {
        const fault = network.fault?.(to, method);
        if (fault) return Err(fault);
        const handler = handlers.get(`${to} ${method}`);
        if (!handler) return Err({ kind: 'not-sent', reason: 'no such daemon' });
        const copied = JSON.parse(JSON.stringify(params)) as never;
        const context = { from: self, remainingMilliseconds: deadlineMilliseconds };
        const answer = await handler(copied, context);
        return answer.mapErr((failure) => ({ kind: 'refused', failure }));
      },
      handle(method, handler) {
        handlers.set(`${self} ${method}`, handler as unknown as AnyHandler);
      },
    }),
  };
  return network;
}

export interface PoolFixture {
  readonly clock: Clock;
  readonly counters: ReturnType<typeof createLocalCounters>;
  readonly vms: StubVmDirectory;
  readonly allotments: StubAllotments;
  readonly service: ReturnType<typeof createEndpointService>;
}

/** Creates an endpoint service for the given endpoints; its other dependencies are stubs. */
export function createPool(
  t: Teardown,
  endpoints: readonly TestEndpoint[],
  options: Partial<EndpointServiceOptions> & {
    limits?: Record<string, number>;
    daemonId?: string;
  } = {},
): PoolFixture {
  const clock = createSystemClock();
  const counters = createLocalCounters();
  const { partitionCount = 1 } = options;
  const vms = createStubVmDirectory(endpoints.map(({ vm }) => vm));
  const allotments = createStubAllotments(options.limits);
  const service = createEndpointService({
    daemonId: 'd1',
    clock,
    log: createSilentLog(),
    counters,
    vms,
    allotments,
    configuration: createStubConfiguration(),
    partitionCount,
    localAddress: HOST,
    retryBudget: createRetryBudget(0.1, 20),
    createAdmission: createAdmissionController,
    createRequestQueue,
    ...options,
  });
  t.teardown(() => {
    for (let partition = 0; partition < partitionCount; partition += 1) service.close(partition);
  });
  return { clock, counters, vms, allotments, service };
}

export function createPoolRequest(clock: Clock, request: Partial<PoolRequest> = {}): PoolRequest {
  return {
    requestId: createKey(),
    team: 'bench',
    queue: 'entries',
    isIdempotent: false,
    payload: { entry: 1 },
    deadlineAt: clock.monotonicMilliseconds() + 2_000,
    ...request,
  };
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

export async function waitUntil(isTrue: () => boolean, limitMilliseconds = 10_000): Promise<void> {
  const limit = performance.now() + limitMilliseconds;
  while (!isTrue()) {
    if (performance.now() > limit) throw new Error(`condition not met in ${limitMilliseconds} ms`);
    await pause(5);
  }
}

/** Finds an id, beginning with the prefix, that belongs to a partition. */
export function findIdInPartition(
  prefix: string,
  partition: number,
  partitionCount: number,
): string {
  for (let index = 0; ; index += 1) {
    const name = `${prefix}${index}`;
    if (partitionOf(name, partitionCount) === partition) return name;
  }
}

export { createKey };
