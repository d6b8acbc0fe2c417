import type { Resources } from '@chicorybend/common';

import { computeDominantShare } from '../utils/dominantShare.js';
import { addResources, NO_RESOURCES } from '../utils/resourceAmounts.js';

const DEFAULT_SHARE = 1;

/** What a team uses, as far as it is known. */
export interface TeamState {
  readonly name: string;
  used: Resources;
  /** Dominant share divided by the team's part of all weights: 1 when it uses exactly its share. */
  weightedShare: number;
  /** Pieces of work that wait. */
  waitingCount: number;
}

/** Usage and weights of all teams. */
export interface TeamUsage {
  /** @returns state of a team, which is created if it is not known */
  stateOf(name: string): TeamState;
  all(): Iterable<TeamState>;
  setShares(shares: Readonly<Record<string, number>>): void;
  setUsage(usage: Readonly<Record<string, Resources>>): void;
  setCapacity(capacity: Resources): void;
  /** Adds to what a team uses until the next `setUsage`. */
  charge(name: string, resources: Resources, count: number): void;
}

/** @returns usage of no teams */
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
    setShares(next) {
      shares = next;
      const sum = Object.values(next).reduce((total, weight) => total + weight, 0);
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
    setCapacity(next) {
      capacity = next;
      teams.forEach(refresh);
    },
    charge(name, resources, count) {
      const team = stateOf(name);
      team.used = addResources(team.used, resources, count);
      refresh(team);
    },
  };
}
