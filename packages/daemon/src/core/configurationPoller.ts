import { hashText } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';

import type { MembershipView } from '../types/membershipView.js';

/** Interval at which an elected poller reads the root from the store, in milliseconds. */
export const POLL_INTERVAL_MILLISECONDS = 1_000;
/** Interval of the checks whether a poll is due, in milliseconds; half of the heartbeat interval. */
export const TICK_INTERVAL_MILLISECONDS = 250;
/** In cells with more live members than this, only `POLLER_COUNT` of them poll. */
const MAXIMUM_DAEMONS_ALL_POLLING = 6;
const POLLER_COUNT = 3;
/**
 * A daemon that is no elected poller polls as well when the newest confirmation that it knows is older than this, in
 * milliseconds: the pollers may be down or cut off from the store.
 */
const FALLBACK_POLL_AGE_MILLISECONDS = 1_800;

export interface ConfigurationPollerOptions {
  readonly clock: Clock;
  readonly membership: Pick<MembershipView, 'selfId' | 'liveMembers'>;
  /** @returns whether a newer revision than the one in effect is known to exist */
  isBehind(): boolean;
  /** @returns monotonic time of the newest confirmation by this daemon or a peer */
  confirmedAt(): number;
  /** Called every `TICK_INTERVAL_MILLISECONDS`, also on daemons that do not poll. */
  onTick(): void;
  /** Reads the root from the store. */
  refresh(): Promise<void>;
}

/** Reads the root of the configuration at a regular interval. */
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
 * Creates the poller. In a cell with many daemons three of them are elected by a hash of their ids, and the others
 * learn of new revisions from their heartbeats, which limits the number of store reads.
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
