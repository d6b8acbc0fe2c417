import type { Configuration, Failure, Result } from '@chicorybend/common';

/** A key that was checked against the configuration in effect. */
export interface AuthenticatedKey {
  readonly keyId: string;
  readonly team: string;
}

/** The configuration in effect at this daemon. */
export interface ConfigurationView {
  /** @returns the configuration in effect, or null before the first one was read */
  current(): Configuration | null;

  /** @returns whether the daemon may serve keyed work: its configuration is confirmed as current */
  isFresh(): boolean;

  /**
   * Checks a caller's key.
   *
   * @param keyText text of the key, `cb_<keyId>_<secret>`
   * @returns the key's team, or `wrong-key`, `revoked-key` or `configuration-not-fresh`
   */
  authenticate(keyText: string): Result<AuthenticatedKey, Failure>;

  /**
   * Calls a function after each change of the configuration in effect.
   *
   * @param listener function to call
   */
  onChange(listener: (configuration: Configuration) => void): void;
}
