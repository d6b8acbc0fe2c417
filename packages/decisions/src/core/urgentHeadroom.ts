import { hashText } from '@chicorybend/common';

/** The headroom is this multiple of the recent peak of the urgent demand, because tasks do not fit without gaps. */
const MARGIN_FACTOR = 1.25;
/** Maximum share of the processors of a service that is kept for urgent work. */
const MAXIMUM_SHARE = 0.4;
/** No room is kept while less than this share of the processors is in use, because there is room for all. */
const MINIMUM_SHARE_IN_USE = 0.4;
/** Time in which the remembered peak halves, in milliseconds; outlasts the pauses between bursts. */
const HALF_LIFE_MILLISECONDS = 8_000;

/** An endpoint on which urgent work can run. */
export interface HeadroomEndpoint {
  readonly endpointId: string;
  readonly processors: number;
}

/** Load of a service. */
export interface ServiceLoad {
  /** Processors of the urgent tasks that run or wait. */
  readonly urgentDemand: number;
  /** Processors of all tasks that run. */
  readonly inUse: number;
  /** Endpoints that accept work. */
  readonly endpoints: readonly HeadroomEndpoint[];
}

/** Chooses the endpoints of a service that only urgent work gets new room on. */
export interface UrgentHeadroom {
  /**
   * @param load load of the service
   * @param now current time, in monotonic milliseconds
   * @returns ids of the chosen endpoints
   */
  choose(load: ServiceLoad, now: number): ReadonlySet<string>;
}

/**
 * Creates headroom that follows the recent peak of the urgent demand.
 *
 * Batch tasks run for seconds and fill every gap. Without headroom, an urgent task waits for the end of one of them,
 * which alone exceeds its objective. Whole endpoints are kept instead of a part of each, so that the room fits tasks
 * of any size. The order of the endpoints is fixed, so that the choice changes little with the demand.
 */
export function createUrgentHeadroom(): UrgentHeadroom {
  let peak = 0;
  let updatedAt = -Infinity;

  return {
    choose({ urgentDemand, inUse, endpoints }, now) {
      const elapsed = Math.max(0, now - updatedAt);
      peak = Math.max(urgentDemand, peak * 0.5 ** (elapsed / HALF_LIFE_MILLISECONDS));
      updatedAt = now;
      const total = endpoints.reduce((sum, { processors }) => sum + processors, 0);
      if (inUse < MINIMUM_SHARE_IN_USE * total) return new Set();
      const wanted = Math.min(MARGIN_FACTOR * peak, MAXIMUM_SHARE * total);
      const ordered = endpoints
        .map((endpoint) => ({ endpoint, key: hashText(endpoint.endpointId) }))
        .sort((left, right) => left.key - right.key);
      const chosen = new Set<string>();
      let processors = 0;
      for (const { endpoint } of ordered) {
        if (processors + endpoint.processors > wanted) break;
        chosen.add(endpoint.endpointId);
        processors += endpoint.processors;
      }
      return chosen;
    },
  };
}
