/**
 * What heartbeats tell about owned partitions. A peer gets an entry only once, and again after a change, because at
 * 64 daemons whole lists to every member twice a second would be most of the traffic for control.
 */
import type { Clock } from '@chicorybend/common';

import type { PartitionLoad } from '../types/partition.js';
import type { HeartbeatLoads } from '../types/peerMethods.js';

/** A change that reaches a peer out of order over two connections is repaired after this time, in milliseconds. */
export const FULL_RESEND_INTERVAL_MILLISECONDS = 10_000;

/** Loads on their way to one peer. */
export interface LoadDelta {
  /** Entries that the peer does not have, or undefined if it has all. */
  readonly loads: HeartbeatLoads | undefined;
  /**
   * Records that the peer has received the heartbeat.
   *
   * @param incarnation identity of the process that answered
   */
  acknowledge(incarnation: string): void;
}

/** Loads of the own partitions and what each peer has of them. */
export interface HeartbeatLoadDeltas {
  /**
   * @param daemonId identity of the peer
   * @param currentLoads owned partitions and their loads as they are now
   * @returns what the next heartbeat to the peer has to carry
   */
  prepare(daemonId: string, currentLoads: HeartbeatLoads): LoadDelta;
}

interface PeerState {
  readonly incarnation: string;
  readonly fullySentAt: number;
  owned: string;
  readonly loads: Map<number, string>;
}

function serializeLoads(loads: readonly PartitionLoad[]): ReadonlyMap<number, string> {
  return new Map(loads.map((load) => [load.partition, JSON.stringify(load)]));
}

/**
 * Creates the record of what peers have received.
 *
 * @param clock source of time
 * @returns the record, in which no peer has anything
 */
export function createHeartbeatLoadDeltas(clock: Clock): HeartbeatLoadDeltas {
  const peers = new Map<string, PeerState>();
  let lastLoads: readonly PartitionLoad[] = [];
  let lastSerialized: ReadonlyMap<number, string> = new Map();

  /** One round of heartbeats tells all peers of the same loads. */
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
    const age = clock.monotonicMilliseconds() - state.fullySentAt;
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
      : { incarnation, fullySentAt: clock.monotonicMilliseconds(), owned, loads: new Map() };
    state.owned = owned;
    serializedLoads.forEach((serializedLoad, partition) =>
      state.loads.set(partition, serializedLoad),
    );
    peers.set(daemonId, state);
  }

  return {
    prepare(daemonId, current) {
      const freshState = findFreshState(daemonId);
      const owned = JSON.stringify(current.owned);
      const serialized = serializeCached(current.loads);
      const hasChanged = ({ partition }: PartitionLoad) =>
        freshState?.loads.get(partition) !== serialized.get(partition);
      const changed = current.loads.filter(hasChanged);
      const hasChanges = changed.length > 0 || freshState?.owned !== owned;
      return {
        loads: hasChanges ? { owned: current.owned, loads: changed } : undefined,
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
