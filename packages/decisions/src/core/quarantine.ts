import type { Quarantine, QuarantineVerdict } from '../types/quarantine.js';

const DEFAULT_DISTINCT_JOBS = 3;
const DEFAULT_DISTINCT_WORKERS = 3;
const DEFAULT_FIRST_BACKOFF_MILLISECONDS = 30_000;
const DEFAULT_MAXIMUM_BACKOFF_MILLISECONDS = 600_000;
/** Failures further apart than this say nothing about one common cause. */
const DEFAULT_EVIDENCE_MILLISECONDS = 600_000;

/** Settings of {@link createQuarantine}. */
export interface QuarantineOptions {
  /** Jobs that must fail on a worker, with no success in between, before it is quarantined. */
  readonly distinctJobs?: number;
  /** Workers on which a job must fail before it is held. */
  readonly distinctWorkers?: number;
  /** Time until the first probe, in milliseconds; doubles with each failed probe. */
  readonly firstBackoffMilliseconds?: number;
  /** Longest time between probes, in milliseconds. */
  readonly maximumBackoffMilliseconds?: number;
  /** How long a failure counts, in milliseconds. */
  readonly failureWindowMilliseconds?: number;
}

interface Confinement {
  /** When the next probe is due, in monotonic milliseconds. */
  probeAt: number;
  /** When the running probe was started, or null if none is running. */
  probedAt: number | null;
  backoffMilliseconds: number;
}

/** Times of the last failure, by the other party of the failure. */
type Failures = Map<string, number>;

function recordFailure(table: Map<string, Failures>, key: string, other: string, now: number) {
  const failures = table.get(key) ?? new Map<string, number>();
  // Deleted first, so that the entries stay in the order of time.
  failures.delete(other);
  failures.set(other, now);
  table.set(key, failures);
}

function forget(table: Map<string, Failures>, key: string, other: string): void {
  const failures = table.get(key);
  failures?.delete(other);
  if (failures?.size === 0) table.delete(key);
}

/**
 * Creates an empty record of failures.
 *
 * A failure is evidence against the worker and against the job until one of them is found guilty;
 * then it no longer counts against the other.
 *
 * @param options settings
 * @returns quarantine
 */
export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const distinctJobs = options.distinctJobs ?? DEFAULT_DISTINCT_JOBS;
  const distinctWorkers = options.distinctWorkers ?? DEFAULT_DISTINCT_WORKERS;
  const firstBackoff = options.firstBackoffMilliseconds ?? DEFAULT_FIRST_BACKOFF_MILLISECONDS;
  const maximumBackoff = options.maximumBackoffMilliseconds ?? DEFAULT_MAXIMUM_BACKOFF_MILLISECONDS;
  const evidenceTime = options.failureWindowMilliseconds ?? DEFAULT_EVIDENCE_MILLISECONDS;
  const failuresOfWorker = new Map<string, Failures>();
  const failuresOfJob = new Map<string, Failures>();
  const confined = new Map<string, Confinement>();
  const heldJobs = new Map<string, number>();
  /** All evidence in the order of time, for forgetting it. */
  const evidence: { workerId: string; jobId: string; at: number }[] = [];
  let oldest = 0;

  function forgetOld(now: number): void {
    while (oldest < evidence.length && evidence[oldest]!.at <= now - evidenceTime) {
      const { workerId, jobId, at } = evidence[oldest]!;
      if (failuresOfWorker.get(workerId)?.get(jobId) === at) {
        forget(failuresOfWorker, workerId, jobId);
      }
      if (failuresOfJob.get(jobId)?.get(workerId) === at) forget(failuresOfJob, jobId, workerId);
      if ((heldJobs.get(jobId) ?? Infinity) <= now - evidenceTime) heldJobs.delete(jobId);
      oldest += 1;
    }
    if (oldest > evidence.length / 2) {
      evidence.splice(0, oldest);
      oldest = 0;
    }
  }

  function holdJob(jobId: string, now: number): void {
    heldJobs.set(jobId, now);
    const blamed = [...failuresOfWorker.keys()].filter((id) =>
      failuresOfWorker.get(id)!.has(jobId),
    );
    failuresOfJob.delete(jobId);
    blamed.forEach((workerId) => {
      forget(failuresOfWorker, workerId, jobId);
      const remaining = failuresOfWorker.get(workerId)?.size ?? 0;
      if (confined.has(workerId) && remaining < distinctJobs) confined.delete(workerId);
    });
  }

  function confine(workerId: string, now: number): void {
    confined.set(workerId, {
      probeAt: now + firstBackoff,
      probedAt: null,
      backoffMilliseconds: firstBackoff,
    });
    failuresOfWorker.get(workerId)?.forEach((_, jobId) => forget(failuresOfJob, jobId, workerId));
  }

  function failProbe(confinement: Confinement, now: number): void {
    // Tasks that ran before the quarantine also end; only the end of a probe doubles the backoff.
    if (confinement.probedAt === null && now < confinement.probeAt) return;
    const backoffMilliseconds = Math.min(maximumBackoff, 2 * confinement.backoffMilliseconds);
    Object.assign(confinement, {
      backoffMilliseconds,
      probeAt: now + backoffMilliseconds,
      probedAt: null,
    });
  }

  function recordFailedEnd(workerId: string, jobId: string, now: number): QuarantineVerdict {
    if (heldJobs.has(jobId)) return 'hold-job';
    evidence.push({ workerId, jobId, at: now });
    recordFailure(failuresOfWorker, workerId, jobId, now);
    const confinement = confined.get(workerId);
    if (confinement) {
      failProbe(confinement, now);
      return 'quarantine-worker';
    }
    recordFailure(failuresOfJob, jobId, workerId, now);
    if (failuresOfJob.get(jobId)!.size >= distinctWorkers) {
      holdJob(jobId, now);
      return 'hold-job';
    }
    if (failuresOfWorker.get(workerId)!.size < distinctJobs) return 'none';
    confine(workerId, now);
    return 'quarantine-worker';
  }

  function lift(workerId: string): void {
    confined.delete(workerId);
    failuresOfWorker.delete(workerId);
  }

  return {
    recordEnd(workerId, jobId, hasSucceeded, now) {
      forgetOld(now);
      if (!hasSucceeded) return recordFailedEnd(workerId, jobId, now);
      lift(workerId);
      failuresOfJob.delete(jobId);
      heldJobs.delete(jobId);
      return 'none';
    },
    isQuarantined(workerId, now) {
      const confinement = confined.get(workerId);
      return confinement !== undefined && now < confinement.probeAt;
    },
    recordStart(workerId, now) {
      const confinement = confined.get(workerId);
      if (!confinement || now < confinement.probeAt) return;
      confinement.probedAt = now;
      confinement.probeAt = now + confinement.backoffMilliseconds;
    },
    lift,
    release(jobId) {
      failuresOfJob.delete(jobId);
      heldJobs.delete(jobId);
    },
  };
}
