import {
  createLocalCounters,
  createSilentLog,
  createStoreClient,
  createSystemClock,
  Ok,
} from '@chicorybend/common';
import type { StoreClient } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import type { StoreStandIn } from '@chicorybend/standins';

import type { Membership } from '../core/membership.js';
import { createOwnership } from '../core/ownership.js';
import type { Ownership } from '../core/ownership.js';
import type { PartitionLease, PartitionService } from '../types/partition.js';
import { createStubNetwork } from './interactiveStubs.js';
import type { Teardown } from './interactiveStubs.js';

const SELF = 'entry-1';

/** Ownership of one daemon, with a stubbed membership that the test controls. */
export interface StubbedOwnership {
  readonly ownership: Ownership;
  readonly store: StoreStandIn;
  /** Leases in the order in which the partitions were opened. */
  readonly leases: readonly PartitionLease[];
  /** @returns largest number of list calls to the store that were open at the same time */
  mostOpenListings(): number;
  /** Generation of the authority that the membership reports; the test increments it to simulate a lapse. */
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
    isAnswering: () => true,
    reportedOwners: () => new Map(),
    hasLostAuthority: () => Promise.resolve(false),
    loads: () => new Map(),
    start: () => Promise.resolve(),
    leave: () => Promise.resolve(),
    stop: () => {},
  };
}

/** Counts the open list calls of a store client. */
function countListings(client: StoreClient): { store: StoreClient; most: () => number } {
  let open = 0;
  let most = 0;
  const store: StoreClient = {
    ...client,
    async list<Data>(...call: Parameters<StoreClient['list']>) {
      open += 1;
      most = Math.max(most, open);
      const listed = await client.list<Data>(...call);
      open -= 1;
      return listed;
    },
  };
  return { store, most: () => most };
}

/**
 * Starts the ownership of the only daemon of a cell, on a store stand-in.
 *
 * @param t test at whose end ownership and store are closed
 * @param partitionCount number of partitions
 * @param service methods that replace those of the service that records leases
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
  const listings = countListings(client);
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
    store: listings.store,
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
  return Object.assign(state, { ownership, store, leases, mostOpenListings: listings.most });
}
