import { sleep } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import type { ClusterStore, ReadOutcome, StoredItem } from '../types/clusterStore.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import { EPOCH_KEY, OWNER_KEY } from '../utils/storeKeys.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';
import { createLeaseDuration, RENEWALS_PER_LEASE } from './leaseDuration.js';

/** Maximum duration of one watch of the owner key; bounds how long a silent connection is trusted. */
const WATCH_TIMEOUT_MILLISECONDS = 5_000;
const RETRY_DELAY_MILLISECONDS = 100;
/** The owner stops acting this long before its lease can expire; covers the time until an order is on the network. */
const EXPIRY_MARGIN_MILLISECONDS = 50;
/** A larger jump of the wall clock against the monotonic clock means that the VM may have been suspended. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 250;
/** Delay of a claim by one turn; longer than another VM takes to claim the ownership. */
const CLAIM_TURN_MILLISECONDS = 150;
/** For this long, a process that has yielded the ownership leaves it to others. */
const YIELD_PAUSE_MILLISECONDS = 3_000;
/** Delay of its claim within that time, in case that nobody else claims. */
const YIELDED_CLAIM_DELAY_MILLISECONDS = 1_000;
/** Interval at which a process that is not the owner measures how late it runs. */
const LATENESS_INTERVAL_MILLISECONDS = 100;
/** Bounds of the timeout of a call to the store; the recent delay of renewals is added, up to the maximum. */
const CALL_TIMEOUTS = { minimumMilliseconds: 250, maximumMilliseconds: 1_000 };

/**
 * Number of fencing tokens of a term, from its epoch on. Reserved with the claim, so that the term can use a higher one
 * at an endpoint without a write. Rarely used up, because a token is taken only for an incarnation of an endpoint.
 */
export const FENCING_TOKENS_PER_TERM = 1_000_000;

/** The current owner of all jobs of the cell, as stored under the owner key. */
export interface OwnerRecord {
  /** Peer address of the owner. */
  readonly address: string;
  /** First fencing token of the term; higher than all tokens of earlier terms. */
  readonly epoch: number;
}

/** Identifies a term, during which this process is the owner. */
export interface TermIdentity {
  readonly epoch: number;
  /** Revision of the owner key; each write of the term is conditional on it. */
  readonly ownerRevision: number;
}

/** An attempt to become the owner. */
interface Claim {
  readonly epoch: number;
  readonly leaseId: number;
  /** Time to live of the lease as granted, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** When the lease was requested, in monotonic milliseconds. */
  readonly sentAt: number;
  /** Wall-clock time minus monotonic time at that moment; a later difference shows a suspension. */
  readonly offset: number;
}

export interface OwnerElectionOptions {
  readonly store: ClusterStore;
  readonly clock: Clock;
  readonly log: Log;
  /** Peer address of this process. */
  readonly address: string;
  /** Time to live of the owner's lease, in milliseconds; a slow process requests a longer one. */
  readonly leaseMilliseconds: number;
  /** Minimum delay before claiming, in milliseconds, so that VMs with more capacity claim first; 0 for none. */
  readonly claimDelayMilliseconds: number;
  /** @returns number of turns that this process leaves to stronger ones before it claims */
  readonly claimTurns: () => number;
  readonly onOwnerChange: (owner: OwnerRecord | null) => void;
  readonly onTermStart: (term: TermIdentity) => void;
  readonly onTermEnd: (reason: string) => void;
}

/** Leader election through the store alone: at most one process holds a valid owner lease. */
export interface OwnerElection {
  /**
   * Watches the owner key until {@link OwnerElection.stop}, and claims it whenever it is absent until
   * {@link OwnerElection.resign}.
   */
  run(): Promise<void>;
  owner(): OwnerRecord | null;
  /** Reads the owner key now; its watch may be on a connection that has fallen silent. */
  checkOwner(): void;
  /** @returns whether the store answers this process now */
  canReachStore(): Promise<boolean>;
  /** @returns whether this process is the owner and its lease is certainly valid */
  isOwnerLeaseValid(): boolean;
  /** @returns whether this process may turn out to own a term, because its claim has not been answered */
  hasPendingClaim(epoch: number): boolean;
  /** Records that the term has recovered its state; a term that is lost before makes the next lease longer. */
  recordRecovery(): void;
  /** Ends the term after a write or an endpoint has shown that there is another owner. */
  abandonTerm(reason: string): void;
  /** Stops claiming and ends the lease, so that another process takes over at once. Still watches the owner key. */
  resign(): Promise<void>;
  /** Ends the lease in favour of another process, and leaves the next claims to others unless nobody claims. */
  yieldOwnership(reason: string): Promise<void>;
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

/** Creates the election of a process; {@link OwnerElection.run} starts it. */
export function createOwnerElection(options: OwnerElectionOptions): OwnerElection {
  const { store, clock, log, address } = options;
  const latency = createLatencyEstimate(CALL_TIMEOUTS);
  const leaseDuration = createLeaseDuration(clock, options.leaseMilliseconds);
  let isStopped = false;
  let mayClaim = true;
  let owner: OwnerRecord | null = null;
  let term: (TermIdentity & Pick<Claim, 'leaseId' | 'leaseMilliseconds'>) | null = null;
  let isRecovered = false;
  let leaseValidUntil = -Infinity;
  let yieldedUntil = -Infinity;
  /** Claim whose write has not been answered; it may be in effect. */
  let pendingClaim: Claim | null = null;
  let clockOffset = readClockOffset();
  /** Ends the wait for a change of the owner key. */
  let endWait = () => {};

  function readClockOffset(): number {
    return clock.wallMilliseconds() - clock.monotonicMilliseconds();
  }

  /** The monotonic clock stops while the VM is suspended, so it does not show that the lease has expired. */
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
    // Ignores a delayed answer about a former owner.
    if (owner && next && next.epoch < owner.epoch) return;
    owner = next;
    log.info('owner changed', { owner: next?.address ?? null, epoch: next?.epoch ?? null });
    options.onOwnerChange(next);
  }

