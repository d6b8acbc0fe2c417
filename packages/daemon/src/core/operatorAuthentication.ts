import { createFailure, Err, isSameDigest, Ok, sha256 } from '@chicorybend/common';
import type { Configuration, Failure, Result } from '@chicorybend/common';

import type { OperatorIdentity } from '../types/configurationRecords.js';

/** Operator of the setting `operatorToken`, who may change every section. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';
const BEARER_PATTERN = /^Bearer (\S+)$/i;
/** Compared with when the operator is unknown, so that both cases take the same time. */
const NO_DIGEST = '0'.repeat(64);

/** Headers that say who an operator is. */
export interface OperatorHeaders {
  readonly authorization?: string | undefined;
  readonly 'x-operator'?: string | string[] | undefined;
}

/**
 * Checks an operator's headers.
 *
 * @param headers headers of the call
 * @param operatorToken token of the bootstrap operator, if there is one
 * @param configuration configuration in effect, null before the first one
 * @returns the operator, or `operator-required`
 */
export function authenticateOperator(
  headers: OperatorHeaders,
  operatorToken: string | undefined,
  configuration: Configuration | null,
): Result<OperatorIdentity, Failure> {
  const [, token = ''] = BEARER_PATTERN.exec(headers.authorization ?? '') ?? [];
  const name = typeof headers['x-operator'] === 'string' ? headers['x-operator'] : '';
  const tokenHash = sha256(token);
  const isBootstrap = name === BOOTSTRAP_OPERATOR;
  const bootstrapHash = operatorToken === undefined ? NO_DIGEST : sha256(operatorToken);
  const expected = isBootstrap
    ? bootstrapHash
    : (configuration?.operators[name]?.tokenHash ?? NO_DIGEST);
  if (!isSameDigest(tokenHash, expected)) return Err(createFailure('operator-required'));
  return Ok({ name, tokenHash: isBootstrap ? null : tokenHash });
}
