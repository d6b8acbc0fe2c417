import { sleep } from '@chicorybend/common';
import type { Clock, Log, StoreClient } from '@chicorybend/common';

/** Store key of the settings that are fixed when a cell is created. */
export const CELL_SETTINGS_KEY = 'cell';
const STORE_RETRY_INTERVAL_MILLISECONDS = 500;

/** Settings that are fixed when a cell is created. */
export interface CellSettings {
  readonly partitions: number;
}

/**
 * Reads the settings of the cell, or creates the cell with the initial ones. Retries without limit while the
 * store does not answer. If several daemons create the cell at once, the first write applies to all.
 *
 * @param initial settings of a new cell; ignored if the cell exists
 * @returns settings of the cell
 */
export async function readOrCreateCellSettings(
  store: StoreClient,
  initial: CellSettings,
  clock: Clock,
  log: Log,
): Promise<CellSettings> {
  for (let attempt = 0; ; attempt += 1) {
    const entry = await store.get<CellSettings>(CELL_SETTINGS_KEY);
    if (entry.isOk() && entry.value) return entry.value.data;
    if (entry.isOk()) {
      await store.put({ key: CELL_SETTINGS_KEY, data: initial, expectedVersion: 0 });
    } else if (attempt === 0) log.warn('store did not answer; retrying', entry.error);
    await sleep(clock, entry.isOk() ? 0 : STORE_RETRY_INTERVAL_MILLISECONDS);
  }
}
