import { assertInvariant, sleep, withTimeout } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import { DRAIN_GRACE_MILLISECONDS } from './callerApi.js';
import type { CallerApi } from './callerApi.js';
import type { DaemonLifecycle } from './daemonLifecycle.js';
import type { HttpServer } from './httpServer.js';
import type { Membership } from './membership.js';
import type { DrainOutcome, Ownership } from './ownership.js';
import type { RequestRouter } from './requestRouter.js';

/** A second request to stop leaves this much time, in milliseconds. */
const SECOND_STOP_DEADLINE_MILLISECONDS = 2_000;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;
/** Part of the time for a stop that is kept for the requests in flight when the handover takes too long. */
const REQUEST_TIME_FRACTION = 1 / 3;
/** Leaving is tried for at least this long, so that others need not wait for the session to lapse. */
const MINIMUM_LEAVE_TIMEOUT_MILLISECONDS = 1_000;

/** How a planned stop ended. */
export type StopOutcome = 'drained' | 'deadline';

/** What a planned stop needs. */
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
  /** Ends loops and connections once the daemon has left. */
  readonly closeAll: () => Promise<void>;
}

/**
 * Creates the planned stop of a daemon.
 *
 * @param options parts of the daemon
 * @returns function that drains and stops; a second call shortens the deadline
 */
export function createDaemonStop(options: DaemonStopOptions): () => Promise<StopOutcome> {
  const {
    clock,
    lifecycle: lifecycle,
    callerApi: callerApi,
    http,
    router,
    ownership,
    membership,
  } = options;
  let deadline = Infinity;
  let stopping: Promise<StopOutcome> | null = null;

  function remainingMilliseconds(): number {
    return Math.max(0, deadline - clock.monotonicMilliseconds());
  }

  /** Calls of callers here, and requests that run here for callers of other daemons. */
  function inFlight(): number {
    return callerApi.inFlight() + router.inFlight();
  }

  async function waitForRequests(): Promise<boolean> {
    while (inFlight() > 0 && remainingMilliseconds() > 0) {
      await sleep(clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    return inFlight() === 0;
  }

  /** The last daemon has nobody to hand over to; what it has accepted is in the store. */
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
    // Requests of other daemons may still arrive, and are refused; own callers are not taken since the grace.
    assertInvariant(
      outcome !== 'drained' || callerApi.inFlight() === 0,
      'drained-idle',
      () => `a planned stop interrupts ${callerApi.inFlight()} calls`,
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
