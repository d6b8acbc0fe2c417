import { randomUUID } from 'node:crypto';

import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Pool } from 'undici';

import type { Clock } from '../types/clock.js';
import type {
  PutOutcome,
  PutRequest,
  StoreCallOptions,
  StoreClient,
  StoreEntry,
  StoreError,
  StoreWire,
  StoreWireEntry,
} from '../types/store.js';
import { STORE_VALUE_LIMIT_BYTES } from '../types/store.js';
import { computeBackoff } from '../utils/backoff.js';
import { sleep } from '../utils/sleep.js';

/** Default total time of one call in milliseconds. */
const DEFAULT_DEADLINE_MILLISECONDS = 2_000;
/** Time of one attempt in milliseconds; the store answers in milliseconds when it is well. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 500;
const RETRY_BACKOFF = { firstMilliseconds: 25, maximumMilliseconds: 400 };
const POOL_CONNECTIONS = 8;
const STATUS_RATE_LIMITED = 429;
const STATUS_OK = 200;

/** What a store client needs. */
export interface StoreClientOptions {
  /** Base address of the store. */
  readonly address: string;
  readonly clock: Clock;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

type Operation = keyof StoreWire;

/** Outcome of one attempt. */
type AttemptOutcome<Name extends Operation> =
  | { readonly kind: 'answered'; readonly body: StoreWire[Name]['response'] }
  /** Certainly without effect. */
  | { readonly kind: 'no-effect'; readonly error: StoreError }
  /** Sent, but not answered. */
  | { readonly kind: 'lost'; readonly error: StoreError };

interface StoredValue {
  readonly writeId: string;
  readonly data: unknown;
}

const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function decodeEntry<Data>(entry: StoreWireEntry): StoreEntry<Data> & { writeId: string } {
  const stored = JSON.parse(entry.value) as StoredValue;
  return {
    key: entry.key,
    version: entry.version,
    data: stored.data as Data,
    writeId: stored.writeId,
  };
}

function errorCodeOf(error: unknown): string {
  if (error instanceof Error && 'code' in error) return String(error.code);
  return '';
}

/**
 * Creates a client of the platform's store. A write whose answer is lost is resolved by reading the key: each
 * value carries the identity of its write.
 *
 * @param options address, clock and source of random numbers
 * @returns the client
 */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const { clock, random = Math.random } = options;
  const pool = new Pool(options.address, {
    connections: POOL_CONNECTIONS,
    connect: { timeout: ATTEMPT_TIMEOUT_MILLISECONDS },
  });
  const calls = { reads: 0, writes: 0 };

  function countCall(operation: Operation): void {
    const isRead = operation === 'get' || operation === 'list' || operation === 'watch';
    if (isRead) calls.reads += 1;
    else calls.writes += 1;
  }

  function classifyError<Name extends Operation>(error: unknown): AttemptOutcome<Name> {
    const message = error instanceof Error ? error.message : String(error);
    const isConnectError = CONNECT_ERROR_CODES.has(errorCodeOf(error));
    return { kind: isConnectError ? 'no-effect' : 'lost', error: { kind: 'unavailable', message } };
  }

