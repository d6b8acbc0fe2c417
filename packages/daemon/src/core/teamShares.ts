/**
 * Capacity of the cell and what its teams use, as last heard from the owners of workers.
 */
import type { Resources } from '@chicorybend/common';
import { addResources, computeDominantShare, NO_RESOURCES } from '@chicorybend/decisions';
import type { TaskQueue, TeamShare } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';

import type { JobPartitionContext } from './jobPartitionContext.js';

const SHARES_INTERVAL_MILLISECONDS = 500;
/** Capacity and positions are read for each piece of work that finds no room, and for each owner asked. */
const READING_VALID_MILLISECONDS = 100;

/** Shares of the teams, for the order of a queue. */
export interface TeamShares {
  /** Tells the queue about weights, usage and capacity, unless it was told a moment ago. */
  updateQueue(queue: TaskQueue): void;
  cellCapacity(): Resources;
  /** @returns part of the cell that some resources take */
  dominantShareOf(resources: Resources): number;
  /** @returns positions of the configured teams against their shares of the whole cell */
  byTeam(): Readonly<Record<string, TeamShare>>;
}

/**
 * Creates the shares of one job partition.
 *
 * @param context parts of the partition
 * @param configuration weights of the teams
 * @returns the shares
 */
export function createTeamShares(
  { clock, vmDirectory, loadBoard }: JobPartitionContext,
  configuration: ConfigurationView,
): TeamShares {
  let refreshedAt = Number.NEGATIVE_INFINITY;
  let computedAt = Number.NEGATIVE_INFINITY;
  let summedAt = Number.NEGATIVE_INFINITY;
  let summedCapacity = NO_RESOURCES;
  let positions: Readonly<Record<string, TeamShare>> = {};

  function usageOfCell(): Readonly<Record<string, Resources>> {
    const total: Record<string, Resources> = {};
    loadBoard.loads().forEach(({ usedByTeam }) => {
      Object.entries(usedByTeam ?? {}).forEach(([team, used]) => {
        total[team] = addResources(total[team] ?? NO_RESOURCES, used);
      });
    });
    return total;
  }

  function capacity(): Resources {
    const now = clock.monotonicMilliseconds();
    if (now - summedAt < READING_VALID_MILLISECONDS) return summedCapacity;
    summedAt = now;
    summedCapacity = vmDirectory
      .workers()
      .reduce((sum, vm) => addResources(sum, vm.capacity ?? NO_RESOURCES), NO_RESOURCES);
    return summedCapacity;
  }

  function computePositions(): Readonly<Record<string, TeamShare>> {
    const total = capacity();
    const usage = usageOfCell();
    const teams = Object.entries(configuration.current()?.teams ?? {});
    const weights = teams.reduce((sum, [, { share }]) => sum + share, 0);
    const entries = teams.map(([team, { share }]): [string, TeamShare] => [
      team,
      {
        dominantShare: computeDominantShare(usage[team] ?? NO_RESOURCES, total),
        fairShare: share / weights,
      },
    ]);
    return Object.fromEntries(entries);
  }

  return {
    cellCapacity: capacity,
    dominantShareOf: (resources) => computeDominantShare(resources, capacity()),
    byTeam() {
      const now = clock.monotonicMilliseconds();
      if (now - computedAt >= READING_VALID_MILLISECONDS) {
        computedAt = now;
        positions = computePositions();
      }
      return positions;
    },
    updateQueue(queue) {
      const now = clock.monotonicMilliseconds();
      if (now - refreshedAt < SHARES_INTERVAL_MILLISECONDS) return;
      refreshedAt = now;
      const teams = Object.entries(configuration.current()?.teams ?? {});
      queue.setShares(Object.fromEntries(teams.map(([team, { share }]) => [team, share])));
      queue.setCapacity(capacity());
      queue.setUsage(usageOfCell());
    },
  };
}
