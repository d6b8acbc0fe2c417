import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import type {
  ChangesOutcome,
  ClusterStore,
  ReadOutcome,
  StoreChange,
  StoredItem,
  StoreWrite,
  WriteOutcome,
} from '@chicorybend/scheduler';

/** Faults of one client's calls to the store; all may be changed at any time. */
export interface ClusterStoreFaults {
  /** `silent`: calls get no answer; `busy`: calls are refused; null: no outage. */
  outage: 'silent' | 'busy' | null;
  /** Fraction of writes that are applied and whose answer is lost, in [0, 1]. */
  lostAnswerFraction: number;
  /** Time until a write whose answer is lost is applied, in milliseconds; null applies it at once. */
  unansweredWriteDelayMilliseconds: number | null;
  /** Time until a call is answered, in milliseconds. */
  latencyMilliseconds: number;
}

/** In-memory store with conditional writes, leases and watches, with separate faults for each client. */
export interface ClusterStoreStandIn {
  /** @returns client for a VM, subject to the faults of `faultsOf(name)` */
  client(name: string): ClusterStore;
  faultsOf(name: string): ClusterStoreFaults;
  /** Writes unconditionally and without faults, as the platform's operator does. */
  put(key: string, value: string): void;
  remove(key: string): void;
  get(key: string): StoredItem | null;
  /** Drops the changes so far, as a store does that keeps them for a limited time. */
  forgetChanges(): void;
  /** @returns number of clients' writes that were applied */
  writeCount(): number;
}

const DEFAULT_LATENCY_MILLISECONDS = 4;
/** Maximum number of items of a page. */
const PAGE_ITEMS = 500;
/** Number of changes that are kept for watches. */
const KEPT_CHANGES = 5_000;

/**
 * Creates an empty store.
 *
 * @param random source of random numbers in [0, 1); decides which answers are lost
 */
