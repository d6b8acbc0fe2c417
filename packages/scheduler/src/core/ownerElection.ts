import { sleep } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import type { ClusterStore, StoredItem } from '../types/clusterStore.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import { EPOCH_KEY, OWNER_KEY } from '../utils/storeKeys.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';

/** Longest wait of one watch for the owner key, in milliseconds; bounds how long a silent connection is trusted. */
const WATCH_TIMEOUT_MILLISECONDS = 5_000;
/** Pause before a failed call to the store is repeated, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;
/** The lease is renewed this many times within its time to live. */
const RENEWALS_PER_LEASE = 4;
/** Authority ends this long before the lease can, in milliseconds; covers the way of an order to the network. */
const EXPIRY_MARGIN_MILLISECONDS = 50;
/** A larger step between wall clock and monotonic clock means that the VM may have been suspended. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 250;
/** Bounds of the time-outs of single calls, in milliseconds. */
const CALL_TIMEOUTS = { minimumMilliseconds: 250, maximumMilliseconds: 1_000 };

/** Who owns the cell's work. */
export interface OwnerRecord {
  /** Address for calls between VMs. */
  readonly address: string;
  /** Fencing token of the term; each term has a higher one. */
  readonly epoch: number;
}

/** A term of ownership of this process. */
export interface TermIdentity {
  readonly epoch: number;
  /** Revision of the owner key, the condition of each write of the term. */
  readonly ownerRevision: number;
}

/** What the authority needs and reports to. */
export interface OwnerElectionOptions {
  readonly store: ClusterStore;
  readonly clock: Clock;
  readonly log: Log;
  /** Address of this process for calls between VMs. */
  readonly address: string;
  /** Time to live of the owner's lease, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** How long to leave the claim to others, in milliseconds; for VMs that can carry less. */
  readonly claimDelayMilliseconds: number;
  readonly onOwnerChange: (owner: OwnerRecord | null) => void;
  readonly onTermStart: (term: TermIdentity) => void;
  readonly onTermEnd: (reason: string) => void;
}

/** Decides through the store alone which process may act. */
export interface OwnerElection {
  /** Follows the owner key, and claims it when it is absent, until {@link OwnerElection.resign}. */
  run(): Promise<void>;
  owner(): OwnerRecord | null;
  /** @returns whether this process may act for its term now */
  isOwnerLeaseValid(): boolean;
  /** Ends the term because a write or an endpoint has shown that another owner exists. */
  abandonTerm(reason: string): void;
  /** Stops claiming, and ends the lease so that another process takes over at once. The owner is still followed. */
  resign(): Promise<void>;
  /** Ends {@link OwnerElection.run}. */
  stop(): void;
}

function parseOwner(item: StoredItem): OwnerRecord | null {
  try {
    const { address, epoch } = JSON.parse(item.value) as Partial<OwnerRecord>;
    return typeof address === 'string' && typeof epoch === 'number' ? { address, epoch } : null;
  } catch {
    return null;
  }
}

/**
 * Creates the authority of a process; {@link OwnerElection.run} starts it.
 *
 * @param options collaborators
 * @returns authority
 */
