import { parse, validate, version } from 'uuid';

const REQUEST_KEY_VERSION = 7;
const TIMESTAMP_BYTES = 6;

/**
 * Reads the creation time from a UUID version 7.
 *
 * @param key text of the idempotency key
 * @returns wall-clock time in milliseconds since the Unix epoch, or null if the key is not a UUID version 7
 */
export function readKeyTimestamp(key: string): number | null {
  if (!validate(key) || version(key) !== REQUEST_KEY_VERSION) return null;
  return Buffer.from(parse(key)).readUIntBE(0, TIMESTAMP_BYTES);
}