  function callStore<Outcome>(
    call: (timeoutMilliseconds: number) => Promise<Outcome>,
    hasFailed: (outcome: Outcome) => boolean,
  ): Promise<Outcome> {
    const delay = Math.min(leaseDuration.delayMilliseconds(), CALL_TIMEOUTS.maximumMilliseconds);
    const callLate = (timeout: number) => call(timeout + delay);
    return callWithAdaptiveTimeout(clock, latency, callLate, hasFailed);
  }

  function endTerm(reason: string): void {
    if (!term) return;
    log.warn('term ended', { epoch: term.epoch, reason, isRecovered });
    term = null;
    leaseValidUntil = -Infinity;
    options.onTermEnd(reason);
  }

  /** Ends the term after another process or the store has ended it. */
  function loseTerm(reason: string): void {
    if (term && !isRecovered) leaseDuration.recordUnrecoveredLoss();
    endTerm(reason);
  }

  /** @param lateMilliseconds how late the renewal is */
  async function renewLease(lateMilliseconds: number): Promise<void> {
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
    if (outcome !== 'failed') {
      leaseDuration.recordDelay(lateMilliseconds + clock.monotonicMilliseconds() - sentAt);
    }
    if (term !== renewedTerm) return;
    if (outcome === 'ended') loseTerm('owner lease ended');
    else if (outcome === 'renewed' && clockOffset === offsetBefore) {
      leaseValidUntil = sentAt + renewedTerm.leaseMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
    }
  }

  /** @returns how late the process was when the time had passed, in milliseconds */
  async function sleepAndMeasure(milliseconds: number): Promise<number> {
    const dueAt = clock.monotonicMilliseconds() + milliseconds;
    await sleep(clock, milliseconds);
    return Math.max(0, clock.monotonicMilliseconds() - dueAt);
  }

  async function measureLateness(): Promise<void> {
    while (!isStopped) {
      const late = await sleepAndMeasure(LATENESS_INTERVAL_MILLISECONDS);
      if (!term) leaseDuration.recordDelay(late);
    }
  }

