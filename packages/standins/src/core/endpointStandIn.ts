import type { Socket } from 'node:net';

import type { FastifyReply, FastifyRequest } from 'fastify';

import type { EndpointRequest, EndpointResponse, VmRecord } from '@chicorybend/common';

import type { RequestPayload } from '../types/payload.js';
import type { RequestEndedEntry } from '../types/runEntry.js';
import { startRestartableServer } from '../utils/restartableServer.js';
import type { ListenAddress } from '../utils/restartableServer.js';
import { createRunRecord } from './runRecord.js';
import type { RunRecord } from './runRecord.js';

/** Faults of an endpoint stand-in; all may be changed while it runs. */
export interface EndpointFaults {
  /** Extra service time of each request, in milliseconds. */
  extraServiceMilliseconds: number;
  /** Takes a request, begins to run it, and closes the connection. */
  closesConnectionAfterStart: boolean;
  /** Time between the end of a request's execution and its answer, in milliseconds. */
  answerDelayMilliseconds: number;
  /** Runs requests and answers with status 500. */
  failsEveryRequest: boolean;
  /** Takes nothing and answers nothing, on new connections too. */
  isSilent: boolean;
}

/** Identity, size and place of an endpoint stand-in. */
export interface EndpointStandInOptions extends ListenAddress {
  readonly endpointId: string;
  readonly slots?: number;
  readonly connections?: number;
  readonly record?: RunRecord;
  readonly dataCentre?: string;
  readonly rack?: string;
}

/** Largest numbers seen at an endpoint. */
export interface EndpointPeaks {
  requests: number;
  connections: number;
}

/** A running endpoint stand-in. */
export interface EndpointStandIn {
  readonly endpointId: string;
  readonly address: string;
  /** The endpoint as it stands in the VM list. */
  readonly vm: VmRecord;
  readonly faults: EndpointFaults;
  readonly record: RunRecord;
  readonly peaks: EndpointPeaks;
  /** @returns requests that run now */
  executingCount(): number;
  /** Silences the connections that are open now, for good; new ones work. */
  silenceOpenConnections(): void;
  /** Goes down and breaks all connections. */
  crash(): Promise<void>;
  /** Comes up after a crash. */
  restart(): Promise<void>;
  close(): Promise<void>;
}

interface Execution {
  readonly executionId: number;
  readonly requestId: string;
  hasEnded: boolean;
}

const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;
const STATUS_FAILED = 500;

function readPayload(payload: unknown): RequestPayload {
  const fields = (payload ?? {}) as Partial<RequestPayload>;
  return { ...fields, serviceMilliseconds: fields.serviceMilliseconds ?? 0 };
}

/**
 * Starts a stand-in for an endpoint. Slots and connections are not enforced, so that an excess shows in the
 * record. An execution ends when its caller's connection ends.
 *
 * @param options identity, size and place
 * @returns the running stand-in
 */
