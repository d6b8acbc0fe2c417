import { assertInvariant } from '@chicorybend/common';

import type { LimitDimension } from '../types/allotment.js';

export const LIMIT_DIMENSIONS = ['tasks', 'requests'] as const;

/** Number of units per dimension. */
export type LimitUnits = Readonly<Record<LimitDimension, number>>;

/** Units of a team's upper limit that are assigned to one partition. */
export interface PartitionAllotment extends LimitUnits {
  /** Epoch of the owner that may use the units; an owner of another epoch must take the allotment over first. */
  readonly epoch: number;
}

/** Ledger of one team: its upper limits and their allotments. Value of the store key `allotments/<team>`. */
export interface AllotmentLedger {
  readonly limits: LimitUnits;
  /** Revision of the configuration in which the limits last changed. */
  readonly revision: number;
  /** Allotments by partition number. */
  readonly parts: Readonly<Record<string, PartitionAllotment>>;
}

const EMPTY_ALLOTMENT: PartitionAllotment = { tasks: 0, requests: 0, epoch: 0 };
/** Fraction of the unassigned units that one grant takes, so that some are left for later grants. */
const GRANT_FRACTION = 1 / 8;
/** The first partition asked to return units is chosen at random among this many of the largest allotments. */
const FIRST_RETURN_CANDIDATES = 3;
/** Upper bound, because each call costs the store a write of the team's ledger. */
const MAXIMUM_RETURN_CALLS = 8;

/** Sums the allotments of all partitions. */
export function sumAllotments(ledger: AllotmentLedger, dimension: LimitDimension): number {
  return Object.values(ledger.parts).reduce((sum, allotment) => sum + allotment[dimension], 0);
}

/** Returns the allotment of a partition; zero units at epoch 0 if the ledger has none. */
export function allotmentOf(ledger: AllotmentLedger, partition: number): PartitionAllotment {
  return ledger.parts[String(partition)] ?? EMPTY_ALLOTMENT;
}

function withAllotment(
  ledger: AllotmentLedger,
  partition: number,
  allotment: PartitionAllotment,
): AllotmentLedger {
  return { ...ledger, parts: { ...ledger.parts, [String(partition)]: allotment } };
}

/** A change may increase the sum of the allotments only up to the limit. */
function assertWithinLimits(before: AllotmentLedger, after: AllotmentLedger): void {
  LIMIT_DIMENSIONS.forEach((dimension) => {
    const sum = sumAllotments(after, dimension);
    assertInvariant(
      sum <= Math.max(after.limits[dimension], sumAllotments(before, dimension)),
      'upper-limit',
      () => `${sum} ${dimension} allotted, limit is ${after.limits[dimension]}`,
    );
  });
}

/** Computes a partition's share of an equal split; the remainder goes to the lowest partition numbers. */
export function computeEqualShare(
  units: number,
  partition: number,
  partitionCount: number,
): number {
  const remainder = units % partitionCount;
  return Math.floor(units / partitionCount) + (partition < remainder ? 1 : 0);
}

/**
 * Creates the ledger of a team. All requests are split equally at once, because an interactive request cannot wait
 * for a grant. Half of the tasks are split equally for the first starts; the other half is granted on demand.
 *
 * @param revision revision of the configuration with these limits
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
 * Assigns an allotment to the owner of an epoch, so that later writes of a former owner are rejected.
 */
export function takeOverAllotment(
  ledger: AllotmentLedger,
  partition: number,
  epoch: number,
): AllotmentLedger {
  return withAllotment(ledger, partition, { ...allotmentOf(ledger, partition), epoch });
}

/**
 * Grants unassigned units to a partition.
 *
 * @param minimum least number of units to grant
 * @returns the ledger with the grant, or null if fewer units are unassigned
 */
export function grantUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
  minimum: number,
): AllotmentLedger | null {
  const unassigned = ledger.limits[dimension] - sumAllotments(ledger, dimension);
  if (unassigned < minimum) return null;
  const granted = Math.max(minimum, Math.floor(unassigned * GRANT_FRACTION));
  const allotment = allotmentOf(ledger, partition);
  const after = withAllotment(ledger, partition, {
    ...allotment,
    [dimension]: allotment[dimension] + granted,
  });
  assertWithinLimits(ledger, after);
  return after;
}

