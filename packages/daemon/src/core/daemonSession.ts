import { sleep } from '@chicorybend/common';
import type { Clock, Counters, Log, StoreClient } from '@chicorybend/common';

import type { Authority } from './authority.js';
import { SESSION_TTL_MILLISECONDS } from './authority.js';

/** Prefix of the sessions' keys. */
export const SESSION_PREFIX = 'sessions/';
const RENEW_INTERVAL_MILLISECONDS = 600;
const STORE_CALL_DEADLINE_MILLISECONDS = 1_000;
/** Failures for this long count as an outage of the store, in milliseconds. */
const OUTAGE_THRESHOLD_MILLISECONDS = 1_500;
/** After an outage of the store no takeover happens for this long, in milliseconds. */
export const STORE_RECOVERY_GRACE_MILLISECONDS = 6_000;
const MAXIMUM_RECOVERY_JITTER_MILLISECONDS = 1_000;

/**
 * @param daemonId identity of a daemon
 * @param incarnation identity of its process
 * @returns key of the session
 */
export function sessionKey(daemonId: string, incarnation: string): string {
  return `${SESSION_PREFIX}${daemonId}/${incarnation}`;
}

/** What a session needs. */
export interface DaemonSessionOptions {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly store: StoreClient;
  readonly authority: Authority;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly random: () => number;
}

/** The daemon's session at the store. */
export interface DaemonSession {
  /** Opens the session and keeps it renewed. Resolves after the first attempt. */
  start(): Promise<void>;
  /** Stops renewing and lets the session lapse. */
  stop(): void;
  /** Ends the session, so that others need not wait for it to lapse. */
  release(): Promise<void>;
  /** @returns whether the store answers, and has done so long enough for live daemons to renew */
  isStoreStable(): boolean;
}

/**
 * Creates the daemon's session: a key under a store lease whose absence is one of the conditions for a takeover.
 *
 * @param options identity and collaborators
 * @returns the session
 */
export function createDaemonSession(options: DaemonSessionOptions): DaemonSession {
  const { store, authority, clock, counters, log } = options;
  const key = sessionKey(options.daemonId, options.incarnation);
  let leaseId: string | null = null;
  let isStopped = false;
  let lastAnswerAt = -Infinity;
  let outageEndedAt = -Infinity;
  let isInOutage = false;

  async function recordAnswer(): Promise<void> {
    lastAnswerAt = clock.monotonicMilliseconds();
    if (!isInOutage) return;
    isInOutage = false;
    outageEndedAt = lastAnswerAt;
    log.info('store is back');
    // Daemons that noticed together must not call together.
    await sleep(clock, options.random() * MAXIMUM_RECOVERY_JITTER_MILLISECONDS);
  }

  function recordFailure(): void {
    counters.increment('session.renewals.failed');
    const unansweredMilliseconds = clock.monotonicMilliseconds() - lastAnswerAt;
    if (isInOutage || unansweredMilliseconds < OUTAGE_THRESHOLD_MILLISECONDS) return;
    isInOutage = true;
    log.warn('store does not answer');
  }

  async function openSession(): Promise<void> {
    const granted = await store.grantLease(SESSION_TTL_MILLISECONDS, {
      deadlineMilliseconds: STORE_CALL_DEADLINE_MILLISECONDS,
    });
    if (granted.isErr()) {
      recordFailure();
      return;
    }
    const existing = await store.get(key, {
      deadlineMilliseconds: STORE_CALL_DEADLINE_MILLISECONDS,
    });
    if (existing.isErr()) return;
    const sentAt = clock.monotonicMilliseconds();
    const written = await store.put(
      {
        key,
        data: { daemonId: options.daemonId },
        expectedVersion: existing.value?.version ?? 0,
        leaseId: granted.value,
      },
      { deadlineMilliseconds: STORE_CALL_DEADLINE_MILLISECONDS },
    );
    if (written.isErr() || written.value.kind === 'conflict') return;
    // The lease runs from its grant, so the deadline counts from a renewal that follows the write.
    leaseId = granted.value;
    await recordAnswer();
    await renewSession(sentAt);
  }

  async function renewSession(openedAt?: number): Promise<void> {
    if (leaseId === null) {
      await openSession();
      return;
    }
    const sentAt = clock.monotonicMilliseconds();
    const renewed = await store.renewLease(leaseId, {
      deadlineMilliseconds: STORE_CALL_DEADLINE_MILLISECONDS,
    });
    if (renewed.isErr()) {
      recordFailure();
      return;
    }
    if (!renewed.value) {
      leaseId = null;
      log.warn('session lapsed');
      if (openedAt === undefined) await openSession();
      return;
    }
    authority.recordSessionRenewal(sentAt);
    await recordAnswer();
  }

  async function renewPeriodically(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, RENEW_INTERVAL_MILLISECONDS);
      if (!isStopped) await renewSession();
    }
  }

  return {
    async start() {
      await openSession();
      void renewPeriodically();
    },
    stop() {
      isStopped = true;
    },
    async release() {
      isStopped = true;
      if (leaseId !== null) await store.revokeLease(leaseId);
    },
    isStoreStable() {
      const now = clock.monotonicMilliseconds();
      const isAnswering =
        now - lastAnswerAt < OUTAGE_THRESHOLD_MILLISECONDS + RENEW_INTERVAL_MILLISECONDS;
      return isAnswering && !isInOutage && now - outageEndedAt >= STORE_RECOVERY_GRACE_MILLISECONDS;
    },
  };
}
