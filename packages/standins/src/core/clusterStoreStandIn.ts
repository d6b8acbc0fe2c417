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
  lostShare: number;
  /** Delay of writes whose answer is lost, in milliseconds; null carries them out at once. */
  lateMilliseconds: number | null;
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
  writes(): number;
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
  const leases = new Map<number, { ttl: number; endsAt: number }>();
  const faults = new Map<string, ClusterStoreFaults>();
  const listeners = new Set<() => void>();
  let revision = 1;
  let nextLease = 1;
  let writes = 0;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function notify(): void {
    [...listeners].forEach((listen) => listen());
  }

  function endLeases(): void {
    leases.forEach(({ endsAt }, leaseId) => {
      if (endsAt > now()) return;
      leases.delete(leaseId);
      items.forEach((item, key) => {
        if (item.leaseId !== leaseId) return;
        items.delete(key);
        revision += 1;
      });
    });
    notify();
  }

  function holds({ conditions }: StoreWrite): boolean {
    return conditions.every(
      ({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) === wanted,
    );
  }

  function execute(write: StoreWrite): WriteOutcome {
    endLeases();
    if (!holds(write)) {
      const present = write.conditions.flatMap(({ key }) => items.get(key) ?? []);
      return { kind: 'conflict', items: present };
    }
    if (write.puts.some(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))) {
      return { kind: 'no-lease' };
    }
    revision += 1;
    writes += 1;
    write.puts.forEach(({ key, value, leaseId }) =>
      items.set(key, { key, value, revision, leaseId: leaseId ?? 0 }),
    );
    write.removals.forEach((key) => items.delete(key));
    notify();
    return { kind: 'written', revision };
  }

  function faultsOf(name: string): ClusterStoreFaults {
    const known = faults.get(name);
    if (known) return known;
    const created: ClusterStoreFaults = {
      outage: null,
      lostShare: 0,
      lateMilliseconds: null,
      latencyMilliseconds: DEFAULT_LATENCY_MILLISECONDS,
    };
    faults.set(name, created);
    return created;
  }

  function createClient(name: string): ClusterStore {
    const wrong = faultsOf(name);

    /** @returns why the call has no answer; null if it may be carried out */
    async function reach(timeoutMilliseconds: number): Promise<'lost' | 'refused' | null> {
      if (wrong.outage === 'silent') {
        await sleep(clock, timeoutMilliseconds);
        return 'lost';
      }
      await sleep(clock, Math.min(wrong.latencyMilliseconds, timeoutMilliseconds));
      if (wrong.outage === 'busy') return 'refused';
      return wrong.latencyMilliseconds > timeoutMilliseconds ? 'lost' : null;
    }

    async function read<Value>(
      timeoutMilliseconds: number,
      select: () => Value,
    ): Promise<ReadOutcome<Value>> {
      const obstacle = await reach(timeoutMilliseconds);
      if (obstacle) return { kind: 'failed', reason: obstacle };
      endLeases();
      return { kind: 'answered', value: select(), revision };
    }

    async function loseAnswer(
      write: StoreWrite,
      timeoutMilliseconds: number,
    ): Promise<WriteOutcome> {
      const { lateMilliseconds } = wrong;
      if (lateMilliseconds === null) execute(write);
      else clock.setTimer(() => execute(write), lateMilliseconds);
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
        const endsAt = now() + waitMilliseconds;
        let known = new Set([...items.keys()].filter((key) => key.startsWith(prefix)));
        while (now() < endsAt) {
          if (wrong.outage) return 'failed';
          endLeases();
          const present = [...items.values()].filter(({ key }) => key.startsWith(prefix));
          if (present.some((item) => item.revision > afterRevision)) return 'changed';
          if ([...known].some((key) => !items.has(key))) return 'changed';
          known = new Set(present.map(({ key }) => key));
          await sleep(clock, DEFAULT_LATENCY_MILLISECONDS);
        }
        return 'unchanged';
      },
      async write(write, timeout) {
        const obstacle = await reach(timeout);
        if (obstacle === 'refused') return { kind: 'refused', reason: 'busy' };
        if (obstacle === 'lost') return { kind: 'unknown', reason: 'lost' };
        if (random() < wrong.lostShare) return loseAnswer(write, timeout);
        return execute(write);
      },
      async grantLease(ttl, timeout) {
        const obstacle = await reach(timeout);
        if (obstacle) return { kind: 'failed', reason: obstacle };
        const leaseId = nextLease;
        nextLease += 1;
        leases.set(leaseId, { ttl, endsAt: now() + ttl });
        clock.setTimer(endLeases, ttl + 1);
        return { kind: 'granted', leaseId, ttlMilliseconds: ttl };
      },
      async renewLease(leaseId, timeout) {
        const obstacle = await reach(timeout);
        if (obstacle) return 'failed';
        endLeases();
        const lease = leases.get(leaseId);
        if (!lease) return 'ended';
        lease.endsAt = now() + lease.ttl;
        return 'renewed';
      },
      async endLease(leaseId, timeout) {
        if (await reach(timeout)) return;
        const lease = leases.get(leaseId);
        if (lease) lease.endsAt = now();
        endLeases();
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
    writes: () => writes,
  };
}
