import type { RunEntry } from '@chicorybend/standins';

import type { RequestObservation, RevokedKey } from '../types/observation.js';
import type { Violation } from '../types/violation.js';

/** "Within seconds": the time in which an accepted configuration is in effect everywhere. */
const REVOCATION_EFFECTIVE_MILLISECONDS = 7_000;

/**
 * Checks that no request runs or is answered under a key that was revoked some seconds before it was sent.
 *
 * @param entries record of what ran
 * @param requests requests as their callers saw them
 * @param revokedKeys keys with the time of their revocation
 * @returns violations
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
