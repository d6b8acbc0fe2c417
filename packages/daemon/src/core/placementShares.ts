/**
 * Capacity of the cell and what its teams use, as last heard from the owners of workers.
 */
import type { Resources } from '@chicorybend/common';
import type { TaskQueue } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';

import type { JobContext } from './jobContext.js';

const SHARES_INTERVAL_MILLISECONDS = 500;
const NONE: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

function add(left: Resources, right: Resources | undefined): Resources {
  return {
    processors: left.processors + (right?.processors ?? 0),
    memoryBytes: left.memoryBytes + (right?.memoryBytes ?? 0),
    accelerators: left.accelerators + (right?.accelerators ?? 0),
  };
}

/** Shares of the teams, for the order of a queue. */
export interface PlacementShares {
  /** Tells the queue about weights, usage and capacity, unless it was told a moment ago. */
  refresh(queue: TaskQueue): void;
}

/**
 * Creates the shares of one job partition.
 *
 * @param context parts of the partition
 * @param configuration weights of the teams
 * @returns the shares
 */
export function createPlacementShares(
  { clock, vmDirectory, loadBoard }: JobContext,
  configuration: ConfigurationView,
): PlacementShares {
  let refreshedAt = Number.NEGATIVE_INFINITY;

  function usageOfCell(): Readonly<Record<string, Resources>> {
    const total: Record<string, Resources> = {};
    loadBoard.loads().forEach(({ usedByTeam }) => {
      Object.entries(usedByTeam ?? {}).forEach(([team, used]) => {
        total[team] = add(total[team] ?? NONE, used);
      });
    });
    return total;
  }

  return {
    refresh(queue) {
      const now = clock.monotonicMilliseconds();
      if (now - refreshedAt < SHARES_INTERVAL_MILLISECONDS) return;
      refreshedAt = now;
      const teams = Object.entries(configuration.current()?.teams ?? {});
      queue.setShares(Object.fromEntries(teams.map(([team, { share }]) => [team, share])));
      queue.setCapacity(
        vmDirectory.workers().reduce((sum, { capacity }) => add(sum, capacity), NONE),
      );
      queue.setUsage(usageOfCell());
    },
  };
}
