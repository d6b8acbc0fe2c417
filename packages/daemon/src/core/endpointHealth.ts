import { computeBackoff } from '@chicorybend/common';
import type { BackoffLimits, CancelTimer, Clock, Counters, Log } from '@chicorybend/common';
import { createMemberHealth } from '@chicorybend/decisions';
import type { RetryDelays } from '@chicorybend/decisions';

/** Ejects an endpoint whose requests fail, and readmits it after a successful probe. */
export interface EndpointHealth {
  isEjected(): boolean;
  /** @returns whether a request has failed or was not answered in time since the last answer */
  isSuspect(): boolean;
  /** @returns whether a suspect endpoint may be tried again */
  isRetryDue(): boolean;
  recordSuccess(): void;
  /** Records an answer that came too late for its request. */
  recordLateAnswer(): void;
  recordFailure(): void;
  /** Records that a request can no longer be answered; a probe tells whether the endpoint is ejected. */
  recordUnanswered(): void;
  /**
   * Probes the endpoint after a request without an answer in time, because a short deadline cannot tell a silent
   * endpoint from a slow one. Ejects the endpoint at once if the probe fails.
   */
  probeAfterTimeout(): void;
  stop(): void;
}

export interface EndpointHealthOptions {
  readonly endpointId: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  /** Calls the endpoint's health path on a new connection; resolves to whether it answered in time. */
  readonly probe: () => Promise<boolean>;
  readonly onReadmitted: () => void;
  /** Source of random numbers in [0, 1). */
  readonly random: () => number;
}

const FAILURES_BEFORE_EJECTION = 3;

/** Probes start early; the delay grows for an endpoint that passes its probes but keeps failing requests. */
const PROBE_BACKOFF: BackoffLimits = { firstMilliseconds: 500, maximumMilliseconds: 5_000 };

/** Delays before a request is sent to a suspect endpoint although others have free slots. */
const RETRY_DELAYS: RetryDelays = { minimumMilliseconds: 500, maximumMilliseconds: 5_000 };

/** Creates the health state of one endpoint: ejected after consecutive failures, readmitted by a probe. */
export function createEndpointHealth(options: EndpointHealthOptions): EndpointHealth {
  const { clock, log, counters, endpointId } = options;
  const member = createMemberHealth(RETRY_DELAYS);
  const now = () => clock.monotonicMilliseconds();
  let consecutiveFailures = 0;
  let backoffSteps = 0;
  let isEjected = false;
  let isProbing = false;
  let isStopped = false;
  let cancelProbe: CancelTimer = () => undefined;

  function readmit(): void {
    isEjected = false;
    // The next failure ejects the endpoint again.
    consecutiveFailures = FAILURES_BEFORE_EJECTION - 1;
    log.info(`endpoint ${endpointId} readmitted`);
    options.onReadmitted();
  }

  async function probeAgain(): Promise<void> {
    const isAlive = await options.probe();
    if (isStopped) return;
    if (isAlive) readmit();
    else scheduleProbe();
  }

  function scheduleProbe(): void {
    const delay = computeBackoff(PROBE_BACKOFF, backoffSteps - 1, options.random);
    backoffSteps += 1;
    cancelProbe = clock.setTimer(() => {
      probeAgain();
    }, delay);
  }

  function eject(): void {
    if (isEjected || isStopped) return;
    isEjected = true;
    backoffSteps += 1;
    counters.increment('endpoints.ejected');
    log.warn(`endpoint ${endpointId} ejected after ${consecutiveFailures} consecutive failures`);
    scheduleProbe();
  }

  function recordFailure(): void {
    member.recordFailure(now());
    consecutiveFailures += 1;
    if (consecutiveFailures >= FAILURES_BEFORE_EJECTION) eject();
  }

  async function probeOnce(): Promise<void> {
    isProbing = true;
    const isAlive = await options.probe();
    isProbing = false;
    if (isAlive || isStopped) return;
    consecutiveFailures = FAILURES_BEFORE_EJECTION;
    eject();
  }

  return {
    isEjected: () => isEjected,
    isSuspect: member.isSuspect,
    isRetryDue: () => member.isRetryDue(now()),
    recordFailure,
    recordUnanswered: () => member.recordFailure(now()),
    recordLateAnswer: () => member.recordAnswer(now()),
    recordSuccess() {
      member.recordAnswer(now());
      consecutiveFailures = 0;
      backoffSteps = 0;
    },
    probeAfterTimeout() {
      member.recordOverdue();
      if (!isProbing && !isEjected) probeOnce();
    },
    stop() {
      isStopped = true;
      cancelProbe();
    },
  };
}
