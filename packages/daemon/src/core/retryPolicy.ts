/**
 * What follows from the end of one attempt of a request at an endpoint: an answer, another attempt, or a failure
 * that says whether the request was run.
 */
import { createFailure } from '@chicorybend/common';
import type { Clock, Counters, Failure, RetryBudget } from '@chicorybend/common';
import type { AdmissionController } from '@chicorybend/decisions';

import { HEALTH_CHECK_TIMEOUT_MILLISECONDS } from '../utils/interactiveTimes.js';
import type { Endpoint, AttemptOutcome } from './endpoint.js';
import type { PoolRequest, TrackedRequest } from './trackedRequest.js';

/** Rules for the end of an attempt. */
export interface RetryPolicy {
  /** Ends the request or sends it back to the queue. */
  applyOutcome(endpoint: Endpoint, tracked: TrackedRequest, outcome: AttemptOutcome): void;
  /** @returns whether a lost request may be sent again; charges the retry budget if so */
  takeRetryAfterLoss(work: PoolRequest): boolean;
  /** @returns monotonic time in milliseconds after which an attempt counts as lost; null for never */
  computeSuspectTime(work: PoolRequest): number | null;
}

/** What the rules need. */
export interface RetryPolicyOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly retryBudget: RetryBudget;
  readonly admission: AdmissionController;
  readonly isServing: () => boolean;
  readonly hasUsableSlots: () => boolean;
  readonly createNotOwnerFailure: () => Failure;
  readonly createNoEndpointFailure: () => Failure;
  readonly enqueue: (tracked: TrackedRequest) => void;
}

/** An idempotent request is tried elsewhere after this many times the expected service time. */
const SUSPECT_TIME_FACTOR = 4;

/**
 * Creates the rules for the attempts of one partition.
 *
 * @param options budget of retries, and what tells whether the partition can still serve
 * @returns the rules
 */
export function createRetryPolicy(options: RetryPolicyOptions): RetryPolicy {
  const { clock, counters, admission, isServing } = options;

  /** An idempotent request is not left on a silent connection until its deadline. */
  function computeSuspectTime(work: PoolRequest): number | null {
    if (!work.isIdempotent) return null;
    const expected = SUSPECT_TIME_FACTOR * admission.expectedServiceMilliseconds();
    return clock.monotonicMilliseconds() + Math.max(HEALTH_CHECK_TIMEOUT_MILLISECONDS, expected);
  }

  function takeRetry(): boolean {
    const isTaken = options.retryBudget.takeRetry();
    counters.increment(isTaken ? 'requests.retried' : 'requests.retries.refused');
    return isTaken;
  }

  function hasTimeLeft(work: PoolRequest): boolean {
    const remaining = work.deadlineAt - clock.monotonicMilliseconds();
    return remaining > admission.expectedServiceMilliseconds();
  }

  function takeRetryAfterLoss(work: PoolRequest): boolean {
    return work.isIdempotent && isServing() && hasTimeLeft(work) && takeRetry();
  }

  /** A request withdrawn from a leaving endpoint was not tried; only tries are charged as retries. */
  function retryOrRefuseUnsent(tracked: TrackedRequest, isWithdrawn: boolean): void {
    if (tracked.isEnded()) return;
    if (!isServing()) tracked.refuse(options.createNotOwnerFailure());
    else if (!hasTimeLeft(tracked.request)) tracked.refuse(createFailure('deadline-passed'));
    else if (!options.hasUsableSlots()) tracked.refuse(options.createNoEndpointFailure());
    else if (isWithdrawn || takeRetry()) options.enqueue(tracked);
    else tracked.refuse(options.createNoEndpointFailure());
  }

  /** A suspected execution was charged to the retry budget already. */
  function retryOrEndLost(tracked: TrackedRequest, reason: string, isSuspected: boolean): void {
    if (tracked.isEnded()) return;
    const { request: work } = tracked;
    const isRetried = isSuspected ? work.isIdempotent : takeRetryAfterLoss(work);
    if (!isRetried) {
      tracked.endAsUnknown(reason);
      return;
    }
    tracked.markRequeued();
    options.enqueue(tracked);
  }

  return {
    computeSuspectTime: computeSuspectTime,
    takeRetryAfterLoss: takeRetryAfterLoss,
    applyOutcome(endpoint, tracked, outcome) {
      const target = endpoint.endpointId;
      if (outcome.kind === 'answered') tracked.answer(outcome.response);
      else if (outcome.kind === 'failed') {
        tracked.fail(createFailure('endpoint-failed', { target, reason: outcome.reason }));
      } else if (outcome.kind === 'not-sent') retryOrRefuseUnsent(tracked, outcome.isWithdrawn);
      else retryOrEndLost(tracked, outcome.reason, outcome.isSuspected);
    },
  };
}
