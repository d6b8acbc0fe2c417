/**
 * What heartbeats tell about owned partitions. A peer gets an entry only once, and again after a change, because at
 * 64 daemons whole lists to every member twice a second would be most of the traffic for control.
 */
import type { Clock } from '@chicorybend/common';

import type { PartitionLoad } from '../types/partition.js';
import type { HeartbeatLoads } from '../types/peerMethods.js';

/** A change that reaches a peer out of order over two connections is repaired after this time, in milliseconds. */
export const LOADS_REFRESH_MILLISECONDS = 10_000;

/** Loads on their way to one peer. */
export interface PendingLoads {
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
export interface LoadsForPeers {
  /**
   * @param daemonId identity of the peer
   * @param current owned partitions and their loads as they are now
   * @returns what the next heartbeat to the peer has to carry
   */
  prepare(daemonId: string, current: HeartbeatLoads): PendingLoads;
}

interface PeerState {
  readonly incarnation: string;
  readonly sentAt: number;
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
export function createLoadsForPeers(clock: Clock): LoadsForPeers {
  const peers = new Map<string, PeerState>();
  let lastLoads: readonly PartitionLoad[] = [];
  let lastSerialized: ReadonlyMap<number, string> = new Map();

  /** One round of heartbeats tells all peers of the same loads. */
  function serializeOnce(loads: readonly PartitionLoad[]): ReadonlyMap<number, string> {
    if (loads !== lastLoads) {
      lastLoads = loads;
      lastSerialized = serializeLoads(loads);
    }
    return lastSerialized;
  }

  function findCurrent(daemonId: string): PeerState | undefined {
    const state = peers.get(daemonId);
    if (!state) return undefined;
    const age = clock.monotonicMilliseconds() - state.sentAt;
    return age < LOADS_REFRESH_MILLISECONDS ? state : undefined;
  }

  function acknowledge(
    daemonId: string,
    incarnation: string,
    owned: string,
    sent: ReadonlyMap<number, string>,
  ): void {
    const former = findCurrent(daemonId);
    const isSameProcess = former?.incarnation === incarnation;
    const state = isSameProcess
      ? former
      : { incarnation, sentAt: clock.monotonicMilliseconds(), owned, loads: new Map() };
    state.owned = owned;
    sent.forEach((text, partition) => state.loads.set(partition, text));
    peers.set(daemonId, state);
  }

  return {
    prepare(daemonId, current) {
      const known = findCurrent(daemonId);
      const owned = JSON.stringify(current.owned);
      const serialized = serializeOnce(current.loads);
      const isChanged = ({ partition }: PartitionLoad) =>
        known?.loads.get(partition) !== serialized.get(partition);
      const changed = current.loads.filter(isChanged);
      const hasNews = changed.length > 0 || known?.owned !== owned;
      return {
        loads: hasNews ? { owned: current.owned, loads: changed } : undefined,
        acknowledge(incarnation) {
          const sent = changed.map(({ partition }): [number, string] => [
            partition,
            serialized.get(partition) ?? '',
          ]);
          if (hasNews) acknowledge(daemonId, incarnation, owned, new Map(sent));
          else if (known && known.incarnation !== incarnation) peers.delete(daemonId);
        },
      };
    },
  };
}
