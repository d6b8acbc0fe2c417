import { createFailure } from '@chicorybend/common';
import type { Failure, FailureDetail } from '@chicorybend/common';
import type { z } from 'zod';

/** Default limit of the size of a body, in bytes. */
export const BODY_LIMIT_BYTES = 1_048_576;

/** Gets a reason of its own, because the message of this error would repeat the text of the failure. */
const UNPARSABLE_CODE = 'FST_ERR_CTP_INVALID_JSON_BODY';
const MALFORMED_CODES = new Set([
  'FST_ERR_CTP_EMPTY_JSON_BODY',
  'FST_ERR_CTP_INVALID_CONTENT_LENGTH',
  'ECONNRESET',
]);
const TOO_LARGE_CODES = new Set(['FST_ERR_CTP_BODY_TOO_LARGE']);
const MEDIA_TYPE_CODES = new Set([
  'FST_ERR_CTP_INVALID_MEDIA_TYPE',
  'FST_ERR_CTP_INVALID_CONTENT_TYPE',
]);
const ROUTE_CODES = new Set([
  'FST_ERR_BAD_URL',
  'FST_ERR_ROUTE_MISSING_HANDLER',
  'FST_ERR_MAX_PARAM_LENGTH',
]);

/** Carries a failure through the HTTP framework, from the body parser to the error handler. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
    this.name = 'FailureError';
  }
}

function codeOf(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/**
 * Maps an error of the HTTP framework or of a handler to the failure that is sent to the caller.
 *
 * @param request method and path of the call, and largest body of its route in bytes
 */
export function classifyHttpError(
  error: unknown,
  request: { readonly method: string; readonly path: string; readonly bodyLimitBytes: number },
): Failure {
  const { method, path, bodyLimitBytes } = request;
  if (error instanceof FailureError) return error.failure;
  const code = codeOf(error);
  const reason = error instanceof Error ? error.message : String(error);
  if (TOO_LARGE_CODES.has(code)) {
    return createFailure('body-too-large', { limit: bodyLimitBytes });
  }
  if (MEDIA_TYPE_CODES.has(code)) return createFailure('unsupported-media-type');
  if (ROUTE_CODES.has(code)) return createFailure('unknown-route', { method, path });
  if (code === UNPARSABLE_CODE) {
    return createFailure('malformed-json', { reason: 'it cannot be parsed' });
  }
  if (MALFORMED_CODES.has(code) || error instanceof SyntaxError) {
    return createFailure('malformed-json', { reason });
  }
  return createFailure('internal-error', { reason });
}

/**
 * Converts validation issues to failure details with path and reason, one for each unknown field. A missing field
 * is distinguished from an invalid one only if the validation ran with `reportInput`.
 */
export function describeIssues(error: z.ZodError): FailureDetail[] {
  return error.issues.flatMap((issue) => {
    const path = issue.path.map(String).join('.');
    if (issue.code !== 'unrecognized_keys') {
      const isMissing = 'input' in issue && issue.input === undefined;
      return [{ path, reason: isMissing ? 'is required' : issue.message }];
    }
    return issue.keys.map((key) => ({
      path: path ? `${path}.${key}` : key,
      reason: 'unknown field',
    }));
  });
}
