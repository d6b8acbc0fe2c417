import { sleep } from '@chicorybend/common';
import type { Clock, Result, StoreClient, StoreError } from '@chicorybend/common';

import type { AuditPointer, StoredRoot } from '../types/configurationRecords.js';
import type { AuditTrail } from './audit.js';
import { ROOT_KEY } from './configurationStore.js';
import type { ConfigurationStore } from './configurationStore.js';

const RESOLUTION_RETRY_DELAY_MILLISECONDS = 100;
const PUT_TIMEOUT_MILLISECONDS = 2_000;
const READ_TIMEOUT_MILLISECONDS = 1_000;

/** Outcome of writing the configuration root. */
export type SwapOutcome =
  | { readonly kind: 'written' }
  /** Another write came first; this one certainly had no effect. */
  | { readonly kind: 'lost' }
  /** The store gave no answer, and the write certainly had no effect. */
  | { readonly kind: 'no-effect'; readonly message: string }
  /** The root could not be read in time to find the outcome. */
  | { readonly kind: 'unknown' };

/** A root to write. The identity of its audit entry tells whether the write took effect, however often it is sent. */
export interface RootSwap {
  readonly root: StoredRoot & { readonly audit: AuditPointer };
  readonly expectedVersion: number;
  /** Monotonic time after which the write is no longer sent, in milliseconds. */
  readonly sendBefore: number;
}

/** Writes the root by compare-and-swap, and reads the root to find the outcome of a write without an answer. */
export interface RootWriter {
  swap(swap: RootSwap): Promise<SwapOutcome>;
}

export interface RootWriterOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly configurationStore: Pick<ConfigurationStore, 'readRoot'>;
  readonly audit: Pick<AuditTrail, 'contains'>;
}

/**
 * Creates the writer of the configuration root.
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

  /** @returns outcome of the write according to the present root, or null if that is not known yet */
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
   * Reads the root until it shows the outcome of the write. While the root still has the expected version, the write is
   * sent again. It takes effect at most once, because all attempts expect the same version.
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