export function createClusterStoreStandIn(
  clock: Clock,
  random: () => number = Math.random,
): ClusterStoreStandIn {
  const items = new Map<string, StoredItem & { leaseId: number }>();
  const leases = new Map<number, { ttlMilliseconds: number; expiresAt: number }>();
  const faultsByClient = new Map<string, ClusterStoreFaults>();
  const listeners = new Set<() => void>();
  let changes: StoreChange[] = [];
  /** Revision of the last change that was dropped. */
  let forgottenRevision = 0;
  let revision = 1;
  let nextLeaseId = 1;
  let writeCount = 0;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function notify(): void {
    [...listeners].forEach((listen) => listen());
  }

  function recordChange(key: string, value: string | null): void {
    changes.push({ key, value, revision });
    if (changes.length <= 2 * KEPT_CHANGES) return;
    forgottenRevision = changes.at(-KEPT_CHANGES - 1)!.revision;
    changes = changes.slice(-KEPT_CHANGES);
  }

  function expireLeases(): void {
    leases.forEach(({ expiresAt }, leaseId) => {
      if (expiresAt > now()) return;
      leases.delete(leaseId);
      items.forEach((item, key) => {
        if (item.leaseId !== leaseId) return;
        items.delete(key);
        revision += 1;
        recordChange(key, null);
      });
    });
    notify();
  }

  function meetsConditions({ conditions }: StoreWrite): boolean {
    return conditions.every(
      ({ key, revision: expectedRevision }) => (items.get(key)?.revision ?? 0) === expectedRevision,
    );
  }

  function applyWrite(write: StoreWrite): WriteOutcome {
    expireLeases();
    if (!meetsConditions(write)) {
      const currentItems = write.conditions.flatMap(({ key }) => items.get(key) ?? []);
      return { kind: 'conflict', items: currentItems };
    }
    if (write.puts.some(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))) {
      return { kind: 'no-lease' };
    }
    revision += 1;
    writeCount += 1;
    write.puts.forEach(({ key, value, leaseId }) => {
      items.set(key, { key, value, revision, leaseId: leaseId ?? 0 });
      recordChange(key, value);
    });
    write.removals.forEach((key) => {
      if (items.delete(key)) recordChange(key, null);
    });
    notify();
    return { kind: 'written', revision };
  }

  function faultsOf(name: string): ClusterStoreFaults {
    const existing = faultsByClient.get(name);
    if (existing) return existing;
    const created: ClusterStoreFaults = {
      outage: null,
      lostAnswerFraction: 0,
      unansweredWriteDelayMilliseconds: null,
      latencyMilliseconds: DEFAULT_LATENCY_MILLISECONDS,
    };
    faultsByClient.set(name, created);
    return created;
  }

  function createClient(name: string): ClusterStore {
    const faults = faultsOf(name);

    /** Applies latency and outage. Returns why the call fails, or null if it reaches the store. */
    async function awaitDelivery(timeoutMilliseconds: number): Promise<'lost' | 'refused' | null> {
      if (faults.outage === 'silent') {
        await sleep(clock, timeoutMilliseconds);
        return 'lost';
      }
      await sleep(clock, Math.min(faults.latencyMilliseconds, timeoutMilliseconds));
      if (faults.outage === 'busy') return 'refused';
      return faults.latencyMilliseconds > timeoutMilliseconds ? 'lost' : null;
    }

    async function read<Value>(
      timeoutMilliseconds: number,
      select: () => Value,
    ): Promise<ReadOutcome<Value>> {
      const failure = await awaitDelivery(timeoutMilliseconds);
      if (failure) return { kind: 'failed', reason: failure };
      expireLeases();
      return { kind: 'answered', value: select(), revision };
    }

    async function loseAnswer(
      write: StoreWrite,
      timeoutMilliseconds: number,
    ): Promise<WriteOutcome> {
      const { unansweredWriteDelayMilliseconds: delayMilliseconds } = faults;
      if (delayMilliseconds === null) applyWrite(write);
      else clock.setTimer(() => applyWrite(write), delayMilliseconds);
      await sleep(clock, timeoutMilliseconds);
      return { kind: 'unknown', reason: 'lost' };
    }

    function itemsUnder(prefix: string): StoredItem[] {
      return [...items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
    }

    return {
      read: (key, timeoutMilliseconds) => read(timeoutMilliseconds, () => items.get(key) ?? null),
      list: (prefix, timeoutMilliseconds) => read(timeoutMilliseconds, () => itemsUnder(prefix)),
      readPage: (prefix, after, timeoutMilliseconds) =>
        read(timeoutMilliseconds, () => {
          const remaining = itemsUnder(prefix).filter(({ key }) => key > after);
          return { items: remaining.slice(0, PAGE_ITEMS), isLast: remaining.length <= PAGE_ITEMS };
        }),
      async readChanges(prefix, afterRevision, timeoutMilliseconds): Promise<ChangesOutcome> {
        const outcome = await read(timeoutMilliseconds, () =>
          changes.filter(
            (change) => change.key.startsWith(prefix) && change.revision > afterRevision,
          ),
        );
        if (outcome.kind === 'failed') return outcome;
        if (afterRevision < forgottenRevision) return { kind: 'gone' };
        return { kind: 'answered', changes: outcome.value, revision: outcome.revision };
      },
      async awaitChange(prefix, afterRevision, waitMilliseconds) {
        const deadline = now() + waitMilliseconds;
        let previousKeys = new Set([...items.keys()].filter((key) => key.startsWith(prefix)));
        while (now() < deadline) {
          if (faults.outage) return 'failed';
          expireLeases();
          const matching = [...items.values()].filter(({ key }) => key.startsWith(prefix));
          if (matching.some((item) => item.revision > afterRevision)) return 'changed';
          if ([...previousKeys].some((key) => !items.has(key))) return 'changed';
          previousKeys = new Set(matching.map(({ key }) => key));
          await sleep(clock, DEFAULT_LATENCY_MILLISECONDS);
        }
        return 'unchanged';
      },
      async write(write, timeoutMilliseconds) {
        const failure = await awaitDelivery(timeoutMilliseconds);
        if (failure === 'refused') return { kind: 'refused', reason: 'busy' };
        if (failure === 'lost') return { kind: 'unknown', reason: 'lost' };
        if (random() < faults.lostAnswerFraction) return loseAnswer(write, timeoutMilliseconds);
        return applyWrite(write);
      },
      async grantLease(ttlMilliseconds, timeoutMilliseconds) {
        const failure = await awaitDelivery(timeoutMilliseconds);
        if (failure) return { kind: 'failed', reason: failure };
        const leaseId = nextLeaseId;
        nextLeaseId += 1;
        leases.set(leaseId, {
          ttlMilliseconds,
          expiresAt: now() + ttlMilliseconds,
        });
        clock.setTimer(expireLeases, ttlMilliseconds + 1);
        return { kind: 'granted', leaseId, ttlMilliseconds };
      },
      async renewLease(leaseId, timeoutMilliseconds) {
        const failure = await awaitDelivery(timeoutMilliseconds);
        if (failure) return 'failed';
        expireLeases();
        const lease = leases.get(leaseId);
        if (!lease) return 'ended';
        lease.expiresAt = now() + lease.ttlMilliseconds;
        return 'renewed';
      },
      async endLease(leaseId, timeoutMilliseconds) {
        if (await awaitDelivery(timeoutMilliseconds)) return;
        const lease = leases.get(leaseId);
        if (lease) lease.expiresAt = now();
        expireLeases();
      },
    };
  }

  return {
    client: createClient,
    faultsOf,
    put(key, value) {
      revision += 1;
      items.set(key, { key, value, revision, leaseId: 0 });
      recordChange(key, value);
      notify();
    },
    remove(key) {
      revision += 1;
      items.delete(key);
      recordChange(key, null);
      notify();
    },
    get: (key) => items.get(key) ?? null,
    forgetChanges() {
      changes = [];
      forgottenRevision = revision;
    },
    writeCount: () => writeCount,
  };
}
