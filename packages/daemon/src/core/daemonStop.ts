import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import { DRAIN_GRACE_MILLISECONDS } from './callerApi.js';
import type { CallerApi } from './callerApi.js';
import type { DaemonLife } from './daemonLife.js';
import type { HttpServer } from './httpServer.js';
import type { Membership } from './membership.js';
import type { Ownership } from './ownership.js';
import type { RequestRouter } from './requestRouter.js';

/** A second request to stop leaves this much time, in milliseconds. */
const SECOND_STOP_MILLISECONDS = 2_000;
const DRAIN_PAUSE_MILLISECONDS = 20;

/** How a planned stop ended. */
export type StopOutcome = 'drained' | 'deadline';

/** What a planned stop needs. */
export interface DaemonStopOptions {
  readonly clock: Clock;
  readonly life: DaemonLife;
  readonly callers: Pick<CallerApi, 'startDrain' | 'inFlight'>;
  readonly http: Pick<HttpServer, 'closeConnectionsAfterAnswers'>;
  readonly router: Pick<RequestRouter, 'inFlight'>;
  readonly ownership: Pick<Ownership, 'drain'>;
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

  /** Stops accepting, hands partitions over, finishes the requests in flight and leaves. */
  async function drain(): Promise<StopOutcome> {
    life.advance('TERMINATE');
    callers.startDrain();
    // The load balancer needs this time to notice that the daemon is no longer ready.
    await sleep(clock, Math.min(DRAIN_GRACE_MILLISECONDS, remainingMilliseconds()));
    http.closeConnectionsAfterAnswers();
    const isHandedOver = await ownership.drain(remainingMilliseconds());
    const isIdle = await waitForRequests();
    await membership.leave();
    const outcome: StopOutcome = isIdle && isHandedOver ? 'drained' : 'deadline';
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
