import { sleep } from '@chicorybend/common';
import type { Clock, Log, StoreClient } from '@chicorybend/common';

/** Key of the settings that are fixed when a cell is created. */
export const CELL_SETTINGS_KEY = 'cell';
const STORE_RETRY_INTERVAL_MILLISECONDS = 500;

/** Settings that are fixed when a cell is created. */
export interface CellSettings {
  readonly partitions: number;
}

/**
 * Reads the cell's settings, or creates the cell with the wanted ones. Waits for the store.
 *
 * @param store client of the platform's store
 * @param initialSettings settings of a new cell
 * @param clock source of time
 * @param log log
 * @returns settings of the cell
 */
export async function readOrCreateCellSettings(
  store: StoreClient,
  initialSettings: CellSettings,
  clock: Clock,
  log: Log,
): Promise<CellSettings> {
  for (let attempt = 0; ; attempt += 1) {
    const entry = await store.get<CellSettings>(CELL_SETTINGS_KEY);
    if (entry.isOk() && entry.value) return entry.value.data;
    if (entry.isOk())
      await store.put({ key: CELL_SETTINGS_KEY, data: initialSettings, expectedVersion: 0 });
    else if (attempt === 0) log.warn('store does not answer; waiting', entry.error);
    await sleep(clock, entry.isOk() ? 0 : STORE_RETRY_INTERVAL_MILLISECONDS);
  }
}
