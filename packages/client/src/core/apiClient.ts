import { Err, Ok } from '@chicorybend/common';
import type { Failure, Result } from '@chicorybend/common';
import { request } from 'undici';

import { EXIT_CODES } from './exitCodes.js';
import { nextStepFor } from './problem.js';
import type { Problem } from './problem.js';

/** Above the time a configuration change may need: 6 s to be written and 7 s to be in effect on the daemons. */
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

/** HTTP request to a daemon. */
export interface ApiRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

function problemFromResponse(
  apiRequest: ApiRequest,
  status: number,
  body: Partial<Failure>,
): Problem {
  const isOutcomeUnknown = body.run === 'unknown' && apiRequest.method !== 'GET';
  return {
    exitCode: isOutcomeUnknown ? EXIT_CODES.unknown : EXIT_CODES.refused,
    message: body.message ?? `The daemon responded with HTTP status ${status}.`,
    details: body.details ?? [],
    nextStep: nextStepFor(body.code ?? '', isOutcomeUnknown),
  };
}

function problemFromError(address: string, apiRequest: ApiRequest, error: unknown): Problem {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const reason = error instanceof Error && error.message ? error.message : code;
  const wasSent = !CONNECT_ERRORS.has(code);
  if (wasSent && apiRequest.method !== 'GET') {
    return {
      exitCode: EXIT_CODES.unknown,
      message: `${address} was sent the request but returned no complete response: ${reason}.`,
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
 * Sends a request to the HTTP API of a daemon.
 *
 * @param address base address of a daemon or of the load balancer
 * @returns response body. If a request other than GET may have reached the daemon and its outcome is not known, the
 *   problem has exit code 3.
 */
export async function callApi<Body>(
  address: string,
  apiRequest: ApiRequest,
): Promise<Result<Body, Problem>> {
  const hasBody = apiRequest.body !== undefined;
  try {
    const response = await request(new URL(apiRequest.path, address), {
      method: apiRequest.method,
      headers: {
        ...apiRequest.headers,
        ...(hasBody ? { 'content-type': 'application/json' } : {}),
      },
      body: hasBody ? JSON.stringify(apiRequest.body) : null,
      headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
    });
    const body: unknown = await response.body.json();
    if (response.statusCode < FIRST_ERROR_STATUS) return Ok(body as Body);
    return Err(problemFromResponse(apiRequest, response.statusCode, body as Partial<Failure>));
  } catch (error) {
    return Err(problemFromError(address, apiRequest, error));
  }
}
