import { sleep } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import type { AdviceClient } from '../types/advice.js';
import type { AdviceSettings } from '../types/configuration.js';
import type { SchedulerMetrics } from './schedulerMetrics.js';

/** A ticket is not used in the last part of its life, in milliseconds; covers a commit and the way of a start. */
const EXPIRY_MARGIN_MILLISECONDS = 250;
/** A call may take this much longer than announced, in milliseconds. */
const CALL_MARGIN_MILLISECONDS = 1_000;
/** Most endpoints of one call. */
const MAXIMUM_ENDPOINTS_PER_CALL = 100;
/** Calls that take longer than this leave lines free for shorter ones, in milliseconds. */
const LONG_CALL_MILLISECONDS = 200;
/** Lines that are kept free of long calls, where there are more than this. */
const CHANNELS_RESERVED_FOR_SHORT_CALLS = 2;
/** Pause of a line after a failed call, in milliseconds. */
const FAILURE_DELAY_MILLISECONDS = 100;

/** An endpoint that is asked about. */
export interface EndpointIncarnation {
  readonly endpointId: string;
  readonly bornAt: number;
}

/** What is known about one step. */
interface StepAdvice {
  /** By endpoint: ticket and the time until which it is used, in monotonic milliseconds. */
  readonly tickets: Map<string, { ticket: string; bornAt: number; usableUntil: number }>;
  /** By endpoint: whether its incarnation may run the step; the answer does not change. */
  readonly eligibility: Map<string, { isEligible: boolean; bornAt: number }>;
  isCallInFlight: boolean;
}

/** What is to be asked. */
export interface AdviceRequest {
  readonly stepId: string;
  readonly endpoints: readonly EndpointIncarnation[];
  readonly settings: AdviceSettings;
}

/** One VM from which the advice service takes one call at a time. */
export interface AdviceChannel {
  readonly client: AdviceClient;
  /** The call that it is busy with. */
  requestInFlight: AdviceRequest | null;
}

/** Tickets for steps, asked for over all VMs at once. */
export interface AdviceCache {
  /** @returns the ticket for an endpoint, or null if there is none that is valid for long enough */
  ticketFor(stepId: string, endpoint: EndpointIncarnation): string | null;
  /** @returns whether there is a ticket for the step that is valid for long enough */
  hasTickets(stepId: string): boolean;
  /** @returns whether the endpoint may run the step; null if it is not known */
  isEligible(stepId: string, endpoint: EndpointIncarnation): boolean | null;
  /** Sets what is to be asked next, in order; replaces what was set before and is not being asked. */
  setRequests(requests: readonly AdviceRequest[]): void;
  /** @returns number of calls that are being answered */
  busyChannels(): number;
  dropTicket(stepId: string, endpointId: string): void;
  forgetStep(stepId: string): void;
  addChannel(client: AdviceClient): AdviceChannel;
  removeChannel(channel: AdviceChannel): void;
}

/** What the desk needs. */
export interface AdviceCacheOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly onAnswer: () => void;
}

/**
 * Creates a desk without lines.
 *
 * @param options collaborators
 * @returns desk
 */
