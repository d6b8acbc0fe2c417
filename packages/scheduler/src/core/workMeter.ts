import { performance } from 'node:perf_hooks';

import type { Clock } from '@chicorybend/common';

/** Parts of the work of an owner, with what each covers. */
export const WORK_PARTS = {
  rounds: 'Rounds of placement.',
  advice: 'Choosing endpoints for advice calls, and recording their answers.',
  lists: 'Applying the lists that endpoints return.',
  starts: 'Sending starts.',
  commits: 'Encoding groups of changes.',
  callers: 'Handling calls of callers.',
  housekeeping: 'Due occurrences, drains, stragglers and steps that are released soon.',
  directory: 'Applying the directory of endpoints.',
} as const;

export type WorkPart = keyof typeof WORK_PARTS;

/** Time that an owner has worked since the last reading, in milliseconds. */
export interface WorkReading {
  readonly elapsed: number;
  /** Time in which the process did not wait for an event, all parts included. */
  readonly active: number;
  readonly parts: ReadonlyMap<WorkPart, number>;
}

/** Measures the time of an owner by part of its work. */
export interface WorkMeter {
  /** Runs synchronous work. Its time counts for `part`, except for that of calls of `measure` within it. */
  measure<Result>(part: WorkPart, work: () => Result): Result;
  /** @returns times since the last reading, or since the creation of the meter */
  read(): WorkReading;
}

/**
 * Creates a meter that starts now.
 *
 * @param readActiveMilliseconds total time in which the process did not wait for an event
 */
export function createWorkMeter(
  clock: Clock,
  readActiveMilliseconds = () => performance.eventLoopUtilization().active,
): WorkMeter {
  let parts = new Map<WorkPart, number>();
  let readAt = clock.monotonicMilliseconds();
  let activeAtReading = readActiveMilliseconds();
  /** Time that calls of `measure` took within the innermost one that has not returned. */
  let nestedMilliseconds = 0;

  return {
    measure(part, work) {
      const outerNested = nestedMilliseconds;
      nestedMilliseconds = 0;
      const startedAt = clock.monotonicMilliseconds();
      try {
        return work();
      } finally {
        const took = clock.monotonicMilliseconds() - startedAt;
        parts.set(part, (parts.get(part) ?? 0) + took - nestedMilliseconds);
        nestedMilliseconds = outerNested + took;
      }
    },
    read() {
      const now = clock.monotonicMilliseconds();
      const active = readActiveMilliseconds();
      const reading = { elapsed: now - readAt, active: active - activeAtReading, parts };
      parts = new Map();
      readAt = now;
      activeAtReading = active;
      return reading;
    },
  };
}
