import { sleep } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import type {
  ClusterStore,
  ReadOutcome,
  StoredItem,
  StoreWrite,
  WriteOutcome,
} from '@chicorybend/scheduler';

/** What is wrong with the store, or with the way of one client to it. */
export interface ClusterStoreFaults {
  /** `silent`: calls are not answered; `busy`: they are refused; null: nothing is wrong. */
  outage: 'silent' | 'busy' | null;
  /** Part of the writes that are carried out without an answer. */
  lostAnswerFraction: number;
  /** Delay of writes whose answer is lost, in milliseconds; null carries them out at once. */
  unansweredWriteDelayMilliseconds: number | null;
  /** Time of an answer, in milliseconds. */
  latencyMilliseconds: number;
}

/** In-memory store with conditional writes, leases and watches, whose clients can be cut off one by one. */
export interface ClusterStoreStandIn {
  /** @returns client of a VM, with the faults of its way to the store */
  client(name: string): ClusterStore;
  faultsOf(name: string): ClusterStoreFaults;
  /** Writes as the platform's operator does, past all faults. */
  put(key: string, value: string): void;
  remove(key: string): void;
  get(key: string): StoredItem | null;
  /** @returns number of writes carried out */
  writeCount(): number;
}

const DEFAULT_LATENCY_MILLISECONDS = 4;

/**
 * Creates an empty store.
 *
 * @param clock source of time
 * @param random source of random numbers in [0, 1), for lost answers
 * @returns store
 */
export function createClusterStoreStandIn(
  clock: Clock,
  random: () => number = Math.random,
): ClusterStoreStandIn {
  const items = new Map<string, StoredItem & { leaseId: number }>();
  const leases = new Map<number, { ttlMilliseconds: number; expiresAt: number }>();
  const faults = new Map<string, ClusterStoreFaults>();
  const listeners = new Set<() => void>();
  let revision = 1;
  let nextLeaseId = 1;
  let writeCount = 0;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function notify(): void {
    [...listeners].forEach((listen) => listen());
  }

  function expireLeases(): void {
    leases.forEach(({ expiresAt: expiresAt }, leaseId) => {
      if (expiresAt > now()) return;
      leases.delete(leaseId);
      items.forEach((item, key) => {
        if (item.leaseId !== leaseId) return;
        items.delete(key);
        revision += 1;
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
    write.puts.forEach(({ key, value, leaseId }) =>
      items.set(key, { key, value, revision, leaseId: leaseId ?? 0 }),
    );
    write.removals.forEach((key) => items.delete(key));
    notify();
    return { kind: 'written', revision };
  }

  function faultsOf(name: string): ClusterStoreFaults {
    const existing = faults.get(name);
    if (existing) return existing;
    const created: ClusterStoreFaults = {
      outage: null,
      lostAnswerFraction: 0,
      unansweredWriteDelayMilliseconds: null,
      latencyMilliseconds: DEFAULT_LATENCY_MILLISECONDS,
    };
    faults.set(name, created);
    return created;
  }

  function createClient(name: string): ClusterStore {
    const clientFaults = faultsOf(name);

    /** @returns why the call has no answer; null if it may be carried out */
    async function awaitDelivery(timeoutMilliseconds: number): Promise<'lost' | 'refused' | null> {
      if (clientFaults.outage === 'silent') {
        await sleep(clock, timeoutMilliseconds);
        return 'lost';
      }
      await sleep(clock, Math.min(clientFaults.latencyMilliseconds, timeoutMilliseconds));
      if (clientFaults.outage === 'busy') return 'refused';
      return clientFaults.latencyMilliseconds > timeoutMilliseconds ? 'lost' : null;
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
      const { unansweredWriteDelayMilliseconds: delayMilliseconds } = clientFaults;
      if (delayMilliseconds === null) applyWrite(write);
      else clock.setTimer(() => applyWrite(write), delayMilliseconds);
      await sleep(clock, timeoutMilliseconds);
      return { kind: 'unknown', reason: 'lost' };
    }

    return {
      read: (key, timeout) => read(timeout, () => items.get(key) ?? null),
      list: (prefix, timeout) =>
        read(timeout, () =>
          [...items.values()]
            .filter(({ key }) => key.startsWith(prefix))
            .sort((left, right) => (left.key < right.key ? -1 : 1)),
        ),
      async awaitChange(prefix, afterRevision, waitMilliseconds) {
        const deadline = now() + waitMilliseconds;
        let previousKeys = new Set([...items.keys()].filter((key) => key.startsWith(prefix)));
        while (now() < deadline) {
          if (clientFaults.outage) return 'failed';
          expireLeases();
          const matching = [...items.values()].filter(({ key }) => key.startsWith(prefix));
          if (matching.some((item) => item.revision > afterRevision)) return 'changed';
          if ([...previousKeys].some((key) => !items.has(key))) return 'changed';
          previousKeys = new Set(matching.map(({ key }) => key));
          await sleep(clock, DEFAULT_LATENCY_MILLISECONDS);
        }
        return 'unchanged';
      },
      async write(write, timeout) {
        const failure = await awaitDelivery(timeout);
        if (failure === 'refused') return { kind: 'refused', reason: 'busy' };
        if (failure === 'lost') return { kind: 'unknown', reason: 'lost' };
        if (random() < clientFaults.lostAnswerFraction) return loseAnswer(write, timeout);
        return applyWrite(write);
      },
      async grantLease(ttlMilliseconds, timeout) {
        const failure = await awaitDelivery(timeout);
        if (failure) return { kind: 'failed', reason: failure };
        const leaseId = nextLeaseId;
        nextLeaseId += 1;
        leases.set(leaseId, {
          ttlMilliseconds: ttlMilliseconds,
          expiresAt: now() + ttlMilliseconds,
        });
        clock.setTimer(expireLeases, ttlMilliseconds + 1);
        return { kind: 'granted', leaseId, ttlMilliseconds: ttlMilliseconds };
      },
      async renewLease(leaseId, timeout) {
        const failure = await awaitDelivery(timeout);
        if (failure) return 'failed';
        expireLeases();
        const lease = leases.get(leaseId);
        if (!lease) return 'ended';
        lease.expiresAt = now() + lease.ttlMilliseconds;
        return 'renewed';
      },
      async endLease(leaseId, timeout) {
        if (await awaitDelivery(timeout)) return;
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
      notify();
    },
    remove(key) {
      revision += 1;
      items.delete(key);
      notify();
    },
    get: (key) => items.get(key) ?? null,
    writeCount: () => writeCount,
  };
}
