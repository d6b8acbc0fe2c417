import { assertInvariant, sleep, withTimeout } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import { DRAIN_GRACE_MILLISECONDS } from './callerApi.js';
import type { CallerApi } from './callerApi.js';
import type { DaemonLifecycle } from './daemonLifecycle.js';
import type { HttpServer } from './httpServer.js';
import type { Membership } from './membership.js';
import type { DrainOutcome, Ownership } from './ownership.js';
import type { RequestRouter } from './requestRouter.js';

/** Time limit after a second request to stop, in milliseconds. */
const SECOND_STOP_DEADLINE_MILLISECONDS = 2_000;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;
/** Fraction of the stop time that the handover must leave for requests in flight. */
const REQUEST_TIME_FRACTION = 1 / 3;
/** Leaving the membership gets at least this long, so that others need not wait for the session to lapse. */
const MINIMUM_LEAVE_TIMEOUT_MILLISECONDS = 1_000;

/** How a planned stop ended. */
export type StopOutcome = 'drained' | 'deadline';

export interface DaemonStopOptions {
  readonly clock: Clock;
  readonly lifecycle: DaemonLifecycle;
  readonly callerApi: Pick<CallerApi, 'startDrain' | 'inFlight'>;
  readonly http: Pick<HttpServer, 'closeConnectionsAfterAnswers'>;
  readonly router: Pick<RequestRouter, 'inFlight'>;
  readonly ownership: Pick<Ownership, 'drain' | 'releaseAll'>;
  readonly membership: Pick<Membership, 'leave'>;
  /** Time for a planned stop, in milliseconds. */
  readonly drainDeadlineMilliseconds: number;
  /** Ends loops and closes connections, after the daemon has left the membership. */
  readonly closeAll: () => Promise<void>;
}

/**
 * Creates the planned stop of a daemon.
 *
 * @returns function that drains and stops; a second call shortens the deadline and returns the same promise
 */
export function createDaemonStop(options: DaemonStopOptions): () => Promise<StopOutcome> {
  const { clock, lifecycle, callerApi, http, router, ownership, membership } = options;
  let deadline = Infinity;
  let stopping: Promise<StopOutcome> | null = null;

  function remainingMilliseconds(): number {
    return Math.max(0, deadline - clock.monotonicMilliseconds());
  }

  /** Requests that callers sent to this daemon, and requests that it runs for other daemons. */
  function inFlight(): number {
    return callerApi.inFlight() + router.inFlight();
  }

  async function waitForRequests(): Promise<boolean> {
    while (inFlight() > 0 && remainingMilliseconds() > 0) {
      await sleep(clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    return inFlight() === 0;
  }

  /** The last live daemon cannot hand over; it waits until all accepted records are in the store. */
  async function completeHandover(handover: DrainOutcome): Promise<boolean> {
    if (handover !== 'no-successor') return handover === 'handed-over';
    return ownership.releaseAll(remainingMilliseconds);
  }

  /** Stops accepting, hands partitions over, finishes the requests in flight and leaves. */
  async function drain(): Promise<StopOutcome> {
    lifecycle.advance('TERMINATE');
    callerApi.startDrain();
    // The load balancer needs this time to notice that the daemon is no longer ready.
    await sleep(clock, Math.min(DRAIN_GRACE_MILLISECONDS, remainingMilliseconds()));
    http.closeConnectionsAfterAnswers();
    const reservedMilliseconds = options.drainDeadlineMilliseconds * REQUEST_TIME_FRACTION;
    const handover = await ownership.drain(() => remainingMilliseconds() - reservedMilliseconds);
    const isIdle = await waitForRequests();
    const isHandoverComplete = await completeHandover(handover);
    const leaveTimeoutMilliseconds = Math.max(
      MINIMUM_LEAVE_TIMEOUT_MILLISECONDS,
      remainingMilliseconds(),
    );
    await withTimeout(clock, membership.leave(), leaveTimeoutMilliseconds);
    const outcome: StopOutcome = isIdle && isHandoverComplete ? 'drained' : 'deadline';
    // Requests of other daemons may still arrive and are refused. Calls of callers have not been accepted since the
    // grace period.
    assertInvariant(
      outcome !== 'drained' || callerApi.inFlight() === 0,
      'drained-idle',
      () => `a planned stop interrupts ${callerApi.inFlight()} calls of callers`,
    );
    lifecycle.advance(outcome === 'drained' ? 'DRAINED' : 'DEADLINE');
    await options.closeAll();
    return outcome;
  }

  return () => {
    const allowedMilliseconds = stopping
      ? SECOND_STOP_DEADLINE_MILLISECONDS
      : options.drainDeadlineMilliseconds;
    deadline = Math.min(deadline, clock.monotonicMilliseconds() + allowedMilliseconds);
    stopping ??= drain();
    return stopping;
  };
}
