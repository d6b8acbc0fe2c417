/** Delays before a member that has failed is tried again, in milliseconds; they double with each further failure. */
export interface RetryDelays {
  readonly minimumMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/**
 * Health of one member of a group that shares work, judged by the outcomes of its calls.
 *
 * A member that does not answer is idle most often, so choosing idle members sends it most of the work. A suspect
 * member therefore gets no work that waits for it, only tries whose failure costs nothing.
 */
export interface MemberHealth {
  /** @returns whether a call has been overdue or has failed since the last answer */
  isSuspect(): boolean;
  /** @returns whether a suspect member may be tried at a time, in monotonic milliseconds */
  isRetryDue(now: number): boolean;
  /** @returns whether it has answered at or after a time, in monotonic milliseconds, and is not suspect */
  isProvenSince(time: number): boolean;
  /** @returns number of calls that have failed since the last answer */
  failuresInRow(): number;
  recordAnswer(now: number): void;
  /** Records that a call takes too long; its answer may still come. */
  recordOverdue(): void;
  recordFailure(now: number): void;
}

/** Creates the health of a member that has not been called yet; it is not suspect. */
export function createMemberHealth({
  minimumMilliseconds,
  maximumMilliseconds,
}: RetryDelays): MemberHealth {
  let isSuspect = false;
  let failuresInRow = 0;
  let answeredAt = -Infinity;
  let retryAt = -Infinity;

  return {
    isSuspect: () => isSuspect,
    isRetryDue: (now) => now >= retryAt,
    isProvenSince: (time) => !isSuspect && answeredAt >= time,
    failuresInRow: () => failuresInRow,
    recordAnswer(now) {
      isSuspect = false;
      failuresInRow = 0;
      answeredAt = now;
    },
    recordOverdue() {
      isSuspect = true;
    },
    recordFailure(now) {
      isSuspect = true;
      const delay = minimumMilliseconds * 2 ** failuresInRow;
      failuresInRow += 1;
      retryAt = now + Math.min(maximumMilliseconds, delay);
    },
  };
}