export function createAdviceCache(options: AdviceCacheOptions): AdviceCache {
  const { clock, log, metrics } = options;
  const steps = new Map<string, StepAdvice>();
  const channels: AdviceChannel[] = [];
  let requests: readonly AdviceRequest[] = [];

  function getOrCreateAdvice(stepId: string): StepAdvice {
    const known = steps.get(stepId);
    if (known) return known;
    const created: StepAdvice = {
      tickets: new Map(),
      eligibility: new Map(),
      isCallInFlight: false,
    };
    steps.set(stepId, created);
    return created;
  }

  function recordAnswer(
    request: AdviceRequest,
    tickets: ReadonlyMap<string, string>,
    usableUntil: number,
  ): void {
    const advice = steps.get(request.stepId);
    if (!advice) return;
    request.endpoints.forEach(({ endpointId, bornAt }) => {
      const ticket = tickets.get(endpointId);
      advice.eligibility.set(endpointId, { isEligible: ticket !== undefined, bornAt });
      if (ticket !== undefined) advice.tickets.set(endpointId, { ticket, bornAt, usableUntil });
    });
  }

  async function fetchAdvice(channel: AdviceChannel, request: AdviceRequest): Promise<void> {
    const { stepId, endpoints } = request;
    const sentAt = clock.monotonicMilliseconds();
    const expected = expectedMilliseconds(request);
    metrics.count('advice_calls');
    const outcome = await channel.client.advise(
      stepId,
      endpoints.map(({ endpointId }) => endpointId),
      expected + CALL_MARGIN_MILLISECONDS,
    );
    const took = clock.monotonicMilliseconds() - sentAt;
    metrics.record('advice_milliseconds', took);
    if (outcome.kind === 'answered') {
      const tickets = new Map(
        outcome.tickets.map(({ endpointId, ticket }) => [endpointId, ticket]),
      );
      // The time of a ticket counts from some moment of the call; its start would be too strict for long calls.
      const assumedIssuedAt = sentAt + Math.min(took, expected) / 2;
      const usableUntil = assumedIssuedAt + outcome.validMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
      recordAnswer(request, tickets, usableUntil);
      log.debug('advice', { step: stepId, asked: endpoints.length, good: tickets.size, took });
    } else {
      metrics.count('advice_failed');
      log.info('advice failed', { step: stepId, reason: outcome.reason });
      await sleep(clock, FAILURE_DELAY_MILLISECONDS);
    }
    const advice = steps.get(stepId);
    if (advice) advice.isCallInFlight = false;
    // Requests for the step were set before the answer was known; the next round sets what is still missing.
    requests = requests.filter((other) => other.stepId !== stepId);
    options.onAnswer();
  }

  function expectedMilliseconds({ settings, endpoints }: AdviceRequest): number {
    return settings.callMilliseconds + settings.endpointMilliseconds * endpoints.length;
  }

  function isLongCall(request: AdviceRequest): boolean {
    return expectedMilliseconds(request) > LONG_CALL_MILLISECONDS;
  }

  function canSend(request: AdviceRequest): boolean {
    if (steps.get(request.stepId)?.isCallInFlight) return false;
    if (!isLongCall(request)) return true;
    const longCalls = channels.filter(
      ({ requestInFlight }) => requestInFlight !== null && isLongCall(requestInFlight),
    ).length;
    return longCalls < Math.max(1, channels.length - CHANNELS_RESERVED_FOR_SHORT_CALLS);
  }

  function sendWaitingRequests(): void {
    for (const channel of channels) {
      if (channel.requestInFlight) continue;
      const request = requests.find(canSend);
      if (!request) return;
      requests = requests.filter((other) => other !== request);
      getOrCreateAdvice(request.stepId).isCallInFlight = true;
      channel.requestInFlight = request;
      void fetchAdvice(channel, request).then(() => {
        channel.requestInFlight = null;
        sendWaitingRequests();
      });
    }
  }

  return {
    ticketFor(stepId, { endpointId, bornAt }) {
      const entry = steps.get(stepId)?.tickets.get(endpointId);
      if (!entry || entry.bornAt !== bornAt) return null;
      return entry.usableUntil > clock.monotonicMilliseconds() ? entry.ticket : null;
    },
    isEligible(stepId, { endpointId, bornAt }) {
      const entry = steps.get(stepId)?.eligibility.get(endpointId);
      return entry?.bornAt === bornAt ? entry.isEligible : null;
    },
    hasTickets(stepId) {
      const now = clock.monotonicMilliseconds();
      const tickets = steps.get(stepId)?.tickets.values() ?? [];
      return [...tickets].some(({ usableUntil }) => usableUntil > now);
    },
    setRequests(next) {
      requests = next.map((request) => ({
        ...request,
        endpoints: request.endpoints.slice(0, MAXIMUM_ENDPOINTS_PER_CALL),
      }));
      sendWaitingRequests();
    },
    busyChannels: () => channels.filter(({ requestInFlight }) => requestInFlight !== null).length,
    dropTicket(stepId, endpointId) {
      steps.get(stepId)?.tickets.delete(endpointId);
    },
    forgetStep(stepId) {
      steps.delete(stepId);
    },
    addChannel(client) {
      const channel: AdviceChannel = { client, requestInFlight: null };
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