  async function attemptCall<Name extends Operation>(
    operation: Name,
    body: StoreWire[Name]['request'],
    timeoutMilliseconds: number,
  ): Promise<AttemptOutcome<Name>> {
    countCall(operation);
    try {
      const response = await pool.request({
        method: 'POST',
        path: `/v1/${operation}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMilliseconds))),
      });
      const answer: unknown = await response.body.json();
      if (response.statusCode === STATUS_OK) {
        return { kind: 'answered', body: answer as StoreWire[Name]['response'] };
      }
      const isLimited = response.statusCode === STATUS_RATE_LIMITED;
      return {
        kind: 'no-effect',
        error: {
          kind: isLimited ? 'rate-limited' : 'unavailable',
          message: `status ${response.statusCode}`,
        },
      };
    } catch (error) {
      return classifyError<Name>(error);
    }
  }

  /** Repeats a call that is safe to repeat until it is answered or the deadline passes. */
  async function callWithRetries<Name extends Operation>(
    operation: Name,
    body: StoreWire[Name]['request'],
    callOptions: StoreCallOptions,
  ): Promise<Result<StoreWire[Name]['response'], StoreError>> {
    const deadline =
      clock.monotonicMilliseconds() +
      (callOptions.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS);
    for (let attempt = 0; ; attempt += 1) {
      const remaining = deadline - clock.monotonicMilliseconds();
      const outcome = await attemptCall(
        operation,
        body,
        Math.min(ATTEMPT_TIMEOUT_MILLISECONDS, Math.max(1, remaining)),
      );
      if (outcome.kind === 'answered') return Ok(outcome.body);
      const delay = computeBackoff(RETRY_BACKOFF, attempt, random);
      if (clock.monotonicMilliseconds() + delay >= deadline) return Err(outcome.error);
      await sleep(clock, delay);
    }
  }

  /** After a lost answer: tells from the key itself whether the write took effect. */
  function resolveLostWrite(
    current: StoreWireEntry | null,
    request: PutRequest,
    writeId: string,
  ): PutOutcome | 'not-yet-applied' {
    const entry = current ? decodeEntry(current) : null;
    if (entry?.writeId === writeId) return { kind: 'written', version: entry.version };
    if ((entry?.version ?? 0) === request.expectedVersion) return 'not-yet-applied';
    return { kind: 'conflict', current: entry, isDefinite: false };
  }

  function decodePutResponse(
    body: StoreWire['put']['response'],
    writeId: string,
    wasLost: boolean,
  ): PutOutcome {
    if (body.written) return { kind: 'written', version: body.version };
    const entry = body.current ? decodeEntry(body.current) : null;
    if (entry?.writeId === writeId) return { kind: 'written', version: entry.version };
    return { kind: 'conflict', current: entry, isDefinite: !wasLost };
  }

  async function put(
    request: PutRequest,
    callOptions: StoreCallOptions = {},
  ): Promise<Result<PutOutcome, StoreError>> {
    const writeId = randomUUID();
    const value = JSON.stringify({ writeId, data: request.data } satisfies StoredValue);
    if (Buffer.byteLength(value) > STORE_VALUE_LIMIT_BYTES) {
      return Err({ kind: 'too-large', message: `${request.key} is over the store's limit` });
    }
    const deadline =
      clock.monotonicMilliseconds() +
      (callOptions.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS);
    const body = {
      key: request.key,
      value,
      expectedVersion: request.expectedVersion,
      ...(request.leaseId === undefined ? {} : { leaseId: request.leaseId }),
    };
    let wasLost = false;
    for (let attempt = 0; ; attempt += 1) {
      const remaining = deadline - clock.monotonicMilliseconds();
      const outcome = await attemptCall(
        'put',
        body,
        Math.min(ATTEMPT_TIMEOUT_MILLISECONDS, Math.max(1, remaining)),
      );
      if (outcome.kind === 'answered') return Ok(decodePutResponse(outcome.body, writeId, wasLost));
      if (outcome.kind === 'lost') wasLost = true;
      const delay = computeBackoff(RETRY_BACKOFF, attempt, random);
      if (clock.monotonicMilliseconds() + delay >= deadline) {
        return Err(wasLost ? { ...outcome.error, kind: 'unresolved' } : outcome.error);
      }
      await sleep(clock, delay);
      if (!wasLost) continue;
      const reading = await attemptCall('get', { key: request.key }, ATTEMPT_TIMEOUT_MILLISECONDS);
      if (reading.kind !== 'answered') continue;
      const resolved = resolveLostWrite(reading.body.entry, request, writeId);
      if (resolved !== 'not-yet-applied') return Ok(resolved);
    }
  }

  return {
    calls,
    put,
    async get<Data>(key: string, callOptions: StoreCallOptions = {}) {
      const answer = await callWithRetries('get', { key }, callOptions);
      return answer.map((body) => (body.entry ? decodeEntry<Data>(body.entry) : null));
    },
    async list<Data>(prefix: string, callOptions: StoreCallOptions = {}) {
      const answer = await callWithRetries('list', { prefix }, callOptions);
      return answer.map((body) => body.entries.map((entry) => decodeEntry<Data>(entry)));
    },
    async delete(key, expectedVersion, callOptions = {}) {
      const answer = await callWithRetries('delete', { key, expectedVersion }, callOptions);
      return answer.map((body) => body.deleted);
    },
    async grantLease(ttlMilliseconds, callOptions = {}) {
      const answer = await callWithRetries('lease-grant', { ttlMilliseconds }, callOptions);
      return answer.map((body) => body.leaseId);
    },
    async renewLease(leaseId, callOptions = {}) {
      const answer = await callWithRetries('lease-renew', { leaseId }, callOptions);
      return answer.map((body) => body.renewed);
    },
    async revokeLease(leaseId, callOptions = {}) {
      const answer = await callWithRetries('lease-revoke', { leaseId }, callOptions);
      return answer.map(() => undefined);
    },
    close: () => pool.close(),
  };
}
