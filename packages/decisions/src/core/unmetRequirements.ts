import { RESOURCE_DIMENSIONS } from '@chicorybend/common';

import type { EndpointRequirements } from './chooseEndpoint.js';

/**
 * Requirements that no endpoint of a round meets at present, so that the steps of a backlog that require as much need
 * not be compared with each endpoint again. They become void when an endpoint gets room during the round.
 */
export interface UnmetRequirements {
  /** Records that {@link canHost} is false for each endpoint; no effect where that may not hold for other steps. */
  record(requirements: EndpointRequirements): void;
  /** @returns whether {@link canHost} is certainly false for each endpoint */
  isImplied(requirements: EndpointRequirements): boolean;
  clear(): void;
}

function mayUseKeptEndpoints({ isUrgent, isLongRunning }: EndpointRequirements): boolean {
  return isUrgent || isLongRunning;
}

/** @returns whether no endpoint can host a task with the requirements `other` if none can with `unmet` */
function implies(unmet: EndpointRequirements, other: EndpointRequirements): boolean {
  return (
    (other.isFilling || !unmet.isFilling) &&
    (mayUseKeptEndpoints(unmet) || !mayUseKeptEndpoints(other)) &&
    RESOURCE_DIMENSIONS.every((name) => other.resources[name] >= unmet.resources[name])
  );
}

/** Creates a record without requirements. */
export function createUnmetRequirements(): UnmetRequirements {
  let recorded: EndpointRequirements[] = [];

  return {
    record(requirements) {
      if (requirements.trial === null && requirements.maximumPerEndpoint === 0) {
        recorded.push(requirements);
      }
    },
    isImplied: (requirements) =>
      requirements.trial === null && recorded.some((unmet) => implies(unmet, requirements)),
    clear() {
      recorded = [];
    },
  };
}
