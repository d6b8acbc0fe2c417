import { assertInvariant, sleep, withTimeout } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import { DRAIN_GRACE_MILLISECONDS } from './callerApi.js';
import type { CallerApi } from './callerApi.js';
import type { DaemonLife } from './daemonLife.js';
import type { HttpServer } from './httpServer.js';
import type { Membership } from './membership.js';
import type { DrainOutcome, Ownership } from './ownership.js';
import type { RequestRouter } from './requestRouter.js';

/** A second request to stop leaves this much time, in milliseconds. */
const SECOND_STOP_MILLISECONDS = 2_000;
const DRAIN_PAUSE_MILLISECONDS = 20;
/** Part of the time for a stop that is kept for the requests in flight when the handover takes too long. */
const REQUESTS_PART = 1 / 3;
/** Leaving is tried for at least this long, so that others need not wait for the session to lapse. */
const SHORTEST_LEAVE_MILLISECONDS = 1_000;

/** How a planned stop ended. */
export type StopOutcome = 'drained' | 'deadline';

/** What a planned stop needs. */
export interface DaemonStopOptions {
  readonly clock: Clock;
  readonly life: DaemonLife;
  readonly callers: Pick<CallerApi, 'startDrain' | 'inFlight'>;
  readonly http: Pick<HttpServer, 'closeConnectionsAfterAnswers'>;
  readonly router: Pick<RequestRouter, 'inFlight'>;
  readonly ownership: Pick<Ownership, 'drain' | 'finish'>;
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
  const { clock, life, callers, http, router, ownership, membership } = options;
  let deadline = Infinity;
  let stopping: Promise<StopOutcome> | null = null;

  function remainingMilliseconds(): number {
    return Math.max(0, deadline - clock.monotonicMilliseconds());
  }

  /** Calls of callers here, and requests that run here for callers of other daemons. */
  function inFlight(): number {
    return callers.inFlight() + router.inFlight();
  }

  async function waitForRequests(): Promise<boolean> {
    while (inFlight() > 0 && remainingMilliseconds() > 0) {
      await sleep(clock, DRAIN_PAUSE_MILLISECONDS);
    }
    return inFlight() === 0;
  }

  /** The last daemon has nobody to hand over to; what it has accepted is in the store. */
  async function settle(handover: DrainOutcome): Promise<boolean> {
    if (handover !== 'no-successor') return handover === 'handed-over';
    return ownership.finish(remainingMilliseconds);
  }

  /** Stops accepting, hands partitions over, finishes the requests in flight and leaves. */
  async function drain(): Promise<StopOutcome> {
    life.advance('TERMINATE');
    callers.startDrain();
    // The load balancer needs this time to notice that the daemon is no longer ready.
    await sleep(clock, Math.min(DRAIN_GRACE_MILLISECONDS, remainingMilliseconds()));
    http.closeConnectionsAfterAnswers();
    const kept = options.drainDeadlineMilliseconds * REQUESTS_PART;
    const handover = await ownership.drain(() => remainingMilliseconds() - kept);
    const isIdle = await waitForRequests();
    const isSettled = await settle(handover);
    const leaveLimit = Math.max(SHORTEST_LEAVE_MILLISECONDS, remainingMilliseconds());
    await withTimeout(clock, membership.leave(), leaveLimit);
    const outcome: StopOutcome = isIdle && isSettled ? 'drained' : 'deadline';
    // Requests of other daemons may still arrive, and are refused; own callers are not taken since the grace.
    assertInvariant(
      outcome !== 'drained' || callers.inFlight() === 0,
      'drained-idle',
      () => `a planned stop interrupts ${callers.inFlight()} calls`,
    );
    life.advance(outcome === 'drained' ? 'DRAINED' : 'DEADLINE');
    await options.closeAll();
    return outcome;
  }

  return () => {
    const allowed = stopping ? SECOND_STOP_MILLISECONDS : options.drainDeadlineMilliseconds;
    deadline = Math.min(deadline, clock.monotonicMilliseconds() + allowed);
    stopping ??= drain();
    return stopping;
  };
}
