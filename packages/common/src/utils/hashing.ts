import { createHash, timingSafeEqual } from 'node:crypto';

import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/**
 * Hashes a text. Not cryptographic: not for secrets.
 *
 * @returns unsigned 32-bit hash
 */
export function hashText(text: string): number {
  return xxhash.h32(text);
}

/**
 * Assigns a key to a member by rendezvous hashing: adding or removing a member reassigns only the keys that
 * this member gains or loses.
 *
 * @returns member with the highest score, or undefined if there are no members
 */
export function chooseByRendezvous<Member extends string | number>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  let chosen: Member | undefined;
  let highest = -1;
  members.forEach((member) => {
    const score = hashText(`${member}/${key}`);
    if (score > highest) {
      highest = score;
      chosen = member;
    }
  });
  return chosen;
}

/**
 * Maps an id to its partition.
 *
 * @param identity id of a worker or endpoint, or idempotency key
 * @param partitionCount number of partitions of the cell
 * @returns partition number, starting at 0
 */
export function partitionOf(identity: string, partitionCount: number): number {
  const partitions = Array.from({ length: partitionCount }, (_, index) => index);
  return chooseByRendezvous(identity, partitions) ?? 0;
}

/**
 * Hashes a secret or a document.
 *
 * @returns SHA-256 in lower-case hexadecimal
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Compares two hexadecimal digests in constant time, so that timing does not reveal a secret's digest. */
export function isSameDigest(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
