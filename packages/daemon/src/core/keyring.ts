import { randomBytes } from 'node:crypto';

import { createFailure, Err, isSameDigest, Ok, sha256 } from '@chicorybend/common';
import type { Clock, Configuration, Failure, Result } from '@chicorybend/common';

import type { AuthenticatedKey } from '../types/configurationView.js';

/**
 * Minimum time for which an announced revocation is enforced, in milliseconds, unless a configuration contains it
 * earlier. An announced change is written, or has failed, well before this time ends.
 */
export const ANNOUNCEMENT_TTL_MILLISECONDS = 10_000;

const KEY_ID_BYTES = 6;
const SECRET_BYTES = 32;
const KEY_PATTERN = /^cb_([a-z0-9][a-z0-9-]{0,62})_([\w-]{1,128})$/;
/** Compared with if the key id is unknown, so that the response time does not show whether a key exists. */
const PLACEHOLDER_DIGEST = '0'.repeat(64);

/** A new key. Its text is shown to the operator once; only the hash of the secret is stored. */
export interface NewKey {
  readonly keyId: string;
  readonly keyText: string;
  readonly secretHash: string;
}

/** Authenticates keys, and enforces announced revocations before the configuration with them is in effect. */
export interface Keyring {
  /**
   * Checks the secret of a key and that the key is not revoked.
   *
   * @param configuration configuration in effect
   * @returns the key's id and team, or `wrong-key` or `revoked-key`
   */
  authenticate(keyText: string, configuration: Configuration): Result<AuthenticatedKey, Failure>;
  /**
   * Enforces the revocation of keys from now on.
   *
   * @returns ids of the keys that were not yet announced
   */
  announceRevocations(keyIds: readonly string[]): readonly string[];
  /**
   * Stops tracking the announced revocations that the configuration settles: those that it contains, and those that
   * it does not contain although it was confirmed after the last moment at which the announced change could have been
   * written.
   *
   * @param configuration configuration in effect
   * @param confirmedAt monotonic time at which it was confirmed, in milliseconds
   */
  liftSettledRevocations(configuration: Configuration, confirmedAt: number): void;
}

/** Creates a key with a random id and secret. */
export function createKey(): NewKey {
  const keyId = randomBytes(KEY_ID_BYTES).toString('hex');
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  return { keyId, keyText: `cb_${keyId}_${secret}`, secretHash: sha256(secret) };
}

export function createKeyring(clock: Clock): Keyring {
  /** Monotonic times of the announcements, in milliseconds. */
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
