import { hashText } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import type { MembershipView } from '../types/membershipView.js';

/** Interval at which a poller reads the root, in milliseconds. */
export const POLL_INTERVAL_MILLISECONDS = 1_000;
/** Interval at which reports of peers are looked at, in milliseconds; half a heartbeat. */
export const TICK_INTERVAL_MILLISECONDS = 250;
/** Up to this many daemons all poll. */
const MAXIMUM_DAEMONS_ALL_POLLING = 6;
const POLLER_COUNT = 3;
/** A daemon that is no poller polls when its newest confirmation is older, in milliseconds: the pollers may be gone. */
const FALLBACK_POLL_AGE_MILLISECONDS = 1_800;

/** What polling needs to know. */
export interface ConfigurationPollerOptions {
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
export interface ConfigurationPoller {
  start(): void;
  stop(): void;
}

function isElectedPoller(membership: ConfigurationPollerOptions['membership']): boolean {
  const ids = membership.liveMembers().map((member) => member.daemonId);
  if (ids.length <= MAXIMUM_DAEMONS_ALL_POLLING) return true;
  const scored = ids.map((id) => ({ id, score: hashText(`${id}/configuration-poll`) }));
  const pollers = scored.sort((left, right) => right.score - left.score).slice(0, POLLER_COUNT);
  return pollers.some((poller) => poller.id === membership.selfId);
}

/**
 * Creates the regular reading of the root. With many daemons, three of them poll and the others learn from their
 * heartbeats.
 *
 * @param options clock, membership and state of the configuration
 * @returns the polling
 */
export function createConfigurationPoller(
  options: ConfigurationPollerOptions,
): ConfigurationPoller {
  const { clock, membership } = options;
  let cancelTimer: (() => void) | null = null;
  let lastPollAt = -Infinity;
  let isRefreshing = false;

  function isPollDue(): boolean {
    if (isRefreshing) return false;
    if (options.isBehind()) return true;
    const now = clock.monotonicMilliseconds();
    if (now - lastPollAt < POLL_INTERVAL_MILLISECONDS) return false;
    return (
      isElectedPoller(membership) || now - options.confirmedAt() > FALLBACK_POLL_AGE_MILLISECONDS
    );
  }

  async function poll(): Promise<void> {
    isRefreshing = true;
    lastPollAt = clock.monotonicMilliseconds();
    try {
      await options.refresh();
    } finally {
      isRefreshing = false;
    }
  }

  function tick(): void {
    cancelTimer = clock.setTimer(tick, TICK_INTERVAL_MILLISECONDS);
    options.onTick();
    if (isPollDue()) poll();
  }

  return {
    start() {
      if (!cancelTimer) cancelTimer = clock.setTimer(tick, TICK_INTERVAL_MILLISECONDS);
    },
    stop() {
      cancelTimer?.();
      cancelTimer = null;
    },
  };
}
