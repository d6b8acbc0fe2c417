import { randomUUID } from 'node:crypto';

import {
  createFailure,
  createLocalCounters,
  createManualClock,
  createSilentLog,
  Err,
  Ok,
  sha256,
} from '@chicorybend/common';
import type {
  Failure,
  LocalCounters,
  ManualClock,
  PutOutcome,
  Result,
  StoreClient,
  StoreEntry,
  StoreError,
  StoreWireEntry,
} from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';
import type { StoreStandIn } from '@chicorybend/standins';
import type { ExecutionContext } from 'ava';

import { createConfigurationService } from '../core/configurationService.js';
import type { ConfigurationService } from '../core/configurationService.js';
import type { OperatorIdentity, SectionEdits } from '../types/configurationRecords.js';
import type { MembershipView, PeerStatus } from '../types/membershipView.js';
import type { PeerHandler, PeerLink, PeerMethod } from '../types/peer.js';

const TICK_MILLISECONDS = 250;
const HEARTBEAT_MILLISECONDS = 500;
const CONTACT_MILLISECONDS = 2_500;
const MAXIMUM_STEPS = 1_000;

/** Connection of one daemon to the store, with faults that tests inject. */
export interface StubStoreConnection {
  isDisconnected: boolean;
  /** Number of reads of single keys. */
  readCount: number;
  /** Called before each write; may throw to stop the daemon at this point permanently. */
  beforePut: (key: string) => void;
  /** The next write of `key` gets no answer; `isApplied` tells whether the write takes effect. */
  lostResponse: { key: string; isApplied: boolean; disconnectsAfterwards?: boolean } | null;
}

/** A daemon of the test cell: the configuration service with stubs of its dependencies. */
export interface TestDaemon {
  readonly id: string;
  readonly service: ConfigurationService;
  readonly storeConnection: StubStoreConnection;
  readonly counters: LocalCounters;
  readonly link: PeerLink;
  readonly membership: MembershipView;
  /** Cuts the connection to the store. */
  disconnectStore(): void;
}

/** Daemons with a manual clock, a peer link that can be cut between pairs, and the content of the store stand-in. */
export interface TestCell {
  readonly clock: ManualClock;
  readonly store: StoreStandIn;
  daemon(id: string): TestDaemon;
  /** Creates a daemon; one that exists is replaced, as after a restart. */
  createDaemon(id: string, storeClient?: StoreClient): TestDaemon;
  /** Removes a daemon: it gets no heartbeats and answers no calls. */
  removeDaemon(id: string): void;
  disconnect(left: string, right: string): void;
  reconnect(left: string, right: string): void;
  /** Advances the clock; heartbeats and polls run meanwhile. */
  advance(milliseconds: number): Promise<void>;
  /** Advances the clock until a promise is settled. */
  advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value>;
}

