import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { collectCancellationRows } from './cancellationRows.js';
import { collectFullPoolRows } from './fullPoolRows.js';
import { collectPlacementRows } from './placementRows.js';
import { collectReplayRows } from './replayRows.js';

export type { BenchOptions, BenchRow } from '@chicorybend/common';

/**
 * Measures placement, cancellation and the replay of traces.
 *
 * @returns rows with their bounds; the bounds are the stated targets
 */
export async function collectDecisionRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  return [
    ...collectPlacementRows(options),
    ...collectFullPoolRows(options),
    ...collectCancellationRows(options),
    ...collectReplayRows(options),
  ];
}
