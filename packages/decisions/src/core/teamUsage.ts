import type { Resources } from '@chicorybend/common';

import { computeDominantShare } from '../utils/dominantShare.js';
import { addResources, NO_RESOURCES } from '../utils/resourceAmounts.js';

const DEFAULT_SHARE = 1;

/** Usage and queued items of one team. */
export interface TeamState {
  readonly name: string;
  used: Resources;
  /** Dominant share divided by the team's fraction of all weights: 1 when it uses exactly its share. */
  weightedShare: number;
  /** Number of queued items. */
  waitingCount: number;
}

/** Usage and weights of all teams. */
export interface TeamUsage {
  /** @returns state of a team, which is created on first use */
  stateOf(name: string): TeamState;
  all(): Iterable<TeamState>;
  setShares(shares: Readonly<Record<string, number>>): void;
  setUsage(usage: Readonly<Record<string, Resources>>): void;
  setCapacity(capacity: Resources): void;
  /** Adds the resources of `taskCount` tasks to the usage of a team, until the next `setUsage`. */
  charge(name: string, resources: Resources, taskCount: number): void;
}

export function createTeamUsage(): TeamUsage {
  const teams = new Map<string, TeamState>();
  let shares: Readonly<Record<string, number>> = {};
  let totalWeight = DEFAULT_SHARE;
  let capacity: Resources = NO_RESOURCES;

  function refresh(team: TeamState): void {
    const weight = shares[team.name] ?? DEFAULT_SHARE;

    team.weightedShare = (computeDominantShare(team.used, capacity) * totalWeight) / weight;
  }

  function stateOf(name: string): TeamState {
    let team = teams.get(name);
    if (!team) {
      team = { name, used: NO_RESOURCES, weightedShare: 0, waitingCount: 0 };
      teams.set(name, team);
    }
    return team;
  }

  return {
    stateOf,
    all: () => teams.values(),
    setShares(newShares) {
      shares = newShares;
      const sum = Object.values(newShares).reduce((total, weight) => total + weight, 0);
      totalWeight = sum > 0 ? sum : DEFAULT_SHARE;
      teams.forEach(refresh);
    },
    setUsage(usage) {
      Object.keys(usage).forEach(stateOf);
      teams.forEach((team) => {
        team.used = usage[team.name] ?? NO_RESOURCES;
        refresh(team);
      });
    },
    setCapacity(newCapacity) {
      capacity = newCapacity;
      teams.forEach(refresh);
    },
    charge(name, resources, taskCount) {
      const team = stateOf(name);
      team.used = addResources(team.used, resources, taskCount);
      refresh(team);
    },
  };
}
