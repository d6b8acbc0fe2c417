import { createSystemClock, sleep } from '@chicorybend/common';
import type { ConfigurationDocument } from '@chicorybend/common';

import type { CallOutcome } from '../types/observation.js';
import { createHttpCaller } from './httpCaller.js';
import type { HttpCall } from './httpCaller.js';

/** The fields of the answer of `GET /v1/configuration` that are used here. */
export interface ConfigurationAnswer {
  readonly revision: number;
  readonly sections: ConfigurationDocument;
}

/** The fields of the answer of `POST /v1/configuration/apply` that are used here. */
export interface ApplyAnswer {
  readonly revision: number;
}

/** The fields of a row of `GET /v1/daemons` that are used here. */
export interface DaemonRow {
  readonly daemonId: string;
  readonly state: string;
  /** Owned partitions; absent if the daemon did not answer. */
  readonly partitions?: readonly number[];
}

/** HTTP client for the operators' interface; each call goes to the daemon at the given base address. */
export interface OperatorCaller {
  readConfiguration(address: string): Promise<CallOutcome<ConfigurationAnswer>>;
  /** Applies sections on top of a revision; 0 stands for a cell without a configuration. */
  applyConfiguration(
    address: string,
    baseRevision: number,
    sections: ConfigurationDocument,
  ): Promise<CallOutcome<ApplyAnswer>>;
  listDaemons(address: string): Promise<CallOutcome<{ readonly rows: readonly DaemonRow[] }>>;
  /** Reads any other page of the operators' interface. */
  read<Value>(address: string, path: string): Promise<CallOutcome<Value>>;
  drainDaemon(address: string, daemonId: string): Promise<CallOutcome<unknown>>;
  close(): Promise<void>;
}

const CALL_TIMEOUT_MILLISECONDS = 15_000;
const RETRY_MILLISECONDS = 250;

/**
 * Creates an operator client with its own connection pool.
 *
 * @param name name of the operator, sent with each call
 * @param token the operator's token
 */
export function createOperatorCaller(name: string, token: string): OperatorCaller {
  const http = createHttpCaller();
  const call = <Value>(
    request: Omit<HttpCall, 'headers' | 'timeoutMilliseconds'>,
  ): Promise<CallOutcome<Value>> =>
    http.call<Value>({
      ...request,
      headers: { authorization: `Bearer ${token}`, 'x-operator': name },
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
  return {
    readConfiguration: (address) => call({ method: 'GET', address, path: '/v1/configuration' }),
    listDaemons: (address) => call({ method: 'GET', address, path: '/v1/daemons' }),
    applyConfiguration: (address, baseRevision, sections) =>
      call({
        method: 'POST',
        address,
        path: '/v1/configuration/apply',
        body: { baseRevision, sections },
      }),
    read: (address, path) => call({ method: 'GET', address, path }),
    drainDaemon: (address, daemonId) =>
      call({ method: 'POST', address, path: `/v1/daemons/${daemonId}/drain`, body: {} }),
    close: () => http.close(),
  };
}

/** Reads the current revision; 0 if the cell has no configuration or the daemon did not answer. */
async function readRevision(operator: OperatorCaller, address: string): Promise<number> {
  const outcome = await operator.readConfiguration(address);
  return outcome.kind === 'answered' ? (outcome.value.revision ?? 0) : 0;
}

/**
 * Applies the first configuration of a cell, and retries until a daemon accepts it.
 *
 * @param operator operator who may change every section
 * @param address base address of a daemon
 * @param sections configuration document
 * @param limitMilliseconds how long to try, in milliseconds
 * @returns revision of the configuration
 * @throws Error with the last outcome if no attempt succeeded within the limit
 */
export async function applyFirstConfiguration(
  operator: OperatorCaller,
  address: string,
  sections: ConfigurationDocument,
  limitMilliseconds: number,
): Promise<number> {
  const clock = createSystemClock();
  const until = clock.monotonicMilliseconds() + limitMilliseconds;
  for (;;) {
    const baseRevision = await readRevision(operator, address);
    const outcome = await operator.applyConfiguration(address, baseRevision, sections);
    if (outcome.kind === 'answered') return outcome.value.revision;
    if (clock.monotonicMilliseconds() >= until) {
      throw new Error(`the configuration was not applied: ${JSON.stringify(outcome)}`);
    }
    await sleep(clock, RETRY_MILLISECONDS);
  }
}
