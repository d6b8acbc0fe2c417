import type { ClusterStore, EvacuationSource } from '@chicorybend/scheduler';

/** Prefix of the keys that name data centres out of service. */
export const EVACUATION_PREFIX = 'evacuated/';

/**
 * Creates a source that reads the keys under a prefix of a store, and is subject to the faults of its client.
 *
 * @param isReadable returns whether reads are answered besides
 */
export function createEvacuationSourceStandIn(
  store: ClusterStore,
  isReadable: () => boolean,
): EvacuationSource {
  return {
    async read(timeoutMilliseconds) {
      const outcome = await store.list(EVACUATION_PREFIX, timeoutMilliseconds);
      if (outcome.kind === 'failed') return outcome;
      if (!isReadable()) return { kind: 'failed', reason: 'lost' };
      const names = outcome.value.map(({ key }) => key.slice(EVACUATION_PREFIX.length));
      return { kind: 'answered', dataCentres: new Set(names), revision: outcome.revision };
    },
  };
}