/**
 * Raises a partition's allotment towards a target with the units that are unassigned.
 *
 * @param target allotment to reach, in units
 * @returns the ledger with the grant, or null if the target is reached or nothing is unassigned
 */
export function topUpUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
  target: number,
): AllotmentLedger | null {
  const allotment = allotmentOf(ledger, partition);
  const unassigned = ledger.limits[dimension] - sumAllotments(ledger, dimension);
  const granted = Math.min(target - allotment[dimension], unassigned);
  if (granted <= 0) return null;
  const after = withAllotment(ledger, partition, {
    ...allotment,
    [dimension]: allotment[dimension] + granted,
  });
  assertWithinLimits(ledger, after);
  return after;
}

/**
 * Reduces a partition's allotment; the returned units become unassigned.
 *
 * @param retained allotment that remains, in units
 * @returns the changed ledger, or null if the allotment is no larger than that
 */
export function returnUnits(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
  retained: number,
): AllotmentLedger | null {
  const allotment = allotmentOf(ledger, partition);
  if (allotment[dimension] <= retained) return null;
  return withAllotment(ledger, partition, { ...allotment, [dimension]: retained });
}

/** Units that a partition needs beyond its allotment. */
export interface UnitShortage {
  readonly partition: number;
  readonly dimension: LimitDimension;
  readonly missingUnits: number;
}

/**
 * Chooses the partitions to ask for idle units: those with the largest allotments, until these cover the missing
 * units. Several are asked at once because a gang needs all its units together: asking one partition per request,
 * each after a longer backoff, took many seconds.
 *
 * @param random source of random numbers in [0, 1)
 * @returns partition numbers
 */
export function choosePartitionsToReturn(
  ledger: AllotmentLedger,
  { partition, dimension, missingUnits }: UnitShortage,
  random: () => number,
): readonly number[] {
  const largest = Object.entries(ledger.parts)
    .filter(([other, allotment]) => Number(other) !== partition && allotment[dimension] > 0)
    .sort(([, left], [, right]) => right[dimension] - left[dimension]);
  // The first one is random among a few, so that partitions that ask at the same time do not all ask the same one.
  const first = Math.floor(random() * Math.min(FIRST_RETURN_CANDIDATES, largest.length));
  const chosen: number[] = [];
  let covered = 0;
  [...largest.slice(first), ...largest.slice(0, first)].forEach(([other, allotment]) => {
    if (covered >= missingUnits || chosen.length >= MAXIMUM_RETURN_CALLS) return;
    chosen.push(Number(other));
    covered += allotment[dimension];
  });
  return chosen;
}

export function areLimitsEqual(left: LimitUnits, right: LimitUnits): boolean {
  return LIMIT_DIMENSIONS.every((dimension) => left[dimension] === right[dimension]);
}

/**
 * Sets the limits of a team. Allotments stay unchanged; if their sum exceeds a limit, the partitions' owners shrink
 * them.
 *
 * @param revision revision of the configuration with these limits
 * @returns the ledger with the new limits; the same object if they are unchanged
 */
export function setLimits(
  ledger: AllotmentLedger,
  limits: LimitUnits,
  revision: number,
): AllotmentLedger {
  return areLimitsEqual(ledger.limits, limits) ? ledger : { ...ledger, limits, revision };
}

/**
 * Computes how many units a partition may have in use. While the allotments exceed a lowered limit this is 0 for
 * every partition: a share computed from the allotments would grow as the other partitions shrink theirs.
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
 * Computes the allotment to which a partition shrinks while the allotments exceed a lowered limit: its share of the
 * limit, in proportion to its allotment, rounded down.
 */
export function computeProportionalShare(
  ledger: AllotmentLedger,
  partition: number,
  dimension: LimitDimension,
): number {
  const allotment = allotmentOf(ledger, partition)[dimension];
  return Math.floor((allotment * ledger.limits[dimension]) / sumAllotments(ledger, dimension));
}
