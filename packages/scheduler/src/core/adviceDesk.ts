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
const MAXIMUM_ENDPOINTS = 100;
/** Pause of a line after a failed call, in milliseconds. */
const FAILURE_PAUSE_MILLISECONDS = 100;

/** An endpoint that is asked about. */
export interface AskedEndpoint {
  readonly endpointId: string;
  readonly bornAt: number;
}

/** What is known about one step. */
interface StepAdvice {
  /** By endpoint: ticket and the time until which it is used, in monotonic milliseconds. */
  readonly tickets: Map<string, { ticket: string; bornAt: number; usableUntil: number }>;
  /** Endpoints, by incarnation, that may or may not run the step; the answer does not change. */
  readonly verdicts: Map<string, boolean>;
  isAsking: boolean;
}

interface AdviceRequest {
  readonly stepId: string;
  readonly endpoints: readonly AskedEndpoint[];
  readonly settings: AdviceSettings;
  readonly priority: number;
}

/** One VM from which the advice service takes one call at a time. */
export interface AdviceLine {
  readonly client: AdviceClient;
  isBusy: boolean;
}

/** Tickets for steps, asked for over all VMs at once. */
export interface AdviceDesk {
  /** @returns the ticket for an endpoint, or null if there is none that is valid for long enough */
  ticketFor(stepId: string, endpoint: AskedEndpoint): string | null;
  /** @returns whether the endpoint may run the step; null if it is not known */
  verdictOf(stepId: string, endpoint: AskedEndpoint): boolean | null;
  /** Asks about endpoints, unless the step is being asked for already. */
  ask(
    stepId: string,
    endpoints: readonly AskedEndpoint[],
    settings: AdviceSettings,
    priority: number,
  ): void;
  dropTicket(stepId: string, endpointId: string): void;
  forget(stepId: string): void;
  addLine(client: AdviceClient): AdviceLine;
  removeLine(line: AdviceLine): void;
}

/** What the desk needs. */
export interface AdviceDeskOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly onAdvice: () => void;
}

/**
 * Creates a desk without lines.
 *
 * @param options collaborators
 * @returns desk
 */
export function createAdviceDesk(options: AdviceDeskOptions): AdviceDesk {
  const { clock, log, metrics } = options;
  const steps = new Map<string, StepAdvice>();
  const lines: AdviceLine[] = [];
  const queue: AdviceRequest[] = [];

  function incarnation({ endpointId, bornAt }: AskedEndpoint): string {
    return `${endpointId}@${bornAt}`;
  }

  function adviceFor(stepId: string): StepAdvice {
    const known = steps.get(stepId);
    if (known) return known;
    const created: StepAdvice = { tickets: new Map(), verdicts: new Map(), isAsking: false };
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
    request.endpoints.forEach((endpoint) => {
      const { endpointId, bornAt } = endpoint;
      const ticket = tickets.get(endpointId);
      advice.verdicts.set(incarnation(endpoint), ticket !== undefined);
      if (ticket !== undefined) advice.tickets.set(endpointId, { ticket, bornAt, usableUntil });
    });
  }

  async function serve(line: AdviceLine, request: AdviceRequest): Promise<void> {
    const { stepId, endpoints, settings } = request;
    const askedAt = clock.monotonicMilliseconds();
    const announced = settings.callMilliseconds + settings.endpointMilliseconds * endpoints.length;
    metrics.count('advice_calls');
    const outcome = await line.client.advise(
      stepId,
      endpoints.map(({ endpointId }) => endpointId),
      announced + CALL_MARGIN_MILLISECONDS,
    );
    const took = clock.monotonicMilliseconds() - askedAt;
    metrics.record('advice_milliseconds', took);
    if (outcome.kind === 'answered') {
      const tickets = new Map(
        outcome.tickets.map(({ endpointId, ticket }) => [endpointId, ticket]),
      );
      // The time of a ticket counts from some moment of the call; its start would be too strict for long calls.
      const countsFrom = askedAt + Math.min(took, announced) / 2;
      const usableUntil = countsFrom + outcome.validMilliseconds - EXPIRY_MARGIN_MILLISECONDS;
      recordAnswer(request, tickets, usableUntil);
      log.debug('advice', { step: stepId, asked: endpoints.length, good: tickets.size, took });
    } else {
      metrics.count('advice_failed');
      log.info('advice failed', { step: stepId, reason: outcome.reason });
      await sleep(clock, FAILURE_PAUSE_MILLISECONDS);
    }
    const advice = steps.get(stepId);
    if (advice) advice.isAsking = false;
    options.onAdvice();
  }

  function dispatch(): void {
    while (queue.length > 0) {
      const line = lines.find(({ isBusy }) => !isBusy);
      if (!line) return;
      const request = queue.shift()!;
      line.isBusy = true;
      void serve(line, request).then(() => {
        line.isBusy = false;
        dispatch();
      });
    }
  }

  return {
    ticketFor(stepId, { endpointId, bornAt }) {
      const entry = steps.get(stepId)?.tickets.get(endpointId);
      if (!entry || entry.bornAt !== bornAt) return null;
      return entry.usableUntil > clock.monotonicMilliseconds() ? entry.ticket : null;
    },
    verdictOf: (stepId, endpoint) => steps.get(stepId)?.verdicts.get(incarnation(endpoint)) ?? null,
    ask(stepId, endpoints, settings, priority) {
      const advice = adviceFor(stepId);
      if (advice.isAsking || endpoints.length === 0) return;
      advice.isAsking = true;
      const request: AdviceRequest = {
        stepId,
        endpoints: endpoints.slice(0, MAXIMUM_ENDPOINTS),
        settings,
        priority,
      };
      const position = queue.findIndex((other) => other.priority > priority);
      if (position < 0) queue.push(request);
      else queue.splice(position, 0, request);
      dispatch();
    },
    dropTicket(stepId, endpointId) {
      steps.get(stepId)?.tickets.delete(endpointId);
    },
    forget(stepId) {
      steps.delete(stepId);
    },
    addLine(client) {
      const line: AdviceLine = { client, isBusy: false };
      lines.push(line);
      dispatch();
      return line;
    },
    removeLine(line) {
      const position = lines.indexOf(line);
      if (position >= 0) lines.splice(position, 1);
    },
  };
}
