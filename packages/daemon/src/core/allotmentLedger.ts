import { assertInvariant } from '@chicorybend/common';

import type { LimitDimension } from '../types/allotment.js';

/** Names of what upper limits count. */
export const LIMIT_DIMENSIONS = ['tasks', 'requests'] as const;

/** Units of each dimension. */
export type LimitUnits = Readonly<Record<LimitDimension, number>>;

/** A partition's part of a team's upper limit. */
export interface PartitionAllotment extends LimitUnits {
  /** Epoch of the owner that may use the part; an owner of another epoch must take it over first. */
  readonly epoch: number;
}

/** Value of the store key `allotments/<team>`. */
export interface AllotmentLedger {
  readonly limits: LimitUnits;
  /** Revision of the configuration that the limits were last changed by. */
  readonly revision: number;
  readonly parts: Readonly<Record<string, PartitionAllotment>>;
}

const EMPTY_ALLOTMENT: PartitionAllotment = { tasks: 0, requests: 0, epoch: 0 };
/** A grant takes this part of what is unassigned, so that later ones find something too. */
const GRANT_FRACTION = 1 / 8;
const FIRST_RETURN_CANDIDATES = 3;
/** Each call costs the store a write of the team's ledger. */
const MAXIMUM_RETURN_CALLS = 8;

/**
 * @param ledger ledger of a team
 * @param dimension what is counted
 * @returns units that partitions hold together
 */
export function sumAllotments(ledger: AllotmentLedger, dimension: LimitDimension): number {
  return Object.values(ledger.parts).reduce((sum, part) => sum + part[dimension], 0);
}

/**
 * @param ledger ledger of a team
 * @param partition partition number
 * @returns the partition's part
 */
export function allotmentOf(ledger: AllotmentLedger, partition: number): PartitionAllotment {
  return ledger.parts[String(partition)] ?? EMPTY_ALLOTMENT;
}

function withAllotment(
  ledger: AllotmentLedger,
  partition: number,
  part: PartitionAllotment,
): AllotmentLedger {
  return { ...ledger, parts: { ...ledger.parts, [String(partition)]: part } };
}

/** The sum of the parts grows only while it stays within the limit. */
function assertWithinLimits(before: AllotmentLedger, after: AllotmentLedger): void {
  LIMIT_DIMENSIONS.forEach((dimension) => {
    const sum = sumAllotments(after, dimension);
    assertInvariant(
      sum <= Math.max(after.limits[dimension], sumAllotments(before, dimension)),
      'upper-limit',
      () => `${sum} ${dimension} assigned of ${after.limits[dimension]}`,
    );
  });
}

/**
 * @param units units to split equally
 * @param partition partition number
 * @param partitionCount number of partitions
 * @returns units of the partition
 */
export function computeEqualShare(
  units: number,
  partition: number,
  partitionCount: number,
): number {
  const remainder = units % partitionCount;
  return Math.floor(units / partitionCount) + (partition < remainder ? 1 : 0);
}

/**
 * Creates the ledger of a team. Requests are split equally at once, because an interactive request cannot wait for
 * a grant; so is half of the tasks, for the first starts, and the rest is granted on demand.
 *
 * @param limits upper limits of the team
 * @param revision revision of the configuration with these limits
 * @param partitionCount number of partitions
 * @returns the ledger
 */
export function createLedger(
  limits: LimitUnits,
  revision: number,
  partitionCount: number,
): AllotmentLedger {
  const parts = Object.fromEntries(
    Array.from({ length: partitionCount }, (_, partition) => [
      String(partition),
      {
        tasks: computeEqualShare(Math.floor(limits.tasks / 2), partition, partitionCount),
        requests: computeEqualShare(limits.requests, partition, partitionCount),
        epoch: 0,
      },
    ]),
  );
  return { limits, revision, parts };
}

/**
 * Takes a part over for the owner of an epoch, so that writes of a former owner no longer match.
 *
 * @param ledger ledger of a team
 * @param partition partition number
 * @param epoch epoch of the new owner
 * @returns the ledger with the part taken over
 */
export function takeOverAllotment(
  ledger: AllotmentLedger,
  partition: number,
  epoch: number,
): AllotmentLedger {
  return withAllotment(ledger, partition, { ...allotmentOf(ledger, partition), epoch });
}

/**
 * Grants units to a partition from what is unassigned.
 *
 * @param ledger ledger of a team
 * @param partition partition number
 * @param dimension what is counted
 * @param needed units that are needed at least
 * @returns the ledger with the grant, or null if fewer than the needed units are unassigned
 */
