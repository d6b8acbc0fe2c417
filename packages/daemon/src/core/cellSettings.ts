import { sleep } from '@chicorybend/common';
import type { Clock, Log, StoreClient } from '@chicorybend/common';

/** Key of the settings that are fixed when a cell is created. */
export const CELL_KEY = 'cell';
const RETRY_MILLISECONDS = 500;

/** Settings that are fixed when a cell is created. */
export interface CellSettings {
  readonly partitions: number;
}

/**
 * Reads the cell's settings, or creates the cell with the wanted ones. Waits for the store.
 *
 * @param store client of the platform's store
 * @param wanted settings of a new cell
 * @param clock source of time
 * @param log log
 * @returns settings of the cell
 */
export async function readOrCreateCell(
  store: StoreClient,
  wanted: CellSettings,
  clock: Clock,
  log: Log,
): Promise<CellSettings> {
  for (let attempt = 0; ; attempt += 1) {
    const entry = await store.get<CellSettings>(CELL_KEY);
    if (entry.isOk() && entry.value) return entry.value.data;
    if (entry.isOk()) await store.put({ key: CELL_KEY, data: wanted, expectedVersion: 0 });
    else if (attempt === 0) log.warn('store does not answer; waiting', entry.error);
    await sleep(clock, entry.isOk() ? 0 : RETRY_MILLISECONDS);
  }
}
