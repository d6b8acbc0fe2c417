import { createFailure, Err, isSameDigest, Ok, sha256 } from '@chicorybend/common';
import type { Configuration, Failure, Result } from '@chicorybend/common';

import type { OperatorIdentity } from '../types/configurationRecords.js';
import type { ReadHeader } from '../types/http.js';

/** Name of the operator whose token is the setting `operatorToken`, and who may change every section. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';
const BEARER_PATTERN = /^Bearer (\S+)$/i;
/** Compared with if the operator is unknown, so that the response time does not show whether an operator exists. */
const PLACEHOLDER_DIGEST = '0'.repeat(64);

/**
 * Authenticates an operator by the `authorization` and `x-operator` headers of a call.
 *
 * @param operatorToken token of the bootstrap operator, if there is one
 * @param configuration configuration in effect, or null if none has been read yet
 * @returns name and token hash of the operator (null hash for the bootstrap operator), or `operator-required`
 */
export function authenticateOperator(
  header: ReadHeader,
  operatorToken: string | undefined,
  configuration: Configuration | null,
): Result<OperatorIdentity, Failure> {
  const [, token = ''] = BEARER_PATTERN.exec(header('authorization') ?? '') ?? [];
  const name = header('x-operator') ?? '';
  const tokenHash = sha256(token);
  const isBootstrap = name === BOOTSTRAP_OPERATOR;
  const bootstrapHash = operatorToken === undefined ? PLACEHOLDER_DIGEST : sha256(operatorToken);
  const expected = isBootstrap
    ? bootstrapHash
    : (configuration?.operators[name]?.tokenHash ?? PLACEHOLDER_DIGEST);
  if (!isSameDigest(tokenHash, expected)) return Err(createFailure('operator-required'));
  return Ok({ name, tokenHash: isBootstrap ? null : tokenHash });
}