  async function keepLeaseRenewed(): Promise<void> {
    const heldTerm = term;
    let late = 0;
    while (heldTerm && term === heldTerm && !isStopped) {
      await renewLease(late);
      const pause = isOwnerLeaseValid()
        ? heldTerm.leaseMilliseconds / RENEWALS_PER_LEASE
        : RETRY_DELAY_MILLISECONDS;
      late = await sleepAndMeasure(pause);
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

  /** A claim takes a few calls to the store, so the delay grows with the latency of the store. */
  function claimDelay(): number {
    if (clock.monotonicMilliseconds() < yieldedUntil) return YIELDED_CLAIM_DELAY_MILLISECONDS;
    const minimum = options.claimDelayMilliseconds;
    const turns = Math.max(options.claimTurns(), minimum > 0 ? 1 : 0);
    if (turns === 0) return 0;
    const firstTurn = Math.max(minimum, CLAIM_TURN_MILLISECONDS, latency.timeoutMilliseconds());
    return firstTurn + (turns - 1) * CLAIM_TURN_MILLISECONDS;
  }

  function readOwnerKey(): Promise<ReadOutcome<StoredItem | null>> {
    return callStore(
      (timeout) => store.read(OWNER_KEY, timeout),
      (result) => result.kind === 'failed',
    );
  }

  /** Waits for processes that should claim first. @returns whether this process should claim now */
  async function awaitTurnToClaim(): Promise<boolean> {
    const delay = claimDelay();
    if (delay === 0) return mayClaim;
    await sleep(clock, delay);
    const outcome = await readOwnerKey();
    return mayClaim && outcome.kind === 'answered' && outcome.value === null;
  }

  /** Begins the term of a claim that is in effect, unless the process has resigned meanwhile. */
  async function takeUpClaim(
    { epoch, leaseId, leaseMilliseconds, sentAt, offset }: Claim,
    ownerRevision: number,
  ): Promise<void> {
    pendingClaim = null;
    if (!mayClaim) {
      await store.endLease(leaseId, latency.timeoutMilliseconds());
      return;
    }
    checkSuspension();
    term = { epoch, ownerRevision, leaseId, leaseMilliseconds };
    isRecovered = false;
    leaseValidUntil =
      clockOffset === offset ? sentAt + leaseMilliseconds - EXPIRY_MARGIN_MILLISECONDS : -Infinity;
    log.info('term started', { epoch, leaseMilliseconds });
    setOwner({ address, epoch });
    options.onTermStart(term);
    void keepLeaseRenewed();
  }

  async function claimOwnership(): Promise<void> {
    checkSuspension();
    const sentAt = clock.monotonicMilliseconds();
    const offset = clockOffset;
    const [storedEpoch, lease] = await Promise.all([
      readEpoch(),
      callStore(
        (timeout) => store.grantLease(leaseDuration.next(), timeout),
        (result) => result.kind === 'failed',
      ),
    ]);
    if (!storedEpoch || lease.kind === 'failed' || !mayClaim) return;
    const epoch = storedEpoch.epoch + 1;
    const { leaseId, ttlMilliseconds: leaseMilliseconds } = lease;
    const claim: Claim = { epoch, leaseId, leaseMilliseconds, sentAt, offset };
    pendingClaim = claim;
    const outcome = await callStore(
      (timeout) =>
        store.write(
          {
            conditions: [
              { key: OWNER_KEY, revision: 0 },
              { key: EPOCH_KEY, revision: storedEpoch.revision },
            ],
            puts: [
              { key: OWNER_KEY, value: JSON.stringify({ address, epoch }), leaseId },
              { key: EPOCH_KEY, value: String(epoch + FENCING_TOKENS_PER_TERM - 1) },
            ],
            removals: [],
          },
          timeout,
        ),
      (result) => result.kind === 'unknown',
    );
    if (outcome.kind === 'written') await takeUpClaim(claim, outcome.revision);
    else if (outcome.kind !== 'unknown') pendingClaim = null;
  }

  /** Takes up a claim whose answer was lost, if the owner key shows that it is in effect. */
  async function resolveUnansweredClaim(record: OwnerRecord, revision: number): Promise<void> {
    const claim = pendingClaim;
    if (term || !claim || record.address !== address || record.epoch !== claim.epoch) return;
    await takeUpClaim(claim, revision);
  }

  function awaitCheck(): Promise<'unchanged'> {
    return new Promise((resolve) => {
      endWait = () => resolve('unchanged');
    });
  }

  async function followOwnerKey(): Promise<void> {
    const outcome = await readOwnerKey();
    if (outcome.kind === 'failed') {
      await sleep(clock, RETRY_DELAY_MILLISECONDS);
      return;
    }
    if (!outcome.value) {
      setOwner(null);
      loseTerm('owner key is absent');
      if (mayClaim && (await awaitTurnToClaim())) await claimOwnership();
      if (!term) await sleep(clock, RETRY_DELAY_MILLISECONDS);
      return;
    }
    if (term && term.ownerRevision !== outcome.value.revision) {
      loseTerm('another process is the owner');
    }
    const record = parseOwner(outcome.value);
    if (record) await resolveUnansweredClaim(record, outcome.value.revision);
    // A record with this address but without a term here was left by a former process, which answers no calls.
    setOwner(record && (record.address !== address || term) ? record : null);
    const change = await Promise.race([
      store.awaitChange(OWNER_KEY, outcome.revision, WATCH_TIMEOUT_MILLISECONDS),
      awaitCheck(),
    ]);
    if (change === 'failed') await sleep(clock, RETRY_DELAY_MILLISECONDS);
  }

  async function release(reason: string): Promise<void> {
    const released = term;
    if (!released) return;
    endTerm(reason);
    await store.endLease(released.leaseId, CALL_TIMEOUTS.maximumMilliseconds);
  }

  return {
    async run() {
      void measureLateness();
      while (!isStopped) await followOwnerKey();
    },
    owner: () => owner,
    checkOwner: () => endWait(),
    async canReachStore() {
      return (await readOwnerKey()).kind === 'answered';
    },
    isOwnerLeaseValid,
    hasPendingClaim: (epoch) => pendingClaim?.epoch === epoch,
    recordRecovery() {
      isRecovered = true;
    },
    abandonTerm: loseTerm,
    async resign() {
      mayClaim = false;
      await release('released');
    },
    async yieldOwnership(reason) {
      yieldedUntil = clock.monotonicMilliseconds() + YIELD_PAUSE_MILLISECONDS;
      await release(reason);
    },
    stop() {
      mayClaim = false;
      isStopped = true;
    },
  };
}
