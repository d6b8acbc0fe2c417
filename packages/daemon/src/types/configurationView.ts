import type { Configuration, Failure, Result } from '@chicorybend/common';

/** Identity of a caller whose key is valid in the configuration in effect. */
export interface AuthenticatedKey {
  readonly keyId: string;
  readonly team: string;
}

/** Read access to the configuration in effect on this daemon. */
export interface ConfigurationView {
  /** @returns the configuration in effect, or null before the first one was read */
  current(): Configuration | null;

  /**
   * @returns whether the configuration in effect was confirmed as current recently enough to serve keyed work, which
   * is work of queues that require a key
   */
  isFresh(): boolean;

  /**
   * Authenticates a caller by its key.
   *
   * @param keyText text of the key, `cb_<keyId>_<secret>`
   * @returns id and team of the key, or `wrong-key`, `revoked-key` or `configuration-not-fresh`
   */
  authenticate(keyText: string): Result<AuthenticatedKey, Failure>;

  /**
   * Registers a listener that is called after each change of the configuration in effect.
   */
  onChange(listener: (configuration: Configuration) => void): void;
}
