import { createHash, timingSafeEqual } from 'node:crypto';

import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/**
 * Hashes a text to 32 bits. Not for secrets.
 *
 * @param text text to hash
 * @returns unsigned 32-bit hash
 */
export function hashText(text: string): number {
  return xxhash.h32(text);
}

/**
 * Chooses the member with the highest rendezvous score for a key, so that a change of the members
 * moves only the keys of the members that changed.
 *
 * @param key identity to place
 * @param members candidates
 * @returns chosen member, or undefined if there is none
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
 * Maps an identity to its partition.
 *
 * @param identity worker, endpoint or idempotency identity
 * @param partitionCount number of partitions of the cell
 * @returns partition number, from 0
 */
export function partitionOf(identity: string, partitionCount: number): number {
  const partitions = Array.from({ length: partitionCount }, (_, index) => index);
  return chooseByRendezvous(identity, partitions) ?? 0;
}

/**
 * Hashes a secret or a document.
 *
 * @param text text to hash
 * @returns SHA-256 in lower-case hexadecimal
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Compares two hexadecimal digests in constant time.
 *
 * @param left first digest
 * @param right second digest
 * @returns whether they are the same
 */
export function isSameDigest(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
