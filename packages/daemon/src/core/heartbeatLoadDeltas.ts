/**
 * Computes which partition loads the next heartbeat to a peer carries. A load is sent only if it has changed since
 * the peer acknowledged it: with 64 daemons, full lists to every member twice a second would be most of the control
 * traffic.
 */
import type { Clock } from '@chicorybend/common';

import type { PartitionLoad } from '../types/partition.js';
import type { HeartbeatLoads } from '../types/peerMethods.js';

/** Loads are sent in full again after this time, because two connections can deliver changes out of order. */
export const FULL_RESEND_INTERVAL_MILLISECONDS = 10_000;

/** Loads to send to one peer with a heartbeat. */
export interface LoadDelta {
  /** Loads that the peer has not acknowledged, or undefined if the heartbeat needs none. */
  readonly loads: HeartbeatLoads | undefined;
  /**
   * Records that the peer has answered the heartbeat.
   *
   * @param incarnation identity of the peer's process; a restarted peer is sent everything again
   */
  acknowledge(incarnation: string): void;
}

/** Tracks the loads that each peer has acknowledged. */
export interface HeartbeatLoadDeltas {
  /**
   * @param daemonId identity of the peer
   * @param currentLoads owned partitions and their loads as they are now
   * @returns loads for the next heartbeat to the peer
   */
  prepare(daemonId: string, currentLoads: HeartbeatLoads): LoadDelta;
}

interface PeerState {
  readonly incarnation: string;
  /** Monotonic time since which this state is kept, in milliseconds; it is discarded after the resend interval. */
  readonly trackedSince: number;
  /** Acknowledged `owned` list, as JSON. */
  owned: string;
  /** Acknowledged loads, as JSON by partition. */
  readonly loads: Map<number, string>;
}

function serializeLoads(loads: readonly PartitionLoad[]): ReadonlyMap<number, string> {
  return new Map(loads.map((load) => [load.partition, JSON.stringify(load)]));
}

/**
 * Creates a tracker in which no peer has acknowledged anything.
 *
 * @param clock source of monotonic time
 * @returns the tracker
 */
export function createHeartbeatLoadDeltas(clock: Clock): HeartbeatLoadDeltas {
  const peers = new Map<string, PeerState>();
  let lastLoads: readonly PartitionLoad[] = [];
  let lastSerialized: ReadonlyMap<number, string> = new Map();

  /** All heartbeats of one round carry the same loads, so they are serialised once. */
  function serializeCached(loads: readonly PartitionLoad[]): ReadonlyMap<number, string> {
    if (loads !== lastLoads) {
      lastLoads = loads;
      lastSerialized = serializeLoads(loads);
    }
    return lastSerialized;
  }

  function findFreshState(daemonId: string): PeerState | undefined {
    const state = peers.get(daemonId);
    if (!state) return undefined;
    const age = clock.monotonicMilliseconds() - state.trackedSince;
    return age < FULL_RESEND_INTERVAL_MILLISECONDS ? state : undefined;
  }

  function acknowledge(
    daemonId: string,
    incarnation: string,
    owned: string,
    serializedLoads: ReadonlyMap<number, string>,
  ): void {
    const freshState = findFreshState(daemonId);
    const isSameProcess = freshState?.incarnation === incarnation;
    const state = isSameProcess
      ? freshState
      : { incarnation, trackedSince: clock.monotonicMilliseconds(), owned, loads: new Map() };
    state.owned = owned;
    serializedLoads.forEach((serializedLoad, partition) =>
      state.loads.set(partition, serializedLoad),
    );
    peers.set(daemonId, state);
  }

  return {
    prepare(daemonId, currentLoads) {
      const freshState = findFreshState(daemonId);
      const owned = JSON.stringify(currentLoads.owned);
      const serialized = serializeCached(currentLoads.loads);
      const hasChanged = ({ partition }: PartitionLoad) =>
        freshState?.loads.get(partition) !== serialized.get(partition);
      const changed = currentLoads.loads.filter(hasChanged);
      const hasChanges = changed.length > 0 || freshState?.owned !== owned;
      return {
        loads: hasChanges ? { owned: currentLoads.owned, loads: changed } : undefined,
        acknowledge(incarnation) {
          const sent = changed.map(({ partition }): [number, string] => [
            partition,
            serialized.get(partition) ?? '',
          ]);
          if (hasChanges) acknowledge(daemonId, incarnation, owned, new Map(sent));
          else if (freshState && freshState.incarnation !== incarnation) peers.delete(daemonId);
        },
      };
    },
  };
}
