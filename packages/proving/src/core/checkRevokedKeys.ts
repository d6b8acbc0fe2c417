import type { RunEntry } from '@chicorybend/standins';

import type { RequestObservation, RevokedKey } from '../types/observation.js';
import type { Violation } from '../types/violation.js';

/** An applied configuration, and so a revocation, is in effect on all daemons within this time. */
const REVOCATION_EFFECTIVE_MILLISECONDS = 7_000;

/**
 * Checks that no request is executed or answered whose key was revoked longer ago than a revocation takes to come into
 * effect on all daemons.
 *
 * @param entries record of the stand-ins
 * @param requests requests as their callers saw them
 * @param revokedKeys keys with the time of their revocation
 */
export function checkRevokedKeys(
  entries: readonly RunEntry[],
  requests: readonly RequestObservation[],
  revokedKeys: readonly RevokedKey[],
): Violation[] {
  const revokedAt = new Map(revokedKeys.map((key) => [key.keyId, key.revokedAt]));
  const executed = new Set(
    entries.flatMap((entry) => (entry.type === 'request-started' ? [entry.marker] : [])),
  );
  return requests.flatMap(({ marker, keyId, sentAt, outcomes }): Violation[] => {
    const revoked = keyId === null ? undefined : revokedAt.get(keyId);
    if (keyId === null || revoked === undefined) return [];
    const revokedMilliseconds = sentAt - revoked;
    const isServed = executed.has(marker) || outcomes.some(({ kind }) => kind === 'answered');
    if (!isServed || revokedMilliseconds <= REVOCATION_EFFECTIVE_MILLISECONDS) return [];
    return [{ kind: 'revoked-key-served', marker, keyId, revokedMilliseconds }];
  });
}
