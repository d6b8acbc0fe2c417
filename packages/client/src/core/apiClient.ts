import { Err, Ok } from '@chicorybend/common';
import type { Failure, Result } from '@chicorybend/common';
import { request } from 'undici';

import { EXIT_CODES } from './exitCodes.js';
import { nextStepFor } from './problem.js';
import type { Problem } from './problem.js';

/** Longest wait for an answer, in milliseconds; a change may take 6 s to write and 7 s to be in effect. */
const RESPONSE_TIMEOUT_MILLISECONDS = 30_000;
const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const FIRST_ERROR_STATUS = 400;

/** A call to a daemon. */
export interface ApiRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

function problemFromResponse(call: ApiRequest, status: number, body: Partial<Failure>): Problem {
  const isUnknown = body.run === 'unknown' && call.method !== 'GET';
  return {
    exitCode: isUnknown ? EXIT_CODES.unknown : EXIT_CODES.refused,
    message: body.message ?? `The daemon answered with status ${status}.`,
    details: body.details ?? [],
    nextStep: nextStepFor(body.code ?? '', isUnknown),
  };
}

function problemFromError(address: string, call: ApiRequest, error: unknown): Problem {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const reason = error instanceof Error && error.message ? error.message : code;
  const wasSent = !CONNECT_ERRORS.has(code);
  if (wasSent && call.method !== 'GET') {
    return {
      exitCode: EXIT_CODES.unknown,
      message: `${address} took the call and gave no whole answer: ${reason}.`,
      details: [],
      nextStep: nextStepFor('', true),
    };
  }
  return {
    exitCode: EXIT_CODES.unreachable,
    message: `${address} is unreachable: ${reason}.`,
    details: [],
    nextStep: 'Check --address (CHICORYBEND_ADDRESS), or use the address of another daemon.',
  };
}

/**
 * Calls a daemon's HTTP interface.
 *
 * @param address base address of a daemon or of the load balancer
 * @param call method, path, body and headers
 * @returns body of the answer, or the problem
 */
export async function callApi<Body>(
  address: string,
  call: ApiRequest,
): Promise<Result<Body, Problem>> {
  const hasBody = call.body !== undefined;
  try {
    const response = await request(new URL(call.path, address), {
      method: call.method,
      headers: { ...call.headers, ...(hasBody ? { 'content-type': 'application/json' } : {}) },
      body: hasBody ? JSON.stringify(call.body) : null,
      headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
    });
    const body: unknown = await response.body.json();
    if (response.statusCode < FIRST_ERROR_STATUS) return Ok(body as Body);
    return Err(problemFromResponse(call, response.statusCode, body as Partial<Failure>));
  } catch (error) {
    return Err(problemFromError(address, call, error));
  }
}
