import type { CancelTimer, Clock, Log } from '@chicorybend/common';
import { createEligibilityEstimate } from '@chicorybend/decisions';

import type { AdviceClient, AdviceOutcome } from '../types/advice.js';
import type { AdviceSettings } from '../types/configuration.js';
import { createAdviceChannels } from './adviceChannels.js';
import type { AdviceChannel } from './adviceChannels.js';
import type { SchedulerMetrics } from './schedulerMetrics.js';
import type { WorkMeter } from './workMeter.js';

/** Tickets are not used this long before they expire; covers the commit and the network delay of a start. */
const EXPIRY_MARGIN_MILLISECONDS = 250;
/** Added to the configured duration of a call for its timeout. */
const CALL_MARGIN_MILLISECONDS = 1_000;
const MAXIMUM_ENDPOINTS_PER_CALL = 100;
/** Number of proven channels that may give no advice about a step before it is asked about less often. */
const TOLERATED_PROVEN_FAILURES = 1;
/** Bounds of the delay of a step that proven channels give no advice about; it doubles with each failure. */
const STEP_RETRY_DELAYS = { minimumMilliseconds: 400, maximumMilliseconds: 1_600 };
/** Calls with a longer fixed duration count as long, and leave some channels free for shorter ones. */
const LONG_CALL_MILLISECONDS = 200;
/** Channels that long calls may not use, provided that there are more channels than this. */
const CHANNELS_RESERVED_FOR_SHORT_CALLS = 2;
/** Share of the channels that long calls may not use, where that is more. */
const SHARE_RESERVED_FOR_SHORT_CALLS = 0.15;

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
  /**
   * By endpoint: whether that incarnation may run the step, and when the call was sent that asked about it, in
   * monotonic milliseconds. The answer does not expire.
   */
  readonly eligibility: Map<string, { isEligible: boolean; bornAt: number; askedAt: number }>;
  /** Endpoints that the ordinary calls in flight are about, overdue ones excepted. */
  readonly askedEndpoints: Set<string>;
  /** Endpoints that the last ordinary call was about. */
  lastAsked: readonly EndpointIncarnation[];
  /** Number of ordinary calls in flight, overdue ones excepted. */
  callsInFlight: number;
  tentativeCallsInFlight: number;
  /** Number of calls that were overdue or failed since the last answer, probes excepted. */
  unansweredCalls: number;
  /** When the first of them was sent, in monotonic milliseconds; infinity if there are none. */
  unansweredSince: number;
  /** Number of these calls whose channel was proven, that is, had answered since the first of them. */
  provenFailures: number;
  /** Until when the step is not asked about, in monotonic milliseconds. */
  pausedUntil: number;
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

/**
 * Purpose of a call. `ordinary`: its step waits for the answer. `tentative`: nothing waits for it, because the channel
 * may not answer; the step may be asked about through other channels at the same time. `probe`: the same through a
 * suspect channel; that it is not answered tells nothing about the step.
 */
export type AdviceCallKind = 'ordinary' | 'tentative' | 'probe';

/** Call in flight. */
export interface AdviceCall {
  readonly request: AdviceRequest;
  readonly kind: AdviceCallKind;
  readonly isChannelProven: boolean;
  readonly endpoints: readonly EndpointIncarnation[];
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
  /** Called after each call that was answered or failed, and when one is overdue. */
  readonly onAnswer: () => void;
}