/** Runs all pending callbacks that do not wait for a timer of the manual clock. */
export function flush(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

const DISCONNECTED_ERROR: StoreError = { kind: 'unavailable', message: 'cut off' };

function decode<Data>(entry: StoreWireEntry): StoreEntry<Data> {
  const { data } = JSON.parse(entry.value) as { data: Data };
  return { key: entry.key, version: entry.version, data };
}

/** Store client that accesses the stand-in's content without I/O, so that only the manual clock passes time. */
function createDirectStoreClient(
  store: StoreStandIn,
  storeConnection: StubStoreConnection,
): StoreClient {
  const { state } = store;
  const path = storeConnection;
  const unused = async () => Err(DISCONNECTED_ERROR);
  function write(key: string, data: unknown, expectedVersion: number): PutOutcome {
    const value = JSON.stringify({ writeId: randomUUID(), data });
    const outcome = state.put(key, value, expectedVersion);
    if (outcome.written) return { kind: 'written', version: outcome.version };
    const current = outcome.current ? decode(outcome.current) : null;
    return { kind: 'conflict', current, isDefinite: true };
  }
  return {
    calls: { reads: 0, writes: 0 },
    async get<Data>(key: string): Promise<Result<StoreEntry<Data> | null, StoreError>> {
      path.readCount += 1;
      if (path.isDisconnected) return Err(DISCONNECTED_ERROR);
      const entry = state.get(key);
      return Ok(entry ? decode<Data>(entry) : null);
    },
    async put({ key, data, expectedVersion }): Promise<Result<PutOutcome, StoreError>> {
      path.beforePut(key);
      if (path.isDisconnected) return Err(DISCONNECTED_ERROR);
      const lost = path.lostResponse;
      if (lost?.key !== key) return Ok(write(key, data, expectedVersion));
      path.lostResponse = null;
      if (lost.isApplied) write(key, data, expectedVersion);
      path.isDisconnected = lost.disconnectsAfterwards ?? false;
      return Err({ kind: 'unresolved', message: 'no answer' });
    },
    async delete(key, expectedVersion) {
      return path.isDisconnected ? Err(DISCONNECTED_ERROR) : Ok(state.delete(key, expectedVersion));
    },
    async list<Data>(prefix: string): Promise<Result<readonly StoreEntry<Data>[], StoreError>> {
      if (path.isDisconnected) return Err(DISCONNECTED_ERROR);
      return Ok(state.list(prefix).map((entry) => decode<Data>(entry)));
    },
    grantLease: unused,
    renewLease: unused,
    revokeLease: unused,
    close: async () => undefined,
  };
}

/**
 * Creates a cell of configuration services, which is stopped at the end of the test.
 *
 * @param memberIds members of the cell
 * @returns the cell without daemons; the test creates them
 */
export async function createTestCell(
  t: ExecutionContext,
  memberIds: readonly string[],
): Promise<TestCell> {
  const clock = createManualClock();
  const store = await startStoreStandIn();
  const daemons = new Map<string, TestDaemon>();
  const handlers = new Map<string, Map<string, unknown>>();
  const reports = new Map<string, Map<string, PeerStatus>>();
  const disconnectedPairs = new Set<string>();
  let heartbeatAt = 0;
  t.teardown(async () => {
    daemons.forEach((daemon) => daemon.service.stop());
    await store.close();
  });

  const pairOf = (left: string, right: string) => [left, right].sort().join('|');
  const isConnected = (left: string, right: string) =>
    daemons.has(left) && daemons.has(right) && !disconnectedPairs.has(pairOf(left, right));

  function createLink(selfId: string): PeerLink {
    return {
      async call(daemonId, method, params, deadlineMilliseconds) {
        const handler = handlers.get(daemonId)?.get(method) as PeerHandler<PeerMethod> | undefined;
        if (!isConnected(selfId, daemonId) || !handler) {
          return Err({ kind: 'not-sent', reason: 'cut' });
        }
        const copy = JSON.parse(JSON.stringify(params)) as never;
        const context = { from: selfId, remainingMilliseconds: deadlineMilliseconds };
        const answer = (await handler(copy, context)) as Result<unknown, Failure>;
        if (answer.isErr()) return Err({ kind: 'refused', failure: answer.error });
        return Ok(JSON.parse(JSON.stringify(answer.value)) as never);
      },
      handle(method, handler) {
        handlers.get(selfId)?.set(method, handler);
      },
    };
  }

  function createMembership(selfId: string): MembershipView {
    const members = memberIds.map((daemonId) => ({
      daemonId,
      incarnation: daemonId,
      peerAddress: '127.0.0.1:1',
      apiAddress: 'http://127.0.0.1:1',
      dataCentre: 'east',
    }));
    const ownReports = () => [...(reports.get(selfId)?.values() ?? [])];
    const isInContact = (daemonId: string) =>
      daemonId === selfId ||
      ownReports().some(
        (report) =>
          report.daemonId === daemonId &&
          clock.monotonicMilliseconds() - report.lastHeartbeatAt <= CONTACT_MILLISECONDS,
      );
    return {
      selfId,
      record: () => ({ version: 1, members }),
      liveMembers: () => members.filter((member) => isInContact(member.daemonId)),
      peerStatuses: ownReports,
      isInContactWithMajority: () =>
        members.filter((member) => isInContact(member.daemonId)).length > members.length / 2,
      mayAct: () => true,
    };
  }

  function exchangeHeartbeats(): void {
    const now = clock.monotonicMilliseconds();
    daemons.forEach((receiver) =>
      daemons.forEach((sender) => {
        if (receiver === sender || !isConnected(receiver.id, sender.id)) return;
        const facts = sender.service.heartbeatFields();
        reports.get(receiver.id)?.set(sender.id, {
          daemonId: sender.id,
          lastHeartbeatAt: now,
          configurationRevision: facts.configurationRevision,
          configurationConfirmedAt: now - facts.freshnessAgeMilliseconds,
          isDraining: false,
        });
      }),
    );
  }

  function createDaemon(id: string, storeClient?: StoreClient): TestDaemon {
    daemons.get(id)?.service.stop();
    handlers.set(id, new Map());
    reports.set(id, new Map());
    const storeConnection: StubStoreConnection = {
      isDisconnected: false,
      readCount: 0,
      beforePut: () => undefined,
      lostResponse: null,
    };
    const link = createLink(id);
    const membership = createMembership(id);
    const counters = createLocalCounters();
    const service = createConfigurationService({
      clock,
      store: storeClient ?? createDirectStoreClient(store, storeConnection),
      link,
      membership,
      log: createSilentLog(),
      counters,
    });
    const disconnectStore = () => {
      storeConnection.isDisconnected = true;
    };
    const daemon = {
      id,
      service,
      storeConnection,
      counters,
      link,
      membership,
      disconnectStore,
    };
    daemons.set(id, daemon);
    return daemon;
  }

  async function step(): Promise<void> {
    clock.advance(TICK_MILLISECONDS);
    await flush();
    if (clock.monotonicMilliseconds() - heartbeatAt < HEARTBEAT_MILLISECONDS) return;
    heartbeatAt = clock.monotonicMilliseconds();
    exchangeHeartbeats();
    await flush();
  }

  return {
    clock,
    store,
    createDaemon,
    daemon(id) {
      const daemon = daemons.get(id);
      if (!daemon) throw new Error(`no daemon ${id}`);
      return daemon;
    },
    removeDaemon(id) {
      daemons.get(id)?.service.stop();
      daemons.delete(id);
    },
    disconnect: (left, right) => disconnectedPairs.add(pairOf(left, right)),
    reconnect: (left, right) => disconnectedPairs.delete(pairOf(left, right)),
    async advance(milliseconds) {
      const end = clock.monotonicMilliseconds() + milliseconds;
      while (clock.monotonicMilliseconds() < end) await step();
    },
    async advanceUntilSettled(promise) {
      let isSettled = false;
      const done = () => {
        isSettled = true;
      };
      promise.then(done, done);
      await flush();
      for (let steps = 0; !isSettled && steps < MAXIMUM_STEPS; steps += 1) await step();
      return promise;
    },
  };
}

export const BOOTSTRAP: OperatorIdentity = { name: 'bootstrap', tokenHash: null };

/** Secret of the key `k1` of {@link FIRST_DOCUMENT}. */
export const FIRST_KEY = 'cb_k1_secret';

/** A small valid document. */
export const FIRST_DOCUMENT: SectionEdits = {
  cell: { name: 'test' },
  policy: { order: 'share-first' },
  teams: {
    harbour: { share: 2, limits: { tasks: 10, requests: 10 } },
    sorting: { share: 1, limits: { tasks: 5, requests: 5 } },
  },
  queues: { quotes: { kind: 'interactive', access: 'keyed', teams: ['harbour'] } },
  keys: {
    k1: { team: 'harbour', secretHash: sha256('secret'), issuedAt: 1, issuedBy: 'bootstrap' },
  },
};

/** Change that revokes the key `k1` of {@link FIRST_DOCUMENT}. */
export const REVOKE_FIRST_KEY: SectionEdits = {
  keys: {
    k1: {
      team: 'harbour',
      secretHash: sha256('secret'),
      issuedAt: 1,
      issuedBy: 'bootstrap',
      revokedAt: 2,
    },
  },
};

/** Applies a change of sections through a daemon, and advances the clock until it has ended. */
export function applySections(
  cell: TestCell,
  daemonId: string,
  baseRevision: number,
  sections: SectionEdits,
  operator: OperatorIdentity = BOOTSTRAP,
) {
  return cell.advanceUntilSettled(
    cell.daemon(daemonId).service.change({
      operator,
      action: 'configuration.apply',
      subject: null,
      edit: () => Ok({ baseRevision, sections }),
    }),
  );
}

/** Creates a cell with all daemons started and the first document in effect. */
export async function createStartedCell(
  t: ExecutionContext,
  memberIds: readonly string[],
): Promise<TestCell> {
  const cell = await createTestCell(t, memberIds);
  for (const id of memberIds) await cell.createDaemon(id).service.start();
  await cell.advance(1_000);
  const applied = await applySections(cell, memberIds[0] ?? '', 0, FIRST_DOCUMENT);
  if (applied.isErr()) throw new Error(createFailure(applied.error.code).message);
  return cell;
}

/** @returns code of the failure, or `accepted` */
export function codeOf(result: Result<unknown, Failure>): string {
  return result.isErr() ? result.error.code : 'accepted';
}
