import type { Quarantine, QuarantineVerdict } from '../types/quarantine.js';

const DEFAULT_DISTINCT_JOBS = 3;
const DEFAULT_DISTINCT_WORKERS = 3;
const DEFAULT_FIRST_BACKOFF_MILLISECONDS = 30_000;
const DEFAULT_MAXIMUM_BACKOFF_MILLISECONDS = 600_000;
/** Failures further apart than this are not attributed to a common cause. */
const DEFAULT_FAILURE_WINDOW_MILLISECONDS = 600_000;

/** Settings of {@link createQuarantine}. */
export interface QuarantineOptions {
  /** Distinct jobs that must fail on a worker, with no success in between, before it is quarantined. */
  readonly distinctJobs?: number;
  /** Distinct workers on which a job must fail before it is held. */
  readonly distinctWorkers?: number;
  /** Time until the first probe, in milliseconds; doubles with each failed probe. */
  readonly firstBackoffMilliseconds?: number;
  /** Longest time between probes, in milliseconds. */
  readonly maximumBackoffMilliseconds?: number;
  /** How long a failure counts, in milliseconds. */
  readonly failureWindowMilliseconds?: number;
}

interface QuarantineEntry {
  /** Monotonic time at which the next probe is due, in milliseconds. */
  nextProbeAt: number;
  /** Monotonic time at which the running probe was started, in milliseconds; null if none is running. */
  probeStartedAt: number | null;
  backoffMilliseconds: number;
}

/** Times of the last failure: of a worker by job, or of a job by worker. */
type FailureTimes = Map<string, number>;

function addFailure(
  failuresByKey: Map<string, FailureTimes>,
  key: string,
  counterpart: string,
  now: number,
) {
  const failures = failuresByKey.get(key) ?? new Map<string, number>();
  // A Map keeps insertion order; deleting first keeps the entries ordered by time.
  failures.delete(counterpart);
  failures.set(counterpart, now);
  failuresByKey.set(key, failures);
}

function removeFailure(
  failuresByKey: Map<string, FailureTimes>,
  key: string,
  counterpart: string,
): void {
  const failures = failuresByKey.get(key);
  failures?.delete(counterpart);
  if (failures?.size === 0) failuresByKey.delete(key);
}

/**
 * Creates a quarantine without recorded failures.
 *
 * A failure counts against both the worker and the job. Once the worker is quarantined or the job is
 * held, it no longer counts against the other.
 *
 * @param options settings
 */
export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const distinctJobs = options.distinctJobs ?? DEFAULT_DISTINCT_JOBS;
  const distinctWorkers = options.distinctWorkers ?? DEFAULT_DISTINCT_WORKERS;
  const firstBackoffMilliseconds =
    options.firstBackoffMilliseconds ?? DEFAULT_FIRST_BACKOFF_MILLISECONDS;
  const maximumBackoffMilliseconds =
    options.maximumBackoffMilliseconds ?? DEFAULT_MAXIMUM_BACKOFF_MILLISECONDS;
  const failureWindow = options.failureWindowMilliseconds ?? DEFAULT_FAILURE_WINDOW_MILLISECONDS;
  const workerFailures = new Map<string, FailureTimes>();
  const jobFailures = new Map<string, FailureTimes>();
  const quarantined = new Map<string, QuarantineEntry>();
  const heldJobs = new Map<string, number>();
  /** All failures, oldest first, so that old ones can be expired. */
  const failureLog: { workerId: string; jobId: string; at: number }[] = [];
  let oldestIndex = 0;

  function expireFailures(now: number): void {
    while (oldestIndex < failureLog.length && failureLog[oldestIndex]!.at <= now - failureWindow) {
      const { workerId, jobId, at } = failureLog[oldestIndex]!;
      if (workerFailures.get(workerId)?.get(jobId) === at) {
        removeFailure(workerFailures, workerId, jobId);
      }
      if (jobFailures.get(jobId)?.get(workerId) === at) removeFailure(jobFailures, jobId, workerId);
      if ((heldJobs.get(jobId) ?? Infinity) <= now - failureWindow) heldJobs.delete(jobId);
      oldestIndex += 1;
    }
    if (oldestIndex > failureLog.length / 2) {
      failureLog.splice(0, oldestIndex);
      oldestIndex = 0;
    }
  }

  function holdJob(jobId: string, now: number): void {
    heldJobs.set(jobId, now);
    const failedWorkerIds = [...workerFailures.keys()].filter((id) =>
      workerFailures.get(id)!.has(jobId),
    );
    jobFailures.delete(jobId);
    failedWorkerIds.forEach((workerId) => {
      removeFailure(workerFailures, workerId, jobId);
      const remaining = workerFailures.get(workerId)?.size ?? 0;
      if (quarantined.has(workerId) && remaining < distinctJobs) quarantined.delete(workerId);
    });
  }

  function quarantineWorker(workerId: string, now: number): void {
    quarantined.set(workerId, {
      nextProbeAt: now + firstBackoffMilliseconds,
      probeStartedAt: null,
      backoffMilliseconds: firstBackoffMilliseconds,
    });
    workerFailures
      .get(workerId)
      ?.forEach((_, jobId) => removeFailure(jobFailures, jobId, workerId));
  }

  function recordFailedProbe(entry: QuarantineEntry, now: number): void {
    // Tasks started before the quarantine may fail too; only a failed probe doubles the backoff.
    if (entry.probeStartedAt === null && now < entry.nextProbeAt) return;
    const backoffMilliseconds = Math.min(maximumBackoffMilliseconds, 2 * entry.backoffMilliseconds);
    Object.assign(entry, {
      backoffMilliseconds,
      nextProbeAt: now + backoffMilliseconds,
      probeStartedAt: null,
    });
  }

  function recordFailure(workerId: string, jobId: string, now: number): QuarantineVerdict {
    if (heldJobs.has(jobId)) return 'hold-job';
    failureLog.push({ workerId, jobId, at: now });
    addFailure(workerFailures, workerId, jobId, now);
    const entry = quarantined.get(workerId);
    if (entry) {
      recordFailedProbe(entry, now);
      return 'quarantine-worker';
    }
    addFailure(jobFailures, jobId, workerId, now);
    if (jobFailures.get(jobId)!.size >= distinctWorkers) {
      holdJob(jobId, now);
      return 'hold-job';
    }
    if (workerFailures.get(workerId)!.size < distinctJobs) return 'none';
    quarantineWorker(workerId, now);
    return 'quarantine-worker';
  }

  function lift(workerId: string): void {
    quarantined.delete(workerId);
    workerFailures.delete(workerId);
  }

  return {
    recordEnd(workerId, jobId, hasSucceeded, now) {
      expireFailures(now);
      if (!hasSucceeded) return recordFailure(workerId, jobId, now);
      lift(workerId);
      jobFailures.delete(jobId);
      heldJobs.delete(jobId);
      return 'none';
    },
    isQuarantined(workerId, now) {
      const entry = quarantined.get(workerId);
      return entry !== undefined && now < entry.nextProbeAt;
    },
    recordStart(workerId, now) {
      const entry = quarantined.get(workerId);
      if (!entry || now < entry.nextProbeAt) return;
      entry.probeStartedAt = now;
      entry.nextProbeAt = now + entry.backoffMilliseconds;
    },
    lift,
    release(jobId) {
      jobFailures.delete(jobId);
      heldJobs.delete(jobId);
    },
  };
}
