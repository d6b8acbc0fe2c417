import { randomBytes } from 'node:crypto';

import { createFailure, Err, isSameDigest, Ok, sha256 } from '@chicorybend/common';
import type { Clock, Configuration, Failure, Result } from '@chicorybend/common';

import type { AuthenticatedKey } from '../types/configurationView.js';

/** An announced revocation is enforced at least this long, in milliseconds. Announced changes end well before. */
export const ANNOUNCEMENT_TTL_MILLISECONDS = 10_000;

const KEY_ID_BYTES = 6;
const SECRET_BYTES = 32;
const KEY_PATTERN = /^cb_([a-z0-9][a-z0-9-]{0,62})_([\w-]{1,128})$/;
/** Compared with when the key id is unknown, so that both cases take the same time. */
const PLACEHOLDER_DIGEST = '0'.repeat(64);

/** A new key. The text is shown once; only the hash is stored. */
export interface NewKey {
  readonly keyId: string;
  readonly keyText: string;
  readonly secretHash: string;
}

/** Checks keys, and enforces announced revocations before they are in effect. */
export interface Keyring {
  /**
   * @param keyText text of the key
   * @param configuration configuration in effect
   * @returns the key's team, or `wrong-key` or `revoked-key`
   */
  authenticate(keyText: string, configuration: Configuration): Result<AuthenticatedKey, Failure>;
  /**
   * Enforces revocations from now on.
   *
   * @param keyIds announced keys
   * @returns keys that were not announced before
   */
  announceRevocations(keyIds: readonly string[]): readonly string[];
  /**
   * Lifts announced revocations that the configuration settles: those that are part of it, and those that are
   * not part of it although it was confirmed later than the announced change can have been written.
   *
   * @param configuration configuration in effect
   * @param confirmedAt monotonic time at which it was confirmed, in milliseconds
   */
  liftSettledRevocations(configuration: Configuration, confirmedAt: number): void;
}

/**
 * Creates a key with a random id and secret.
 *
 * @returns the key
 */
export function createKey(): NewKey {
  const keyId = randomBytes(KEY_ID_BYTES).toString('hex');
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  return { keyId, keyText: `cb_${keyId}_${secret}`, secretHash: sha256(secret) };
}

/**
 * Creates the keyring of a daemon.
 *
 * @param clock source of time
 * @returns the keyring
 */
export function createKeyring(clock: Clock): Keyring {
  const announcedAtByKeyId = new Map<string, number>();

  function isSettled(keyId: string, configuration: Configuration, confirmedAt: number): boolean {
    const record = configuration.keys[keyId];
    if (record?.revokedAt !== undefined) return true;
    return confirmedAt >= (announcedAtByKeyId.get(keyId) ?? 0) + ANNOUNCEMENT_TTL_MILLISECONDS;
  }

  return {
    authenticate(keyText, configuration) {
      const [, keyId = '', secret = ''] = KEY_PATTERN.exec(keyText) ?? [];
      const record = Object.hasOwn(configuration.keys, keyId)
        ? configuration.keys[keyId]
        : undefined;
      const isSecretValid = isSameDigest(sha256(secret), record?.secretHash ?? PLACEHOLDER_DIGEST);
      if (!record || !isSecretValid) return Err(createFailure('wrong-key'));
      if (record.revokedAt !== undefined || announcedAtByKeyId.has(keyId)) {
        return Err(createFailure('revoked-key', { keyId }));
      }
      return Ok({ keyId, team: record.team });
    },
    announceRevocations(keyIds) {
      const added = keyIds.filter((keyId) => !announcedAtByKeyId.has(keyId));
      keyIds.forEach((keyId) => announcedAtByKeyId.set(keyId, clock.monotonicMilliseconds()));
      return added;
    },
    liftSettledRevocations(configuration, confirmedAt) {
      [...announcedAtByKeyId.keys()]
        .filter((keyId) => isSettled(keyId, configuration, confirmedAt))
        .forEach((keyId) => announcedAtByKeyId.delete(keyId));
    },
  };
}
