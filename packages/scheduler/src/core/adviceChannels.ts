import type { Clock } from '@chicorybend/common';
import { createMemberHealth } from '@chicorybend/decisions';
import type { MemberHealth } from '@chicorybend/decisions';

import type { AdviceClient } from '../types/advice.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import type { LatencyEstimate } from '../utils/latencyEstimate.js';
import type { AdviceCall } from './adviceCache.js';

/** Delays before a channel is tried again after failed calls. */
const RETRY_DELAYS = { minimumMilliseconds: 100, maximumMilliseconds: 1_000 };
/** Bounds of the time by which a call may take longer than the service has announced before it is overdue. */
const PATIENCE = { minimumMilliseconds: 200, maximumMilliseconds: 1_000 };

/** Channel to the advice service through one VM; the service accepts one call per VM at a time. */
export interface AdviceChannel {
  readonly client: AdviceClient;
  /** `<address>:<port>` of the VM. */
  readonly name: string;
  readonly health: MemberHealth;
  /** By how much calls take longer than the service has announced. */
  readonly excess: LatencyEstimate;
  /** Call that the channel is busy with; null if it is idle. */
  callInFlight: AdviceCall | null;
}

/** The channels of all VMs, in the order in which they were added. */
export interface AdviceChannels {
  add(client: AdviceClient, name: string): AdviceChannel;
  remove(channel: AdviceChannel): void;
  /** @returns channels that no failure makes suspect, busy ones included */
  trusted(): readonly AdviceChannel[];
  /** @returns suspect channels that are idle and may be tried again */
  dueForRetry(): readonly AdviceChannel[];
  count(): number;
  countBusy(): number;
}

/** Creates an empty set of channels. */
export function createAdviceChannels(clock: Clock): AdviceChannels {
  const channels: AdviceChannel[] = [];

  return {
    add(client, name) {
      const channel: AdviceChannel = {
        client,
        name,
        health: createMemberHealth(RETRY_DELAYS),
        excess: createLatencyEstimate(PATIENCE),
        callInFlight: null,
      };
      channels.push(channel);
      return channel;
    },
    remove(channel) {
      const position = channels.indexOf(channel);
      if (position >= 0) channels.splice(position, 1);
    },
    trusted: () => channels.filter(({ health }) => !health.isSuspect()),
    dueForRetry() {
      const now = clock.monotonicMilliseconds();
      return channels.filter(
        ({ callInFlight, health }) =>
          callInFlight === null && health.isSuspect() && health.isRetryDue(now),
      );
    },
    count: () => channels.length,
    countBusy: () => channels.filter(({ callInFlight }) => callInFlight !== null).length,
  };
}
