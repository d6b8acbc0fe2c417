import {
  createLocalCounters,
  createSilentLog,
  createStoreClient,
  createSystemClock,
  Ok,
} from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import type { StoreStandIn } from '@chicorybend/standins';

import type { Membership } from '../core/membership.js';
import { createOwnership } from '../core/ownership.js';
import type { Ownership } from '../core/ownership.js';
import type { PartitionLease, PartitionService } from '../types/partition.js';
import { createStubNetwork } from './interactiveStubs.js';
import type { Teardown } from './interactiveStubs.js';

const SELF = 'entry-1';

/** One daemon's ownership over a membership that the test controls. */
export interface StubbedOwnership {
  readonly ownership: Ownership;
  readonly store: StoreStandIn;
  /** Leases in the order in which the partitions were opened. */
  readonly leases: readonly PartitionLease[];
  /** Counts lapses of the authority, as the membership reports them. */
  generation: number;
}

function createStubMembership(state: { readonly generation: number }): Membership {
  const self = {
    daemonId: SELF,
    incarnation: 'first',
    peerAddress: '127.0.0.1:1',
    apiAddress: 'http://127.0.0.1:1',
    dataCentre: 'a',
  };
  return {
    selfId: SELF,
    record: () => ({ version: 1, members: [self] }),
    liveMembers: () => [self],
    peerStatuses: () => [],
    isInContactWithMajority: () => true,
    mayAct: () => true,
    authorityGeneration: () => state.generation,
    reportedOwners: () => new Map(),
    hasLostAuthority: () => Promise.resolve(false),
    loads: () => new Map(),
    start: () => Promise.resolve(),
    leave: () => Promise.resolve(),
    stop: () => {},
  };
}

/**
 * Starts the ownership of the only daemon of a cell, on a store stand-in.
 *
 * @param t test that closes everything at its end
 * @param partitionCount number of partitions
 * @param service what each partition opens, apart from a recorder of leases
 * @returns the running ownership
 */
export async function startStubbedOwnership(
  t: Teardown,
  partitionCount: number,
  service: Partial<PartitionService> = {},
): Promise<StubbedOwnership> {
  const store = await startStoreStandIn();
  const clock = createSystemClock();
  const client = createStoreClient({ address: store.address, clock });
  const leases: PartitionLease[] = [];
  const recorder: PartitionService = {
    name: 'recorder',
    async open({ lease }) {
      leases.push(lease);
      return Ok(undefined);
    },
    release: () => Promise.resolve(null),
    close: () => {},
    snapshot: () => [],
    ...service,
  };
  const state = { generation: 1 };
  const ownership = createOwnership({
    selfId: SELF,
    incarnation: 'first',
    partitionCount,
    storeWritesPerSecond: 300,
    membership: createStubMembership(state),
    link: createStubNetwork().linkOf(SELF),
    store: client,
    clock,
    counters: createLocalCounters(),
    log: createSilentLog(),
    random: Math.random,
    services: () => [recorder],
  });
  ownership.start();
  t.teardown(async () => {
    ownership.stop();
    await client.close();
    await store.close();
  });
  return Object.assign(state, { ownership, store, leases });
}
