import { sleep } from '@chicorybend/common';
import type { Clock, Result, StoreClient, StoreError } from '@chicorybend/common';

import type { AuditPointer, StoredRoot } from '../types/configurationRecords.js';
import type { AuditTrail } from './audit.js';
import { ROOT_KEY } from './configurationStore.js';
import type { ConfigurationStore } from './configurationStore.js';

const RESOLUTION_RETRY_DELAY_MILLISECONDS = 100;
const PUT_TIMEOUT_MILLISECONDS = 2_000;
const READ_TIMEOUT_MILLISECONDS = 1_000;

/** Outcome of a change of the root. */
export type SwapOutcome =
  | { readonly kind: 'written' }
  /** Another change came first; certainly not written. */
  | { readonly kind: 'lost' }
  /** The store gave no answer, and the write certainly had no effect. */
  | { readonly kind: 'no-effect'; readonly message: string }
  /** Not known even after reading. */
  | { readonly kind: 'unknown' };

/** A root to write. Its audit entry identifies the change, however often it is sent. */
export interface RootSwap {
  readonly root: StoredRoot & { readonly audit: AuditPointer };
  readonly expectedVersion: number;
  /** Monotonic time after which the write is not sent any more, in milliseconds. */
  readonly sendBefore: number;
}

/** Changes the root by compare-and-swap and finds out what became of a write without an answer. */
export interface RootWriter {
  swap(swap: RootSwap): Promise<SwapOutcome>;
}

/** What a root writer needs. */
export interface RootWriterOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly configurationStore: Pick<ConfigurationStore, 'readRoot'>;
  readonly audit: Pick<AuditTrail, 'contains'>;
}

/**
 * Creates the writer of the root.
 *
 * @param options clock, store and audit trail
 * @returns the writer
 */
export function createRootWriter(options: RootWriterOptions): RootWriter {
  const { clock, store, configurationStore, audit } = options;

  async function put(
    swap: RootSwap,
  ): Promise<Result<'written' | 'conflict' | 'uncertain', StoreError>> {
    const remaining = swap.sendBefore - clock.monotonicMilliseconds();
    const outcome = await store.put(
      { key: ROOT_KEY, data: swap.root, expectedVersion: swap.expectedVersion },
      { deadlineMilliseconds: Math.min(PUT_TIMEOUT_MILLISECONDS, remaining) },
    );
    return outcome.map((result) => {
      if (result.kind === 'written') return 'written';
      return result.isDefinite ? 'conflict' : 'uncertain';
    });
  }

  /** @returns what the root says about the write, or null if it says nothing yet */
  async function readOutcome(swap: RootSwap): Promise<SwapOutcome | null> {
    const reading = await configurationStore.readRoot(READ_TIMEOUT_MILLISECONDS);
    if (reading.isErr()) return null;
    const { root, version } = reading.value;
    if (version === swap.expectedVersion) return null;
    const contained = await audit.contains(root, swap.root.audit);
    if (contained.isErr()) return null;
    return { kind: contained.value ? 'written' : 'lost' };
  }

  /**
   * Reads until the root shows what became of the write. While the expected version is in place, the same change is
   * sent again: it can take effect once only, because both writes expect that version.
   */
  async function resolveOutcome(swap: RootSwap): Promise<SwapOutcome> {
    while (clock.monotonicMilliseconds() < swap.sendBefore) {
      const outcome = await readOutcome(swap);
      if (outcome) return outcome;
      if (clock.monotonicMilliseconds() >= swap.sendBefore) break;
      const retried = await put(swap);
      if (retried.isOk() && retried.value === 'written') return { kind: 'written' };
      await sleep(clock, RESOLUTION_RETRY_DELAY_MILLISECONDS);
    }
    return (await readOutcome(swap)) ?? { kind: 'unknown' };
  }

  return {
    async swap(swap) {
      if (clock.monotonicMilliseconds() >= swap.sendBefore) {
        return { kind: 'no-effect', message: 'no time left to write' };
      }
      const outcome = await put(swap);
      if (outcome.isErr()) {
        if (outcome.error.kind === 'unresolved') return resolveOutcome(swap);
        return { kind: 'no-effect', message: outcome.error.message };
      }
      if (outcome.value === 'uncertain') return resolveOutcome(swap);
      return { kind: outcome.value === 'written' ? 'written' : 'lost' };
    },
  };
}
