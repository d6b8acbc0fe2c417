/**
 * Shares of the teams in the capacity of the cell, computed from the loads that the owners of workers report.
 */
import type { Resources } from '@chicorybend/common';
import { addResources, computeDominantShare, NO_RESOURCES } from '@chicorybend/decisions';
import type { TaskQueue, TeamShare } from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';

import type { JobPartitionContext } from './jobPartitionContext.js';

const QUEUE_UPDATE_INTERVAL_MILLISECONDS = 500;
/** Capacity and shares are read for every task without capacity and every reclaim request, so they are cached. */
const CACHE_VALIDITY_MILLISECONDS = 100;

/** Shares of the teams, for the order of the queue and for reclaim requests. */
export interface TeamShares {
  /** Sets weights, usage and capacity in the queue, at most twice per second. */
  updateQueue(queue: TaskQueue): void;
  /** @returns sum of the capacities of all workers */
  cellCapacity(): Resources;
  /** @returns the largest fraction that the resources take of any dimension of the cell's capacity */
  dominantShareOf(resources: Resources): number;
  /** @returns dominant and fair share of each configured team in the whole cell */
  byTeam(): Readonly<Record<string, TeamShare>>;
}

export function createTeamShares(
  { clock, vmDirectory, loadBoard }: JobPartitionContext,
  configuration: ConfigurationView,
): TeamShares {
  let queueUpdatedAt = Number.NEGATIVE_INFINITY;
  let sharesComputedAt = Number.NEGATIVE_INFINITY;
  let capacityComputedAt = Number.NEGATIVE_INFINITY;
  let cachedCapacity = NO_RESOURCES;
  let sharesByTeam: Readonly<Record<string, TeamShare>> = {};

  function sumUsageByTeam(): Readonly<Record<string, Resources>> {
    const total: Record<string, Resources> = {};
    loadBoard.loads().forEach(({ usedByTeam }) => {
      Object.entries(usedByTeam ?? {}).forEach(([team, used]) => {
        total[team] = addResources(total[team] ?? NO_RESOURCES, used);
      });
    });
    return total;
  }

  function cellCapacity(): Resources {
    const now = clock.monotonicMilliseconds();
    if (now - capacityComputedAt < CACHE_VALIDITY_MILLISECONDS) return cachedCapacity;
    capacityComputedAt = now;
    cachedCapacity = vmDirectory
      .workers()
      .reduce((sum, vm) => addResources(sum, vm.capacity ?? NO_RESOURCES), NO_RESOURCES);
    return cachedCapacity;
  }

  function computeSharesByTeam(): Readonly<Record<string, TeamShare>> {
    const total = cellCapacity();
    const usage = sumUsageByTeam();
    const teams = Object.entries(configuration.current()?.teams ?? {});
    const totalWeight = teams.reduce((sum, [, { share }]) => sum + share, 0);
    const entries = teams.map(([team, { share }]): [string, TeamShare] => [
      team,
      {
        dominantShare: computeDominantShare(usage[team] ?? NO_RESOURCES, total),
        fairShare: share / totalWeight,
      },
    ]);
    return Object.fromEntries(entries);
  }

  return {
    cellCapacity,
    dominantShareOf: (resources) => computeDominantShare(resources, cellCapacity()),
    byTeam() {
      const now = clock.monotonicMilliseconds();
      if (now - sharesComputedAt >= CACHE_VALIDITY_MILLISECONDS) {
        sharesComputedAt = now;
        sharesByTeam = computeSharesByTeam();
      }
      return sharesByTeam;
    },
    updateQueue(queue) {
      const now = clock.monotonicMilliseconds();
      if (now - queueUpdatedAt < QUEUE_UPDATE_INTERVAL_MILLISECONDS) return;
      queueUpdatedAt = now;
      const teams = Object.entries(configuration.current()?.teams ?? {});
      queue.setShares(Object.fromEntries(teams.map(([team, { share }]) => [team, share])));
      queue.setCapacity(cellCapacity());
      queue.setUsage(sumUsageByTeam());
    },
  };
}
