import { sleep } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';
import { createEligibilityEstimate } from '@chicorybend/decisions';

import type { AdviceClient, AdviceOutcome } from '../types/advice.js';
import type { AdviceSettings } from '../types/configuration.js';
import type { SchedulerMetrics } from './schedulerMetrics.js';
import type { WorkMeter } from './workMeter.js';

/** Tickets are not used this long before they expire; covers the commit and the network delay of a start. */
const EXPIRY_MARGIN_MILLISECONDS = 250;
/** Added to the configured duration of a call for its timeout. */
const CALL_MARGIN_MILLISECONDS = 1_000;
const MAXIMUM_ENDPOINTS_PER_CALL = 100;
/** Calls with a longer fixed duration count as long, and leave some channels free for shorter ones. */
const LONG_CALL_MILLISECONDS = 200;
/** Channels that long calls may not use, provided that there are more channels than this. */
const CHANNELS_RESERVED_FOR_SHORT_CALLS = 2;
/** Share of the channels that long calls may not use, where that is more. */
const SHARE_RESERVED_FOR_SHORT_CALLS = 0.15;
/** Delay before a channel is used again after a failed call. */
const FAILURE_DELAY_MILLISECONDS = 100;

const NO_ENDPOINTS: ReadonlySet<string> = new Set();

/** One incarnation of an endpoint. */
export interface EndpointIncarnation {
  readonly endpointId: string;
  readonly bornAt: number;
}

/** Cached advice about one step. */
interface StepAdvice {
  /** By endpoint: the ticket, and until when it may be used, in monotonic milliseconds. */
  readonly tickets: Map<string, { ticket: string; bornAt: number; usableUntil: number }>;
  /** By endpoint: whether that incarnation may run the step. The answer does not expire. */
  readonly eligibility: Map<string, { isEligible: boolean; bornAt: number }>;
  /** Endpoints that the calls in flight are about. */
  readonly askedEndpoints: Set<string>;
  callsInFlight: number;
  answeredCalls: number;
  failedCalls: number;
}

/** State of the advice about a step, for logs. */
export interface AdviceSummary {
  readonly callsInFlight: number;
  readonly answeredCalls: number;
  readonly failedCalls: number;
  /** Number of endpoints that may run the step. */
  readonly eligible: number;
  /** Number of tickets that are valid for long enough. */
  readonly tickets: number;
}

/** Advice call to make. */
export interface AdviceRequest {
  readonly stepId: string;
  /** Name of the queue of the step. */
  readonly queue: string;
  readonly settings: AdviceSettings;
  /** Maximum number of calls about the step in flight at the same time. */
  readonly maximumCalls: number;
  /** Called when the request is sent. @returns endpoints that the call is about; no call is made if there are none */
  chooseEndpoints(): readonly EndpointIncarnation[];
}

/** Channel to the advice service through one VM; the service accepts one call per VM at a time. */
export interface AdviceChannel {
  readonly client: AdviceClient;
  /** `<address>:<port>` of the VM. */
  readonly name: string;
  /** Number of its calls that have failed since the last answer. */
  failuresInRow: number;
  /** Request that the channel is busy with; null if it is idle. */
  requestInFlight: AdviceRequest | null;
}

/** Caches advice about steps, and requests it through the channels of all VMs in parallel. */
export interface AdviceCache {
  /** @returns the ticket for an endpoint; null if there is none that is valid for long enough */
  ticketFor(stepId: string, endpoint: EndpointIncarnation): string | null;
  /** @returns whether the step has any ticket that is valid for long enough */
  hasTickets(stepId: string): boolean;
  /** @returns ids of the endpoints for which the step has a ticket; those that have expired are included */
  ticketedEndpoints(stepId: string): Iterable<string>;
  /** @returns ids of the endpoints that may run the step, in the incarnation that was asked about */
  eligibleEndpoints(stepId: string): readonly string[];
  /** @returns ids of the endpoints that the calls in flight about the step are about */
  askedEndpoints(stepId: string): ReadonlySet<string>;
  /** @returns probability that an endpoint about which nothing is known may run a step of a queue */
  eligibleProbability(queue: string): number;
  /** @returns whether the endpoint may run the step; null if that is unknown */
  isEligible(stepId: string, endpoint: EndpointIncarnation): boolean | null;
  /** Sets the requests to make next, in order. Replaces earlier requests that have not been sent. */
  setRequests(requests: readonly AdviceRequest[]): void;
  /** @returns number of channels with a call in flight */
  busyChannels(): number;
  dropTicket(stepId: string, endpointId: string): void;
  forgetStep(stepId: string): void;
  /** @returns state of the advice about a step; null if it has not been asked about */
  describeStep(stepId: string): AdviceSummary | null;
  /** @param name `<address>:<port>` of the VM, for logs */
  addChannel(client: AdviceClient, name: string): AdviceChannel;
  removeChannel(channel: AdviceChannel): void;
}

