import { createFailure, Err, isSameDigest, Ok, sha256 } from '@chicorybend/common';
import type { Configuration, Failure, Result } from '@chicorybend/common';

import type { OperatorIdentity } from '../types/configurationRecords.js';
import type { ReadHeader } from '../types/http.js';

/** Operator of the setting `operatorToken`, who may change every section. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';
const BEARER_PATTERN = /^Bearer (\S+)$/i;
/** Compared with when the operator is unknown, so that both cases take the same time. */
const PLACEHOLDER_DIGEST = '0'.repeat(64);

/**
 * Checks an operator's headers.
 *
 * @param header reads the headers of the call
 * @param operatorToken token of the bootstrap operator, if there is one
 * @param configuration configuration in effect, null before the first one
 * @returns the operator, or `operator-required`
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
