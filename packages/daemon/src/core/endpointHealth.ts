import { computeBackoff } from '@chicorybend/common';
import type { BackoffLimits, CancelTimer, Clock, Counters, Log } from '@chicorybend/common';

/** Decides whether an endpoint gets requests, from how its requests ended. */
export interface EndpointHealth {
  isEjected(): boolean;
  recordSuccess(): void;
  recordFailure(): void;
  /** After a request whose time was too short to tell silence from slow work: asks the endpoint itself. */
  probeAfterTimeout(): void;
  stop(): void;
}

/** What the health of an endpoint needs. */
export interface EndpointHealthOptions {
  readonly endpointId: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  /** Asks the endpoint on a new connection whether it is alive. */
  readonly probe: () => Promise<boolean>;
  readonly onReadmitted: () => void;
  /** Source of random numbers in [0, 1). */
  readonly random: () => number;
}

const FAILURES_BEFORE_EJECTION = 3;

/** The first probe comes soon; an endpoint that is alive but fails its requests is tried less and less often. */
const PROBE_BACKOFF: BackoffLimits = { firstMilliseconds: 500, maximumMilliseconds: 5_000 };

/**
 * Creates the health of one endpoint: ejected after consecutive failures, readmitted after a probe succeeded.
 *
 * @param options clock, log, counters and probe
 * @returns the health
 */
export function createEndpointHealth(options: EndpointHealthOptions): EndpointHealth {
  const { clock, log, counters, endpointId } = options;
  let consecutiveFailures = 0;
  let backoffSteps = 0;
  let isEjected = false;
  let isProbing = false;
  let isStopped = false;
  let cancelProbe: CancelTimer = () => undefined;

  function readmit(): void {
    isEjected = false;
    // One more failure ejects it again.
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
    recordFailure,
    recordSuccess() {
      consecutiveFailures = 0;
      backoffSteps = 0;
    },
    probeAfterTimeout() {
      if (!isProbing && !isEjected) probeOnce();
    },
    stop() {
      isStopped = true;
      cancelProbe();
    },
  };
}