export function createOwnerElection(options: OwnerElectionOptions): OwnerElection {
  const { store, clock, log, address, leaseMilliseconds } = options;
  const latency = createLatencyEstimate(CALL_TIMEOUTS);
  let isStopped = false;
  let mayClaim = true;
  let owner: OwnerRecord | null = null;
  let term: (TermIdentity & { leaseId: number }) | null = null;
  let leaseValidUntil = -Infinity;
  let clockOffset = readClockOffset();

  function readClockOffset(): number {
    return clock.wallMilliseconds() - clock.monotonicMilliseconds();
  }

  /** The monotonic clock stands still while a VM is suspended, so that the lease may be over unnoticed. */
  function checkSuspension(): void {
    const offset = readClockOffset();
    if (Math.abs(offset - clockOffset) <= SUSPENSION_THRESHOLD_MILLISECONDS) return;
    log.warn('clock step or suspension', { milliseconds: Math.round(offset - clockOffset) });
    clockOffset = offset;
    leaseValidUntil = -Infinity;
  }

  function setOwner(next: OwnerRecord | null): void {
    const isSame = owner?.epoch === next?.epoch && owner?.address === next?.address;
    if (isSame) return;
    // A late answer about a former owner does not replace a later one.
    if (owner && next && next.epoch < owner.epoch) return;
    owner = next;
    log.info('owner changed', { owner: next?.address ?? null, epoch: next?.epoch ?? null });
    options.onOwnerChange(next);
  }

  function callStore<Outcome>(
    call: (timeoutMilliseconds: number) => Promise<Outcome>,
    hasFailed: (outcome: Outcome) => boolean,
  ): Promise<Outcome> {
    return callWithAdaptiveTimeout(clock, latency, call, hasFailed);
  }

  function endTerm(reason: string): void {
    if (!term) return;
    log.warn('term ended', { epoch: term.epoch, reason });
    term = null;
    leaseValidUntil = -Infinity;
    options.onTermEnd(reason);
  }

  async function renewLease(): Promise<void> {
    const renewedTerm = term;
    if (!renewedTerm) return;
    checkSuspension();
    const sentAt = clock.monotonicMilliseconds();
    const offsetBefore = clockOffset;
    const outcome = await callStore(
      (timeout) => store.renewLease(renewedTerm.leaseId, timeout),
      (result) => result === 'failed',
    );
    checkSuspension();
    if (term !== renewedTerm) return;
    if (outcome === 'ended') endTerm('lease ended');
    else if (outcome === 'renewed' && clockOffset === offsetBefore) {
      leaseValidUntil = sentAt + leaseMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
    }
  }

  async function keepLeaseRenewed(): Promise<void> {
    const heldTerm = term;
    while (term === heldTerm && !isStopped) {
      await renewLease();
      const pause = isOwnerLeaseValid()
        ? leaseMilliseconds / RENEWALS_PER_LEASE
        : RETRY_DELAY_MILLISECONDS;
      await sleep(clock, pause);
    }
  }

  function isOwnerLeaseValid(): boolean {
    checkSuspension();
    return term !== null && clock.monotonicMilliseconds() < leaseValidUntil;
  }

  async function readEpoch(): Promise<{ epoch: number; revision: number } | null> {
    const outcome = await callStore(
      (timeout) => store.read(EPOCH_KEY, timeout),
      (result) => result.kind === 'failed',
    );
    if (outcome.kind === 'failed') return null;
    const epoch = Number(outcome.value?.value ?? 0);
    return {
      epoch: Number.isSafeInteger(epoch) ? epoch : 0,
      revision: outcome.value?.revision ?? 0,
    };
  }

  async function claimOwnership(): Promise<void> {
    const storedEpoch = await readEpoch();
    if (!storedEpoch || !mayClaim) return;
    checkSuspension();
    const sentAt = clock.monotonicMilliseconds();
    const lease = await callStore(
      (timeout) => store.grantLease(leaseMilliseconds, timeout),
      (result) => result.kind === 'failed',
    );
    if (lease.kind === 'failed' || !mayClaim) return;
    const epoch = storedEpoch.epoch + 1;
    const outcome = await callStore(
      (timeout) =>
        store.write(
          {
            conditions: [
              { key: OWNER_KEY, revision: 0 },
              { key: EPOCH_KEY, revision: storedEpoch.revision },
            ],
            puts: [
              { key: OWNER_KEY, value: JSON.stringify({ address, epoch }), leaseId: lease.leaseId },
              { key: EPOCH_KEY, value: String(epoch) },
            ],
            removals: [],
          },
          timeout,
        ),
      (result) => result.kind === 'unknown',
    );
    // After a lost answer the lease runs out by itself; a later claim then finds the key absent again.
    if (outcome.kind !== 'written') return;
    if (!mayClaim) {
      await store.endLease(lease.leaseId, latency.timeoutMilliseconds());
      return;
    }
    term = { epoch, ownerRevision: outcome.revision, leaseId: lease.leaseId };
    leaseValidUntil = sentAt + leaseMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
    log.info('term started', { epoch });
    setOwner({ address, epoch });
    options.onTermStart(term);
    void keepLeaseRenewed();
  }

  async function followOwnerKey(): Promise<void> {
    const outcome = await callStore(
      (timeout) => store.read(OWNER_KEY, timeout),
      (result) => result.kind === 'failed',
    );
    if (outcome.kind === 'failed') {
      await sleep(clock, RETRY_DELAY_MILLISECONDS);
      return;
    }
    if (!outcome.value) {
      setOwner(null);
      endTerm('owner key is absent');
      if (mayClaim && options.claimDelayMilliseconds > 0) {
        await sleep(clock, options.claimDelayMilliseconds);
      }
      if (mayClaim) await claimOwnership();
      if (!term) await sleep(clock, RETRY_DELAY_MILLISECONDS);
      return;
    }
    if (term && term.ownerRevision !== outcome.value.revision) {
      endTerm('another process owns the work');
    }
    const record = parseOwner(outcome.value);
    // The record of an earlier life of this process names nobody who can answer.
    setOwner(record && (record.address !== address || term) ? record : null);
    const change = await store.awaitChange(OWNER_KEY, outcome.revision, WATCH_TIMEOUT_MILLISECONDS);
    if (change === 'failed') await sleep(clock, RETRY_DELAY_MILLISECONDS);
  }

  return {
    async run() {
      while (!isStopped) await followOwnerKey();
    },
    owner: () => owner,
    isOwnerLeaseValid,
    abandonTerm: endTerm,
    async resign() {
      mayClaim = false;
      const released = term;
      if (!released) return;
      endTerm('released');
      await store.endLease(released.leaseId, CALL_TIMEOUTS.maximumMilliseconds);
    },
    stop() {
      mayClaim = false;
      isStopped = true;
    },
  };
}
