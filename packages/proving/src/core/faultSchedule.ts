import { FAULT_KINDS } from '../types/fault.js';
import type { PlannedFault } from '../types/fault.js';
import type { Random } from '../utils/random.js';

const FIRST_FAULT_MILLISECONDS = 2_000;
const SHORTEST_GAP_MILLISECONDS = 1_000;
const LONGEST_GAP_MILLISECONDS = 6_000;
const SHORTEST_FAULT_MILLISECONDS = 300;
// Longer than a takeover and a task lease, so that takeovers and lease expiry happen during the fault.
const LONGEST_FAULT_MILLISECONDS = 15_000;
const SECOND_FAULT_PROBABILITY = 0.25;
const LARGEST_TARGET_NUMBER = 1_000;

function planFault(random: Random, at: number): PlannedFault {
  return {
    kind: random.pick(FAULT_KINDS),
    at,
    durationMilliseconds: random.integer(SHORTEST_FAULT_MILLISECONDS, LONGEST_FAULT_MILLISECONDS),
    target: random.integer(0, LARGEST_TARGET_NUMBER),
    other: random.integer(0, LARGEST_TARGET_NUMBER),
  };
}

/**
 * Plans faults of random kind, time, duration and target; some begin two at once.
 *
 * @param random source of random numbers
 * @param durationMilliseconds period in which faults begin, in milliseconds
 * @returns faults, ordered by time
 */
export function planFaults(random: Random, durationMilliseconds: number): readonly PlannedFault[] {
  const faults: PlannedFault[] = [];
  let at = FIRST_FAULT_MILLISECONDS;
  while (at < durationMilliseconds) {
    faults.push(planFault(random, at));
    if (random.chance(SECOND_FAULT_PROBABILITY)) faults.push(planFault(random, at));
    at += random.integer(SHORTEST_GAP_MILLISECONDS, LONGEST_GAP_MILLISECONDS);
  }
  return faults;
}
