/** A VM yields only to one with this many times its processors or link rate, so that equal VMs never alternate. */
const MINIMUM_CAPACITY_RATIO = 2;
/** Some 1,600 calls a second of 600 bytes take 8 Mbit/s; a link several times as fast does not limit an owner. */
const USABLE_LINK_MEGABITS_PER_SECOND = 50;
/** A process yields at most once in this time, in case that none of the others takes the ownership over. */
const YIELD_INTERVAL_MILLISECONDS = 30_000;
/** A peer has to be in contact for this long before it counts, so that it is not one that is just starting. */
const MINIMUM_CONTACT_MILLISECONDS = 1_000;
/** A peer counts as lost this long after its last message; longer than the interval of its messages. */
const MAXIMUM_SILENCE_MILLISECONDS = 2_500;
/** Minimum duration of a term before it is yielded; the state has been recovered by then. */
const MINIMUM_TERM_MILLISECONDS = 1_000;

/** What makes a VM a good owner. */
export interface VmCapacity {
  /** Number of cores that the process may use. */
  readonly processors: number;
  /** Rate of the VM's link, in megabits per second; null if it is not known. */
  readonly linkMegabitsPerSecond: number | null;
}

/** @returns rate that an owner can make use of; null if the rate of the link is not known */
function usableLink({ linkMegabitsPerSecond: link }: VmCapacity): number | null {
  return link === null ? null : Math.min(link, USABLE_LINK_MEGABITS_PER_SECOND);
}

/** @returns ratio of the processors and of the links, the lower and the higher of the two */
function compareCapacities(
  own: VmCapacity,
  other: VmCapacity,
): { lowest: number; highest: number } {
  const ownLink = usableLink(own);
  const otherLink = usableLink(other);
  const ratios = [
    own.processors / other.processors,
    ownLink !== null && otherLink !== null ? ownLink / otherLink : 1,
  ];
  return { lowest: Math.min(...ratios), highest: Math.max(...ratios) };
}

/**
 * Orders the claims after the loss of an owner.
 *
 * @param former capacity of the former owner; null if it is not known
 * @returns number of turns that a VM leaves to others, which may be as strong as the former owner: one if it is weaker,
 *   two if it has less than half of its processors or of its link
 */
export function countTurnsBeforeClaim(own: VmCapacity, former: VmCapacity | null): number {
  if (!former) return 0;
  const { lowest: ratio } = compareCapacities(own, former);
  if (ratio >= 1) return 0;
  return ratio >= 1 / MINIMUM_CAPACITY_RATIO ? 1 : 2;
}

/** A peer that is connected to the owner. */
export interface OwnerCandidate extends VmCapacity {
  readonly address: string;
}

/** Decides whether the owner should yield to a VM with more processors or a faster link. */
export interface OwnerPreference {
  /** @returns whether this process should own the cell instead of an owner of the given capacity */
  isBetterThan(owner: VmCapacity): boolean;
  /** Records a message of a peer that has just reached the store. */
  recordContact(candidate: OwnerCandidate, now: number): void;
  /**
   * @param termStartedAt start of the term, in monotonic milliseconds
   * @param now current time, in monotonic milliseconds
   * @returns the peer that the ownership is yielded to now; null if there is none
   */
  chooseBetterOwner(termStartedAt: number, now: number): OwnerCandidate | null;
}

interface Contact {
  readonly candidate: OwnerCandidate;
  readonly since: number;
  readonly lastAt: number;
}

/** A VM has to be ahead clearly in one respect and behind in none, so that no two VMs yield to each other. */
function outranks(own: VmCapacity, owner: VmCapacity): boolean {
  const { lowest, highest } = compareCapacities(own, owner);
  return lowest >= 1 && highest >= MINIMUM_CAPACITY_RATIO;
}

/**
 * Creates a preference without contacts.
 *
 * @param own capacity of the VM of this process
 */
export function createOwnerPreference(own: VmCapacity): OwnerPreference {
  const contacts = new Map<string, Contact>();
  let yieldedAt = -Infinity;

  return {
    isBetterThan: (owner) => outranks(own, owner),
    recordContact(candidate, now) {
      const known = contacts.get(candidate.address);
      const isContinuous = known && now - known.lastAt <= MAXIMUM_SILENCE_MILLISECONDS;
      const since = isContinuous ? known.since : now;
      contacts.set(candidate.address, { candidate, since, lastAt: now });
    },
    chooseBetterOwner(termStartedAt, now) {
      if (now - termStartedAt < MINIMUM_TERM_MILLISECONDS) return null;
      if (now - yieldedAt < YIELD_INTERVAL_MILLISECONDS) return null;
      const better = [...contacts.values()].find(
        ({ candidate, since, lastAt }) =>
          outranks(candidate, own) &&
          now - since >= MINIMUM_CONTACT_MILLISECONDS &&
          now - lastAt <= MAXIMUM_SILENCE_MILLISECONDS,
      );
      if (!better) return null;
      yieldedAt = now;
      return better.candidate;
    },
  };
}
