import type { EndpointEntry } from '@chicorybend/scheduler';
import type { EndpointFleetStandIn, FleetEndpointFaults } from '@chicorybend/standins';

import type { Random } from '../utils/random.js';

type LateOrders = Pick<
  FleetEndpointFaults,
  | 'unansweredStartDelayMilliseconds'
  | 'unansweredHoldDelayMilliseconds'
  | 'unansweredStopDelayMilliseconds'
  | 'lateOrderFraction'
>;

export const NO_LATE_ORDERS: LateOrders = {
  unansweredStartDelayMilliseconds: null,
  unansweredHoldDelayMilliseconds: null,
  unansweredStopDelayMilliseconds: null,
  lateOrderFraction: 1,
};

const LATE_KINDS: readonly (readonly ('Start' | 'Hold' | 'Stop')[])[] = [
  ['Start'],
  ['Hold'],
  ['Start', 'Hold'],
  ['Start', 'Stop'],
  ['Start', 'Hold', 'Stop'],
];
const LATE_FRACTIONS = [1, 1, 0.5, 0.2];
const LATE_ENDPOINT_FRACTION = 0.7;
const OWNER_KILL_FRACTION = 0.25;
const LONGEST_SERIES = 3;
/** Time between the starts of two series. */
export const SERIES_GAP = { shortestMilliseconds: 1_000, longestMilliseconds: 6_000 };

export interface RestartEpisodeOptions {
  readonly fleet: EndpointFleetStandIn;
  readonly random: Random;
  /** Runs a call after a delay, unless the faults have ended by then. */
  readonly later: (delayMilliseconds: number, call: () => void) => void;
  readonly killOwner: () => void;
  readonly restart: (endpointId: string) => void;
  readonly report: (text: string) => void;
}

/** Series of restarts under the same id behind a cut, each followed by a longer cut, with orders that are late. */
export interface RestartEpisodes {
  start(entries: readonly EndpointEntry[]): void;
}

export function createRestartEpisodes(options: RestartEpisodeOptions): RestartEpisodes {
  const { fleet, random, later, report } = options;

  function setCut(endpointIds: readonly string[], isCutOff: boolean): void {
    report(`${isCutOff ? 'cut' : 'end of the cut'} of ${endpointIds.join(' ')}`);
    endpointIds.forEach((endpointId) => Object.assign(fleet.faultsOf(endpointId), { isCutOff }));
  }

  function delayOrders(endpointIds: readonly string[], milliseconds: number): void {
    const kinds = random.pick(LATE_KINDS);
    const lateOrderFraction = random.pick(LATE_FRACTIONS);
    const late = endpointIds.filter(() => random.chance(LATE_ENDPOINT_FRACTION));
    report(
      `${kinds.join(', ')} late (${lateOrderFraction}) at ${late.join(' ')} for ${milliseconds} ms`,
    );
    late.forEach((endpointId) => {
      const faults = fleet.faultsOf(endpointId);
      const delays = kinds.map((kind) => [
        `unanswered${kind}DelayMilliseconds`,
        random.integer(500, 12_000),
      ]);
      Object.assign(faults, NO_LATE_ORDERS, Object.fromEntries(delays), { lateOrderFraction });
      later(milliseconds, () => Object.assign(faults, NO_LATE_ORDERS));
    });
  }

  function restartAll(endpointIds: readonly string[], spreadMilliseconds: number): void {
    endpointIds.forEach((endpointId) =>
      later(random.integer(0, spreadMilliseconds), () => {
        report(`restart of ${endpointId}`);
        options.restart(endpointId);
      }),
    );
  }

  function runEpisode(endpointIds: readonly string[], episodes: number): void {
    const cutAt = random.integer(0, 2_000);
    const cutMilliseconds = random.integer(2, random.pick([2, 400, 2_500]));
    const cutEndsAt = cutAt + cutMilliseconds;
    const nextCutAt = cutEndsAt + random.integer(100, 2_000);
    const nextCutEndsAt = nextCutAt + random.integer(3_000, 12_000);
    delayOrders(endpointIds, random.integer(200, nextCutAt));
    later(cutAt, () => {
      setCut(endpointIds, true);
      restartAll(endpointIds, cutMilliseconds - 1);
    });
    later(cutEndsAt, () => setCut(endpointIds, false));
    later(nextCutAt, () => setCut(endpointIds, true));
    later(nextCutEndsAt, () => setCut(endpointIds, false));
    if (random.chance(OWNER_KILL_FRACTION)) {
      later(random.integer(0, nextCutEndsAt + 1_000), options.killOwner);
    }
    if (episodes <= 1) return;
    later(random.integer(cutEndsAt, nextCutEndsAt + 3_000), () =>
      runEpisode(endpointIds, episodes - 1),
    );
  }

  return {
    start(entries) {
      const endpointIds = entries.map(({ endpointId }) => endpointId);
      runEpisode(endpointIds, random.integer(1, LONGEST_SERIES));
    },
  };
}
