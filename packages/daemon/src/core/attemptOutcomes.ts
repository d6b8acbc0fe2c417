/**
 * What follows from the end of one attempt of a request at an endpoint: an answer, another attempt, or a failure
 * that says whether the request was run.
 */
import { createFailure } from '@chicorybend/common';
import type { Clock, Counters, Failure, RetryBudget } from '@chicorybend/common';
import type { AdmissionController } from '@chicorybend/decisions';

import { LIVENESS_MILLISECONDS } from '../utils/interactiveTimes.js';
import type { Endpoint, ExecutionOutcome } from './endpoint.js';
import type { EndpointWork, TrackedWork } from './endpointWork.js';

/** Rules for the end of an attempt. */
export interface AttemptOutcomes {
  /** Ends the request or sends it back to the queue. */
  settle(endpoint: Endpoint, tracked: TrackedWork, outcome: ExecutionOutcome): void;
  /** @returns whether a lost request may be sent again; charges the retry budget if so */
  mayRetryLost(work: EndpointWork): boolean;
  /** @returns monotonic time in milliseconds after which an attempt counts as lost; null for never */
  findSuspectTime(work: EndpointWork): number | null;
}

/** What the rules need. */
export interface AttemptOutcomesOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly retryBudget: RetryBudget;
  readonly admission: AdmissionController;
  readonly isServing: () => boolean;
  readonly hasEndpoint: () => boolean;
  readonly notOwner: () => Failure;
  readonly noEndpoint: () => Failure;
  readonly enqueue: (tracked: TrackedWork) => void;
}

/** An idempotent request is tried elsewhere after this many times the expected service time. */
const SLOW_ATTEMPT_FACTOR = 4;

/**
 * Creates the rules for the attempts of one partition.
 *
 * @param options budget of retries, and what tells whether the partition can still serve
 * @returns the rules
 */
export function createAttemptOutcomes(options: AttemptOutcomesOptions): AttemptOutcomes {
  const { clock, counters, admission, isServing } = options;

  /** An idempotent request is not left on a silent connection until its deadline. */
  function findSuspectTime(work: EndpointWork): number | null {
    if (!work.isIdempotent) return null;
    const expected = SLOW_ATTEMPT_FACTOR * admission.expectedServiceMilliseconds();
    return clock.monotonicMilliseconds() + Math.max(LIVENESS_MILLISECONDS, expected);
  }

  function takeRetry(): boolean {
    const isTaken = options.retryBudget.takeRetry();
    counters.increment(isTaken ? 'requests.retried' : 'requests.retries.refused');
    return isTaken;
  }

  function hasTimeLeft(work: EndpointWork): boolean {
    const remaining = work.deadlineAt - clock.monotonicMilliseconds();
    return remaining > admission.expectedServiceMilliseconds();
  }

  function mayRetryLost(work: EndpointWork): boolean {
    return work.isIdempotent && isServing() && hasTimeLeft(work) && takeRetry();
  }

  /** A request withdrawn from a leaving endpoint was not tried; only tries are charged as retries. */
  function retryNotSent(tracked: TrackedWork, isWithdrawn: boolean): void {
    if (tracked.isEnded()) return;
    if (!isServing()) tracked.refuse(options.notOwner());
    else if (!hasTimeLeft(tracked.work)) tracked.refuse(createFailure('deadline-passed'));
    else if (!options.hasEndpoint()) tracked.refuse(options.noEndpoint());
    else if (isWithdrawn || takeRetry()) options.enqueue(tracked);
    else tracked.refuse(options.noEndpoint());
  }

  /** A suspected execution was charged to the retry budget already. */
  function settleLost(tracked: TrackedWork, reason: string, isSuspected: boolean): void {
    if (tracked.isEnded()) return;
    const { work } = tracked;
    const isRetried = isSuspected ? work.isIdempotent : mayRetryLost(work);
    if (!isRetried) {
      tracked.lose(reason);
      return;
    }
    tracked.sendAgain();
    options.enqueue(tracked);
  }

  return {
    findSuspectTime,
    mayRetryLost,
    settle(endpoint, tracked, outcome) {
      const target = endpoint.endpointId;
      if (outcome.kind === 'answered') tracked.answer(outcome.response);
      else if (outcome.kind === 'failed') {
        tracked.fail(createFailure('endpoint-failed', { target, reason: outcome.reason }));
      } else if (outcome.kind === 'not-sent') retryNotSent(tracked, outcome.isWithdrawn);
      else settleLost(tracked, outcome.reason, outcome.isSuspected);
    },
  };
}
