import fastify from 'fastify';
import type { FastifyReply } from 'fastify';

import type { StoreWire } from '@chicorybend/common';

import { createStoreState } from './storeState.js';
import type { StoreState } from './storeState.js';

/** Faults of the store stand-in; all may be changed while it runs. */
export interface StoreFaults {
  /** Refuses connections' requests by never answering them, and applies nothing. */
  isDown: boolean;
  /** Extra time before each answer, in milliseconds. */
  delayMilliseconds: number;
  /** Fraction of writes whose effect is kept and whose answer is lost, in [0, 1]. */
  lostAnswerFraction: number;
}

/** Counts of calls that the store took, as the platform would bill them. */
export interface StoreCallCounts {
  reads: number;
  writes: number;
  limited: number;
}

/** A running store stand-in. */
export interface StoreStandIn {
  readonly address: string;
  readonly faults: StoreFaults;
  readonly counts: StoreCallCounts;
  readonly state: StoreState;
  close(): Promise<void>;
}

/** Limits and place of a store stand-in. */
export interface StoreStandInOptions {
  readonly host?: string;
  readonly port?: number;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

type Operation = keyof StoreWire;
type Handler = (body: never) => unknown;

const VALUE_LIMIT_BYTES = 1_048_576;
const BODY_LIMIT_BYTES = 2 * VALUE_LIMIT_BYTES;
const DEFAULT_WRITES_PER_SECOND = 500;
const DEFAULT_READS_PER_SECOND = 2_000;
const WATCH_POLL_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
const READ_OPERATIONS: ReadonlySet<Operation> = new Set(['get', 'list', 'watch']);

/** Token bucket that holds one second of calls. */
function createRateLimiter(perSecond: number): () => boolean {
  let tokens = perSecond;
  let refilledAt = performance.now();
  return () => {
    const now = performance.now();
    const refill = ((now - refilledAt) / MILLISECONDS_PER_SECOND) * perSecond;
    tokens = Math.min(perSecond, tokens + refill);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function createHandlers(state: StoreState): Record<Exclude<Operation, 'watch'>, Handler> {
  return {
    get: (body: StoreWire['get']['request']) => ({ entry: state.get(body.key) }),
    put: (body: StoreWire['put']['request']) =>
      state.put(body.key, body.value, body.expectedVersion, body.leaseId),
    delete: (body: StoreWire['delete']['request']) => ({
      deleted: state.delete(body.key, body.expectedVersion),
    }),
    list: (body: StoreWire['list']['request']) => ({ entries: state.list(body.prefix) }),
    'lease-grant': (body: StoreWire['lease-grant']['request']) => ({
      leaseId: state.grantLease(body.ttlMilliseconds),
    }),
    'lease-renew': (body: StoreWire['lease-renew']['request']) => ({
      renewed: state.renewLease(body.leaseId),
    }),
    'lease-revoke': (body: StoreWire['lease-revoke']['request']) => ({
      revoked: state.revokeLease(body.leaseId),
    }),
  };
}

/**
 * Starts a stand-in for the platform's key-value service.
 *
 * @param options limits and place
 * @returns the running stand-in
 */
export async function startStoreStandIn(options: StoreStandInOptions = {}): Promise<StoreStandIn> {
  const { host = '127.0.0.1', port = 0, random = Math.random } = options;
  const state = createStoreState(() => performance.now());
  const faults: StoreFaults = { isDown: false, delayMilliseconds: 0, lostAnswerFraction: 0 };
  const counts: StoreCallCounts = { reads: 0, writes: 0, limited: 0 };
  const admitWrite = createRateLimiter(options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND);
  const admitRead = createRateLimiter(options.readsPerSecond ?? DEFAULT_READS_PER_SECOND);
  const handlers = createHandlers(state);
  const server = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });

  async function watch(body: StoreWire['watch']['request']): Promise<unknown> {
    const deadline = performance.now() + body.waitMilliseconds;
    for (;;) {
      state.expireLeases();
      const changedKeys = state.changedKeys(body.prefix, body.afterRevision);
      if (changedKeys.length > 0 || performance.now() >= deadline || faults.isDown) {
        return { revision: state.revision(), changedKeys };
      }
      await sleep(WATCH_POLL_MILLISECONDS);
    }
  }

  /** Leaves the caller without an answer, as a silent service does. */
  function closeWithoutAnswer(reply: FastifyReply): void {
    reply.hijack();
    reply.raw.destroy();
  }

  function admitCall(operation: Operation): boolean {
    const isRead = READ_OPERATIONS.has(operation);
    if (isRead) counts.reads += 1;
    else counts.writes += 1;
    const isAdmitted = isRead ? admitRead() : admitWrite();
    if (!isAdmitted) counts.limited += 1;
    return isAdmitted;
  }

  async function answer(operation: Operation, body: unknown, reply: FastifyReply): Promise<void> {
    if (faults.isDown) {
      closeWithoutAnswer(reply);
      return;
    }
    if (!admitCall(operation)) {
      await reply.status(429).send({ error: 'rate limit' });
      return;
    }
    if (faults.delayMilliseconds > 0) await sleep(faults.delayMilliseconds);
    state.expireLeases();
    const isTooLarge =
      operation === 'put' &&
      Buffer.byteLength((body as StoreWire['put']['request']).value) > VALUE_LIMIT_BYTES;
    if (isTooLarge) {
      await reply.status(413).send({ error: 'value too large' });
      return;
    }
    const result =
      operation === 'watch'
        ? await watch(body as StoreWire['watch']['request'])
        : handlers[operation](body as never);
    const isLost = !READ_OPERATIONS.has(operation) && random() < faults.lostAnswerFraction;
    if (isLost || faults.isDown) {
      closeWithoutAnswer(reply);
      return;
    }
    await reply.send(result);
  }

  (['watch', ...Object.keys(handlers)] as Operation[]).forEach((operation) => {
    server.post(`/v1/${operation}`, (request, reply) => answer(operation, request.body, reply));
  });
  const address = await server.listen({ host, port });
  return { address, faults, counts, state, close: () => server.close() };
}