export interface AdviceCacheOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly workMeter: WorkMeter;
  /** Called after each call, whether it was answered or failed. */
  readonly onAnswer: () => void;
}

/** Creates a cache without channels. */
export function createAdviceCache(options: AdviceCacheOptions): AdviceCache {
  const { clock, log, metrics, workMeter } = options;
  const steps = new Map<string, StepAdvice>();
  const channels: AdviceChannel[] = [];
  const estimate = createEligibilityEstimate();
  let requests: readonly AdviceRequest[] = [];

  function getOrCreateAdvice(stepId: string): StepAdvice {
    const known = steps.get(stepId);
    if (known) return known;
    const created: StepAdvice = {
      tickets: new Map(),
      eligibility: new Map(),
      askedEndpoints: new Set(),
      callsInFlight: 0,
      answeredCalls: 0,
      failedCalls: 0,
    };
    steps.set(stepId, created);
    return created;
  }

  function countTickets(stepId: string): number {
    const now = clock.monotonicMilliseconds();
    const tickets = steps.get(stepId)?.tickets.values() ?? [];
    return [...tickets].filter(({ usableUntil }) => usableUntil > now).length;
  }

  /** Only endpoints about which nothing was known tell how likely an endpoint is eligible. */
  function learnProbability(
    queue: string,
    advice: StepAdvice,
    endpoints: readonly EndpointIncarnation[],
    tickets: ReadonlyMap<string, string>,
  ): void {
    const unknown = endpoints.filter(
      ({ endpointId, bornAt }) => advice.eligibility.get(endpointId)?.bornAt !== bornAt,
    );
    const eligible = unknown.filter(({ endpointId }) => tickets.has(endpointId));
    if (unknown.length > 0) estimate.record(queue, unknown.length, eligible.length);
  }

  function recordAnswer(
    { stepId, queue }: AdviceRequest,
    endpoints: readonly EndpointIncarnation[],
    tickets: ReadonlyMap<string, string>,
    usableUntil: number,
  ): void {
    const advice = steps.get(stepId);
    if (!advice) return;
    learnProbability(queue, advice, endpoints, tickets);
    endpoints.forEach(({ endpointId, bornAt }) => {
      const ticket = tickets.get(endpointId);
      advice.eligibility.set(endpointId, { isEligible: ticket !== undefined, bornAt });
      if (ticket !== undefined) advice.tickets.set(endpointId, { ticket, bornAt, usableUntil });
    });
  }

  function countOutcome(channel: AdviceChannel, stepId: string, { kind }: AdviceOutcome): void {
    const advice = steps.get(stepId);
    if (kind === 'answered') {
      channel.failuresInRow = 0;
      if (advice) advice.answeredCalls += 1;
    } else {
      channel.failuresInRow += 1;
      if (advice) advice.failedCalls += 1;
    }
  }

  async function fetchAdvice(
    channel: AdviceChannel,
    request: AdviceRequest,
    endpoints: readonly EndpointIncarnation[],
  ): Promise<void> {
    const { stepId, settings } = request;
    const sentAt = clock.monotonicMilliseconds();
    const expected = settings.callMilliseconds + settings.endpointMilliseconds * endpoints.length;
    const timeoutMilliseconds = expected + CALL_MARGIN_MILLISECONDS;
    metrics.count('advice_calls');
    const outcome = await channel.client.advise(
      stepId,
      endpoints.map(({ endpointId }) => endpointId),
      timeoutMilliseconds,
    );
    const took = clock.monotonicMilliseconds() - sentAt;
    metrics.record('advice_milliseconds', took);
    countOutcome(channel, stepId, outcome);
    if (outcome.kind === 'answered') {
      const tickets = new Map(
        outcome.tickets.map(({ endpointId, ticket }) => [endpointId, ticket]),
      );
      // The service issues the ticket at some moment during the call; counting its validity from the start of a
      // long call would be too strict.
      const assumedIssuedAt = sentAt + Math.min(took, expected) / 2;
      const usableUntil = assumedIssuedAt + outcome.validMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
      workMeter.measure('advice', () => recordAnswer(request, endpoints, tickets, usableUntil));
      log.debug('advice call answered', {
        step: stepId,
        asked: endpoints.length,
        good: tickets.size,
        took,
      });
    } else {
      metrics.count('advice_failed');
      log.info('advice call failed', {
        step: stepId,
        channel: channel.name,
        reason: outcome.reason,
        asked: endpoints.length,
        timeout: Math.round(timeoutMilliseconds),
        took: Math.round(took),
        failuresInRow: channel.failuresInRow,
      });
      await sleep(clock, FAILURE_DELAY_MILLISECONDS);
    }
    const advice = steps.get(stepId);
    if (advice) {
      advice.callsInFlight -= 1;
      endpoints.forEach(({ endpointId }) => advice.askedEndpoints.delete(endpointId));
    }
    // Waiting requests for the step were made before this answer was known; the next round requests what is
    // still missing.
    requests = requests.filter((other) => other.stepId !== stepId);
    options.onAnswer();
  }

  function isLongCall({ settings }: AdviceRequest): boolean {
    return settings.callMilliseconds > LONG_CALL_MILLISECONDS;
  }

  function countLongCalls(): number {
    return channels.filter(
      ({ requestInFlight }) => requestInFlight !== null && isLongCall(requestInFlight),
    ).length;
  }

  function send(
    channel: AdviceChannel,
    request: AdviceRequest,
    endpoints: readonly EndpointIncarnation[],
  ): void {
    const advice = getOrCreateAdvice(request.stepId);
    advice.callsInFlight += 1;
    endpoints.forEach(({ endpointId }) => advice.askedEndpoints.add(endpointId));
    channel.requestInFlight = request;
    void fetchAdvice(channel, request, endpoints).then(() => {
      channel.requestInFlight = null;
      sendWaitingRequests();
    });
  }

  /** Channels that no long call uses, so that short calls need not wait for long ones. */
  function reservedChannels(): number {
    return Math.max(
      CHANNELS_RESERVED_FOR_SHORT_CALLS,
      Math.floor(SHARE_RESERVED_FOR_SHORT_CALLS * channels.length),
    );
  }

  /** Sends the requests of steps that have a number of calls in flight. */
  function sendRequestsOf(callsInFlight: number): void {
    const idle = channels.filter(({ requestInFlight }) => requestInFlight === null);
    let longCallsLeft = Math.max(1, channels.length - reservedChannels()) - countLongCalls();
    const pointless = new Set<AdviceRequest>();
    for (const request of requests) {
      const [channel] = idle;
      if (!channel) break;
      const isLong = isLongCall(request);
      const isDue = (steps.get(request.stepId)?.callsInFlight ?? 0) === callsInFlight;
      const maySend = isDue && request.maximumCalls > callsInFlight;
      if (maySend && (!isLong || longCallsLeft > 0)) {
        const endpoints = request.chooseEndpoints().slice(0, MAXIMUM_ENDPOINTS_PER_CALL);
        if (endpoints.length === 0) pointless.add(request);
        else {
          send(channel, request, endpoints);
          idle.shift();
          if (isLong) longCallsLeft -= 1;
        }
      }
    }
    requests = requests.filter((request) => !pointless.has(request));
  }

  function sendByCallsInFlight(): void {
    const levels = Math.max(0, ...requests.map(({ maximumCalls }) => maximumCalls));
    for (let callsInFlight = 0; callsInFlight < levels; callsInFlight += 1) {
      if (channels.every(({ requestInFlight }) => requestInFlight !== null)) return;
      sendRequestsOf(callsInFlight);
    }
  }

  /** Further calls about a step use only channels that no step without a call needs. */
  function sendWaitingRequests(): void {
    workMeter.measure('advice', sendByCallsInFlight);
  }

  return {
    ticketFor(stepId, { endpointId, bornAt }) {
      const entry = steps.get(stepId)?.tickets.get(endpointId);
      if (!entry || entry.bornAt !== bornAt) return null;
      return entry.usableUntil > clock.monotonicMilliseconds() ? entry.ticket : null;
    },
    ticketedEndpoints: (stepId) => steps.get(stepId)?.tickets.keys() ?? [],
    eligibleEndpoints: (stepId) =>
      [...(steps.get(stepId)?.eligibility ?? [])].flatMap(([endpointId, { isEligible }]) =>
        isEligible ? [endpointId] : [],
      ),
    askedEndpoints: (stepId) => steps.get(stepId)?.askedEndpoints ?? NO_ENDPOINTS,
    eligibleProbability: (queue) => estimate.probability(queue),
    isEligible(stepId, { endpointId, bornAt }) {
      const entry = steps.get(stepId)?.eligibility.get(endpointId);
      return entry?.bornAt === bornAt ? entry.isEligible : null;
    },
    hasTickets: (stepId) => countTickets(stepId) > 0,
    describeStep(stepId) {
      const advice = steps.get(stepId);
      if (!advice) return null;
      const { callsInFlight, answeredCalls, failedCalls, eligibility } = advice;
      const eligible = [...eligibility.values()].filter(({ isEligible }) => isEligible).length;
      return { callsInFlight, answeredCalls, failedCalls, eligible, tickets: countTickets(stepId) };
    },
    setRequests(next) {
      requests = next;
      sendWaitingRequests();
    },
    busyChannels: () => channels.filter(({ requestInFlight }) => requestInFlight !== null).length,
    dropTicket(stepId, endpointId) {
      steps.get(stepId)?.tickets.delete(endpointId);
    },
    forgetStep(stepId) {
      steps.delete(stepId);
    },
    addChannel(client, name) {
      const channel: AdviceChannel = { client, name, failuresInRow: 0, requestInFlight: null };
      channels.push(channel);
      sendWaitingRequests();
      return channel;
    },
    removeChannel(channel) {
      const position = channels.indexOf(channel);
      if (position >= 0) channels.splice(position, 1);
    },
  };
}