/** Creates a cache without channels. */
export function createAdviceCache(options: AdviceCacheOptions): AdviceCache {
  const { clock, log, metrics, workMeter } = options;
  const steps = new Map<string, StepAdvice>();
  const channels = createAdviceChannels(clock);
  const estimate = createEligibilityEstimate();
  let requests: readonly AdviceRequest[] = [];

  function getOrCreateAdvice(stepId: string): StepAdvice {
    const known = steps.get(stepId);
    if (known) return known;
    const created: StepAdvice = {
      tickets: new Map(),
      eligibility: new Map(),
      askedEndpoints: new Set(),
      lastAsked: [],
      callsInFlight: 0,
      tentativeCallsInFlight: 0,
      unansweredCalls: 0,
      unansweredSince: Infinity,
      provenFailures: 0,
      pausedUntil: -Infinity,
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

  function recordTickets(
    advice: StepAdvice,
    { request: { queue }, endpoints }: AdviceCall,
    tickets: ReadonlyMap<string, string>,
    sentAt: number,
    usableUntil: number,
  ): void {
    learnProbability(queue, advice, endpoints, tickets);
    endpoints.forEach(({ endpointId, bornAt }) => {
      // The answer to an overdue call may come after that to a later call.
      if ((advice.eligibility.get(endpointId)?.askedAt ?? -Infinity) > sentAt) return;
      const ticket = tickets.get(endpointId);
      advice.eligibility.set(endpointId, {
        isEligible: ticket !== undefined,
        bornAt,
        askedAt: sentAt,
      });
      if (ticket !== undefined) advice.tickets.set(endpointId, { ticket, bornAt, usableUntil });
    });
  }

  /** A step that no channel gives advice about would make all of them suspect, so it is asked about less often. */
  function recordProvenFailure(advice: StepAdvice): void {
    advice.provenFailures += 1;
    const excess = advice.provenFailures - TOLERATED_PROVEN_FAILURES;
    if (excess <= 0) return;
    const { minimumMilliseconds, maximumMilliseconds } = STEP_RETRY_DELAYS;
    const delay = Math.min(maximumMilliseconds, minimumMilliseconds * 2 ** (excess - 1));
    advice.pausedUntil = clock.monotonicMilliseconds() + delay;
  }

  function recordUnanswered(
    advice: StepAdvice,
    { kind, isChannelProven }: AdviceCall,
    sentAt: number,
  ): void {
    if (kind === 'probe') return;
    advice.unansweredCalls += 1;
    advice.unansweredSince = Math.min(advice.unansweredSince, sentAt);
    if (isChannelProven) recordProvenFailure(advice);
  }

  function isPaused(advice: StepAdvice | undefined): boolean {
    return advice !== undefined && advice.pausedUntil > clock.monotonicMilliseconds();
  }

  function expectedMilliseconds({ request: { settings }, endpoints }: AdviceCall): number {
    return settings.callMilliseconds + settings.endpointMilliseconds * endpoints.length;
  }

  function recordAnswer(
    advice: StepAdvice,
    call: AdviceCall,
    outcome: AdviceOutcome & { kind: 'answered' },
    sentAt: number,
    took: number,
  ): void {
    advice.answeredCalls += 1;
    advice.unansweredCalls = 0;
    advice.unansweredSince = Infinity;
    advice.provenFailures = 0;
    advice.pausedUntil = -Infinity;
    const tickets = new Map(outcome.tickets.map(({ endpointId, ticket }) => [endpointId, ticket]));
    // The service issues the ticket at some moment during the call; counting its validity from the start of a long
    // call would be too strict.
    const assumedIssuedAt = sentAt + Math.min(took, expectedMilliseconds(call)) / 2;
    const usableUntil = assumedIssuedAt + outcome.validMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
    workMeter.measure('advice', () => recordTickets(advice, call, tickets, sentAt, usableUntil));
    log.debug('advice call answered', {
      step: call.request.stepId,
      asked: call.endpoints.length,
      good: tickets.size,
      took,
    });
  }

  /** Ends the wait of the step for a call that has ended, or is overdue. */
  function release(advice: StepAdvice, { kind, endpoints }: AdviceCall): void {
    if (kind === 'tentative') advice.tentativeCallsInFlight -= 1;
    if (kind !== 'ordinary') return;
    advice.callsInFlight -= 1;
    endpoints.forEach(({ endpointId }) => advice.askedEndpoints.delete(endpointId));
  }

  /** The channel waits on for the answer, which is still of use; the step is asked about through another channel. */
  function handleOverdue(channel: AdviceChannel, call: AdviceCall, advice: StepAdvice): void {
    const { stepId } = call.request;
    metrics.count('advice_overdue');
    log.info('advice call overdue', { step: stepId, channel: channel.name, kind: call.kind });
    channel.health.recordOverdue();
    release(advice, call);
    options.onAnswer();
    sendWaitingRequests();
  }

  /** Sets a timer whose callback comes after the answers that arrived before it was due, also in a busy process. */
  function setTimerAfterInput(callback: () => void, milliseconds: number): CancelTimer {
    let cancel = clock.setTimer(() => {
      cancel = clock.setTimer(callback, 1);
    }, milliseconds);
    return () => cancel();
  }

  async function fetchAdvice(
    channel: AdviceChannel,
    call: AdviceCall,
    advice: StepAdvice,
  ): Promise<void> {
    const { request, kind, endpoints } = call;
    const { stepId } = request;
    const sentAt = clock.monotonicMilliseconds();
    const expected = expectedMilliseconds(call);
    const timeoutMilliseconds = expected + CALL_MARGIN_MILLISECONDS;
    let isReleased = false;
    const cancelOverdueTimer = setTimerAfterInput(() => {
      isReleased = true;
      recordUnanswered(advice, call, sentAt);
      handleOverdue(channel, call, advice);
    }, expected + channel.excess.timeoutMilliseconds());
    metrics.count('advice_calls');
    const outcome = await channel.client.advise(
      stepId,
      endpoints.map(({ endpointId }) => endpointId),
      timeoutMilliseconds,
    );
    cancelOverdueTimer();
    const now = clock.monotonicMilliseconds();
    const took = now - sentAt;
    metrics.record('advice_milliseconds', took);
    channel.callInFlight = null;
    if (outcome.kind === 'answered') {
      channel.health.recordAnswer(now);
      channel.excess.recordAnswer(Math.max(0, took - expected));
      recordAnswer(advice, call, outcome, sentAt, took);
    } else {
      channel.health.recordFailure(now);
      if (!isReleased) recordUnanswered(advice, call, sentAt);
      advice.failedCalls += 1;
      metrics.count('advice_failed');
      log.info('advice call failed', {
        step: stepId,
        channel: channel.name,
        kind,
        reason: outcome.reason,
        asked: endpoints.length,
        timeout: Math.round(timeoutMilliseconds),
        took: Math.round(took),
        failuresInRow: channel.health.failuresInRow(),
      });
    }
    if (!isReleased) release(advice, call);
    // Waiting requests for the step were made before this answer was known; the next round requests what is
    // still missing.
    requests = requests.filter((other) => other.stepId !== stepId);
    options.onAnswer();
    sendWaitingRequests();
  }

  function isLongCall({ settings }: AdviceRequest): boolean {
    return settings.callMilliseconds > LONG_CALL_MILLISECONDS;
  }

  /** A call that nothing waits for may repeat the question of a call in flight if there is nothing else to ask. */
  function chooseEndpoints(
    request: AdviceRequest,
    kind: AdviceCallKind,
  ): readonly EndpointIncarnation[] {
    const chosen = request.chooseEndpoints().slice(0, MAXIMUM_ENDPOINTS_PER_CALL);
    if (chosen.length > 0 || kind === 'ordinary') return chosen;
    return steps.get(request.stepId)?.lastAsked ?? [];
  }

  /** @returns whether the call was sent; it is not if there are no endpoints to ask about */
  function send(channel: AdviceChannel, request: AdviceRequest, kind: AdviceCallKind): boolean {
    const endpoints = chooseEndpoints(request, kind);
    if (endpoints.length === 0) return false;
    const advice = getOrCreateAdvice(request.stepId);
    const isChannelProven = channel.health.isProvenSince(advice.unansweredSince);
    const call: AdviceCall = { request, kind, isChannelProven, endpoints };
    if (kind === 'tentative') advice.tentativeCallsInFlight += 1;
    if (kind === 'ordinary') {
      advice.callsInFlight += 1;
      advice.lastAsked = endpoints;
      endpoints.forEach(({ endpointId }) => advice.askedEndpoints.add(endpointId));
    }
    channel.callInFlight = call;
    void fetchAdvice(channel, call, advice);
    return true;
  }

  /** Trusted channels that no long call uses, so that short calls need not wait for long ones. */
  function reservedChannels(trusted: readonly AdviceChannel[]): number {
    const total = channels.count();
    const reserved = Math.max(
      CHANNELS_RESERVED_FOR_SHORT_CALLS,
      Math.floor(SHARE_RESERVED_FOR_SHORT_CALLS * total),
    );
    return Math.floor((reserved * trusted.length) / Math.max(1, total));
  }

  function countLongCallsLeft(trusted: readonly AdviceChannel[]): number {
    const longCalls = trusted.filter(
      ({ callInFlight }) => callInFlight !== null && isLongCall(callInFlight.request),
    );
    return Math.max(1, trusted.length - reservedChannels(trusted)) - longCalls.length;
  }

  function isIdle({ callInFlight }: AdviceChannel): boolean {
    return callInFlight === null;
  }

  /**
   * Chooses how the next call about a step is sent. A step whose calls were not answered is asked about through a
   * channel that has answered since; other channels may be silent for the same cause.
   */
  function chooseChannel(
    idle: readonly AdviceChannel[],
    advice: StepAdvice | undefined,
  ): { channel: AdviceChannel; kind: AdviceCallKind } | null {
    const since = advice?.unansweredSince ?? Infinity;
    const [first] = idle;
    if (!first || isPaused(advice)) return null;
    if (since === Infinity) return { channel: first, kind: 'ordinary' };
    const proven = idle.find(({ health }) => health.isProvenSince(since));
    if (proven) return { channel: proven, kind: 'ordinary' };
    return advice?.tentativeCallsInFlight === 0 ? { channel: first, kind: 'tentative' } : null;
  }

  function maximumCallsOf({ maximumCalls }: AdviceRequest, advice: StepAdvice | undefined): number {
    return advice && advice.unansweredCalls > 0 ? 1 : maximumCalls;
  }

  /** Sends the requests of steps that have a number of calls in flight. */
  function sendRequestsOf(callsInFlight: number): void {
    const trusted = channels.trusted();
    const idle = trusted.filter(isIdle);
    let longCallsLeft = countLongCallsLeft(trusted);
    const pointless = new Set<AdviceRequest>();
    for (const request of requests) {
      if (idle.length === 0) break;
      const advice = steps.get(request.stepId);
      const isLong = isLongCall(request);
      const isDue = (advice?.callsInFlight ?? 0) === callsInFlight;
      const maySend = isDue && maximumCallsOf(request, advice) > callsInFlight;
      const choice = maySend && (!isLong || longCallsLeft > 0) ? chooseChannel(idle, advice) : null;
      if (choice && !send(choice.channel, request, choice.kind)) pointless.add(request);
      else if (choice) {
        idle.splice(idle.indexOf(choice.channel), 1);
        if (isLong) longCallsLeft -= 1;
      }
    }
    requests = requests.filter((request) => !pointless.has(request));
  }

  function sendByCallsInFlight(): void {
    const levels = Math.max(0, ...requests.map(({ maximumCalls }) => maximumCalls));
    for (let callsInFlight = 0; callsInFlight < levels; callsInFlight += 1) {
      if (!channels.trusted().some(isIdle)) return;
      sendRequestsOf(callsInFlight);
    }
  }

  /** The number of channels at a time doubles with each round of calls that are not answered. */
  function hedgeUnansweredRequests(): void {
    const idle = channels.trusted().filter(isIdle);
    for (const request of requests) {
      const advice = steps.get(request.stepId);
      const isUnanswered = advice && advice.callsInFlight === 0 && !isPaused(advice);
      if (isUnanswered && advice.tentativeCallsInFlight > 0) {
        while (idle.length > 0 && advice.tentativeCallsInFlight <= advice.unansweredCalls) {
          if (!send(idle.shift()!, request, 'tentative')) break;
        }
      }
    }
  }

  /**
   * Requests that no trusted channel has taken go first, so that the probe is of use if it is answered; of these, the
   * ones whose calls were answered most often.
   */
  function orderForProbes(): AdviceRequest[] {
    return requests
      .map((request) => ({ request, advice: steps.get(request.stepId) }))
      .filter(({ advice }) => !isPaused(advice))
      .sort(
        ({ advice: left }, { advice: right }) =>
          Math.sign(left?.callsInFlight ?? 0) - Math.sign(right?.callsInFlight ?? 0) ||
          (left?.unansweredCalls ?? 0) - (right?.unansweredCalls ?? 0),
      )
      .map(({ request }) => request);
  }

  function probeSuspectChannels(): void {
    const due = channels.dueForRetry();
    if (due.length === 0) return;
    const inOrder = orderForProbes();
    due.forEach((channel, position) => {
      const request = inOrder[position % Math.max(1, inOrder.length)];
      if (request) send(channel, request, 'probe');
    });
  }

  /** Further calls about a step use only channels that no step without a call needs. */
  function sendWaitingRequests(): void {
    workMeter.measure('advice', () => {
      sendByCallsInFlight();
      hedgeUnansweredRequests();
      probeSuspectChannels();
    });
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
    busyChannels: channels.countBusy,
    dropTicket(stepId, endpointId) {
      steps.get(stepId)?.tickets.delete(endpointId);
    },
    forgetStep(stepId) {
      steps.delete(stepId);
      requests = requests.filter((request) => request.stepId !== stepId);
    },
    addChannel(client, name) {
      const channel = channels.add(client, name);
      sendWaitingRequests();
      return channel;
    },
    removeChannel: channels.remove,
  };
}