export function grantUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
  needed: number,
): AllotmentLedger | null {
  const unassigned = ledger.limits[dimension] - sumAllotments(ledger, dimension);
  if (unassigned < needed) return null;
  const granted = Math.max(needed, Math.floor(unassigned * GRANT_FRACTION));
  const part = allotmentOf(ledger, partition);
  const after = withAllotment(ledger, partition, {
    ...part,
    [dimension]: part[dimension] + granted,
  });
  assertWithinLimits(ledger, after);
  return after;
}

/**
 * Grants units to a partition up to a target, as far as there are unassigned ones.
 *
 * @param ledger ledger of a team
 * @param partition partition number
 * @param dimension what is counted
 * @param target units that the partition shall hold
 * @returns the ledger with the grant, or null if there is nothing to grant
 */
export function topUpUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
  target: number,
): AllotmentLedger | null {
  const part = allotmentOf(ledger, partition);
  const unassigned = ledger.limits[dimension] - sumAllotments(ledger, dimension);
  const granted = Math.min(target - part[dimension], unassigned);
  if (granted <= 0) return null;
  const after = withAllotment(ledger, partition, {
    ...part,
    [dimension]: part[dimension] + granted,
  });
  assertWithinLimits(ledger, after);
  return after;
}

/**
 * Gives units of a partition back.
 *
 * @param ledger ledger of a team
 * @param partition partition number
 * @param dimension what is counted
 * @param kept units that the partition keeps
 * @returns the ledger, or null if the partition holds no more than that
 */
export function returnUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
  kept: number,
): AllotmentLedger | null {
  const part = allotmentOf(ledger, partition);
  if (part[dimension] <= kept) return null;
  return withAllotment(ledger, partition, { ...part, [dimension]: kept });
}

/** Units that a partition lacks. */
export interface UnitShortage {
  readonly partition: number;
  readonly dimension: LimitDimension;
  readonly missingUnits: number;
}

/**
 * Chooses partitions to ask for idle units: those with the largest parts, until their parts cover what is missing.
 * A gang needs its units together; one partition per request, each after a longer backoff, took many seconds.
 *
 * @param ledger ledger of a team
 * @param shortage what is missing
 * @param random source of random numbers in [0, 1)
 * @returns partition numbers
 */
export function choosePartitionsToReturn(
  ledger: AllotmentLedger,
  { partition, dimension, missingUnits }: UnitShortage,
  random: () => number,
): readonly number[] {
  const largest = Object.entries(ledger.parts)
    .filter(([other, part]) => Number(other) !== partition && part[dimension] > 0)
    .sort(([, left], [, right]) => right[dimension] - left[dimension]);
  // The first is chosen among a few, so that partitions that ask at once do not all ask the same one.
  const first = Math.floor(random() * Math.min(FIRST_RETURN_CANDIDATES, largest.length));
  const chosen: number[] = [];
  let covered = 0;
  [...largest.slice(first), ...largest.slice(0, first)].forEach(([other, part]) => {
    if (covered >= missingUnits || chosen.length >= MAXIMUM_RETURN_CALLS) return;
    chosen.push(Number(other));
    covered += part[dimension];
  });
  return chosen;
}

/**
 * @param left limits
 * @param right other limits
 * @returns whether they are the same
 */
export function areLimitsEqual(left: LimitUnits, right: LimitUnits): boolean {
  return LIMIT_DIMENSIONS.every((dimension) => left[dimension] === right[dimension]);
}

/**
 * Sets the limits of a team. Parts stay; their owners shrink them where the sum is over a limit.
 *
 * @param ledger ledger of a team
 * @param limits limits of the configuration in effect
 * @param revision revision of that configuration
 * @returns the ledger with the new limits; the same ledger if they are unchanged
 */
export function setLimits(
  ledger: AllotmentLedger,
  limits: LimitUnits,
  revision: number,
): AllotmentLedger {
  return areLimitsEqual(ledger.limits, limits) ? ledger : { ...ledger, limits, revision };
}

/**
 * Computes how many units a partition may have in use. While the parts are over a lowered limit nothing new may
 * start anywhere: a portion computed from the parts would grow as the other partitions shrink theirs.
 *
 * @param ledger ledger of a team
 * @param partition partition number
 * @param dimension what is counted
 * @returns usable units
 */
export function usableUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
): number {
  const isWithinLimit = sumAllotments(ledger, dimension) <= ledger.limits[dimension];
  return isWithinLimit ? allotmentOf(ledger, partition)[dimension] : 0;
}

/**
 * Computes the part that a partition shrinks to while the parts are over a lowered limit.
 *
 * @param ledger ledger of a team
 * @param partition partition number
 * @param dimension what is counted
 * @returns the partition's portion of the limit
 */
export function computeProportionalShare(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
): number {
  const part = allotmentOf(ledger, partition)[dimension];
  return Math.floor((part * ledger.limits[dimension]) / sumAllotments(ledger, dimension));
}