export async function startEndpointStandIn(
  options: EndpointStandInOptions,
): Promise<EndpointStandIn> {
  const { endpointId, slots = DEFAULT_SLOTS, connections = DEFAULT_CONNECTIONS } = options;
  const record = options.record ?? createRunRecord();
  const faults: EndpointFaults = {
    extraServiceMilliseconds: 0,
    closesConnectionAfterStart: false,
    answerDelayMilliseconds: 0,
    failsEveryRequest: false,
    isSilent: false,
  };
  const peaks: EndpointPeaks = { requests: 0, connections: 0 };
  const silencedSockets = new WeakSet<Socket>();
  const timers = new Set<NodeJS.Timeout>();
  let executingCount = 0;
  let openConnections = 0;
  let executionCount = 0;
  let isUp = true;

  function recordEndpointUp(): void {
    record.append({ type: 'endpoint-up', at: record.now(), endpointId, slots, connections });
  }

  function recordConnections(change: number): void {
    openConnections += change;
    peaks.connections = Math.max(peaks.connections, openConnections);
    record.append({ type: 'connections', at: record.now(), endpointId, open: openConnections });
  }

  function schedule(callback: () => void, delayMilliseconds: number): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      callback();
    }, delayMilliseconds);
    timers.add(timer);
  }

  function beginExecution(request: EndpointRequest, payload: RequestPayload): Execution {
    executingCount += 1;
    executionCount += 1;
    peaks.requests = Math.max(peaks.requests, executingCount);
    record.append({
      type: 'request-started',
      at: record.now(),
      endpointId,
      executionId: executionCount,
      requestId: request.requestId,
      team: request.team,
      marker: payload.marker ?? null,
      concurrent: executingCount,
    });
    return { executionId: executionCount, requestId: request.requestId, hasEnded: false };
  }

  function endExecution(execution: Execution, outcome: RequestEndedEntry['outcome']): void {
    if (execution.hasEnded) return;
    Object.assign(execution, { hasEnded: true });
    executingCount -= 1;
    const { executionId, requestId } = execution;
    record.append({
      type: 'request-ended',
      at: record.now(),
      endpointId,
      executionId,
      requestId,
      outcome,
    });
  }

  function isSilenced(socket: Socket): boolean {
    return faults.isSilent || silencedSockets.has(socket);
  }

  function answer(request: EndpointRequest, result: unknown, reply: FastifyReply): void {
    if (reply.raw.destroyed || isSilenced(reply.request.raw.socket)) return;
    const isFailure = faults.failsEveryRequest;
    const body = isFailure
      ? { requestId: request.requestId, endpointId, error: 'failed' }
      : ({ requestId: request.requestId, endpointId, result } satisfies EndpointResponse);
    reply.raw.writeHead(isFailure ? STATUS_FAILED : 200, { 'content-type': 'application/json' });
    reply.raw.end(JSON.stringify(body));
  }

  function executeRequest(httpRequest: FastifyRequest, reply: FastifyReply): void {
    const request = httpRequest.body as EndpointRequest;
    const payload = readPayload(request.payload);
    const execution = beginExecution(request, payload);
    reply.hijack();
    reply.raw.once('close', () => endExecution(execution, 'unanswered'));
    if (faults.closesConnectionAfterStart) {
      reply.raw.destroy();
      return;
    }
    schedule(() => {
      if (execution.hasEnded) return;
      endExecution(execution, faults.failsEveryRequest ? 'failed' : 'answered');
      if (faults.answerDelayMilliseconds <= 0) answer(request, payload.result ?? null, reply);
      else
        schedule(
          () => answer(request, payload.result ?? null, reply),
          faults.answerDelayMilliseconds,
        );
    }, payload.serviceMilliseconds + faults.extraServiceMilliseconds);
  }

  recordEndpointUp();
  const server = await startRestartableServer(options, (app) => {
    app.server.on('connection', (socket: Socket) => {
      recordConnections(1);
      socket.once('close', () => recordConnections(-1));
    });
    app.addHook('preHandler', async (httpRequest, reply) => {
      // The reply is never sent, so that the caller waits on an open connection.
      if (isSilenced(httpRequest.raw.socket)) reply.hijack();
    });
    app.post('/run', (httpRequest, reply) => {
      executeRequest(httpRequest, reply);
    });
  });

  async function crash(): Promise<void> {
    if (!isUp) return;
    isUp = false;
    timers.forEach((timer) => clearTimeout(timer));
    timers.clear();
    await server.stop();
  }

  return {
    endpointId,
    address: server.address,
    vm: {
      id: endpointId,
      role: 'endpoint',
      state: 'live',
      address: server.address,
      dataCentre: options.dataCentre ?? 'dc1',
      rack: options.rack ?? 'rack1',
      slots,
      connections,
    },
    faults,
    record,
    peaks,
    executingCount: () => executingCount,
    silenceOpenConnections: () => server.sockets().forEach((socket) => silencedSockets.add(socket)),
    crash,
    async restart() {
      if (isUp) await crash();
      isUp = true;
      recordEndpointUp();
      await server.restart();
    },
    close: crash,
  };
}
