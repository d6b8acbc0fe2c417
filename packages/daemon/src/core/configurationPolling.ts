import { hashText } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import type { MembershipView } from '../types/membershipView.js';

/** Interval at which a poller reads the root, in milliseconds. */
export const POLL_INTERVAL_MILLISECONDS = 1_000;
/** Interval at which reports of peers are looked at, in milliseconds; half a heartbeat. */
export const TICK_MILLISECONDS = 250;
/** Up to this many daemons all poll. */
const ALL_POLL_UP_TO = 6;
const POLLERS = 3;
/** A daemon that is no poller polls when its newest confirmation is older, in milliseconds: the pollers may be gone. */
const POLL_ANYWAY_AFTER_MILLISECONDS = 1_800;

/** What polling needs to know. */
export interface PollingOptions {
  readonly clock: Clock;
  readonly membership: Pick<MembershipView, 'selfId' | 'liveMembers'>;
  /** @returns whether a newer revision than the one in effect was heard of */
  isBehind(): boolean;
  /** @returns monotonic time of the newest confirmation, own or of a peer */
  confirmedAt(): number;
  /** Called at each look at the reports, also on daemons that do not poll. */
  onTick(): void;
  /** Reads the root. */
  refresh(): Promise<void>;
}

/** Regular reading of the root. */
export interface Polling {
  start(): void;
  stop(): void;
}

function isPoller(membership: PollingOptions['membership']): boolean {
  const ids = membership.liveMembers().map((member) => member.daemonId);
  if (ids.length <= ALL_POLL_UP_TO) return true;
  const scored = ids.map((id) => ({ id, score: hashText(`${id}/configuration-poll`) }));
  const pollers = scored.sort((left, right) => right.score - left.score).slice(0, POLLERS);
  return pollers.some((poller) => poller.id === membership.selfId);
}

/**
 * Creates the regular reading of the root. With many daemons, three of them poll and the others learn from their
 * heartbeats.
 *
 * @param options clock, membership and state of the configuration
 * @returns the polling
 */
export function createPolling(options: PollingOptions): Polling {
  const { clock, membership } = options;
  let cancel: (() => void) | null = null;
  let polledAt = -Infinity;
  let isRefreshing = false;

  function isDue(): boolean {
    if (isRefreshing) return false;
    if (options.isBehind()) return true;
    const now = clock.monotonicMilliseconds();
    if (now - polledAt < POLL_INTERVAL_MILLISECONDS) return false;
    return isPoller(membership) || now - options.confirmedAt() > POLL_ANYWAY_AFTER_MILLISECONDS;
  }

  async function poll(): Promise<void> {
    isRefreshing = true;
    polledAt = clock.monotonicMilliseconds();
    try {
      await options.refresh();
    } finally {
      isRefreshing = false;
    }
  }

  function tick(): void {
    cancel = clock.setTimer(tick, TICK_MILLISECONDS);
    options.onTick();
    if (isDue()) poll();
  }

  return {
    start() {
      if (!cancel) cancel = clock.setTimer(tick, TICK_MILLISECONDS);
    },
    stop() {
      cancel?.();
      cancel = null;
    },
  };
}
