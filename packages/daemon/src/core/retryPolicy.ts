/**
 * Decides what follows from the end of one attempt of a request at an endpoint: an answer, a retry, or a failure
 * that says whether the request may have been run.
 */
import { createFailure } from '@chicorybend/common';
import type { Clock, Counters, Failure, RetryBudget } from '@chicorybend/common';
import type { AdmissionController } from '@chicorybend/decisions';

import { HEALTH_CHECK_TIMEOUT_MILLISECONDS } from '../utils/interactiveTimes.js';
import type { Endpoint, AttemptOutcome } from './endpoint.js';
import type { PoolRequest, TrackedRequest } from './trackedRequest.js';

export interface RetryPolicy {
  /** Ends the request or queues it for a retry. */
  applyOutcome(endpoint: Endpoint, tracked: TrackedRequest, outcome: AttemptOutcome): void;
  /** @returns whether a lost request may be retried; takes the retry from the budget if so */
  takeRetryAfterLoss(request: PoolRequest): boolean;
  /** @returns monotonic time in milliseconds at which an attempt that starts now is suspected lost; null for never */
  computeSuspectTime(request: PoolRequest): number | null;
}

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

/** An unanswered idempotent request is retried after this multiple of the expected service time. */
const SUSPECT_TIME_FACTOR = 4;

export function createRetryPolicy(options: RetryPolicyOptions): RetryPolicy {
  const { clock, counters, admission, isServing } = options;

  /** Lets an idempotent request be retried before its deadline if its connection is silent. */
  function computeSuspectTime(request: PoolRequest): number | null {
    if (!request.isIdempotent) return null;
    const expected = SUSPECT_TIME_FACTOR * admission.expectedServiceMilliseconds();
    return clock.monotonicMilliseconds() + Math.max(HEALTH_CHECK_TIMEOUT_MILLISECONDS, expected);
  }

  function takeRetry(): boolean {
    const isTaken = options.retryBudget.takeRetry();
    counters.increment(isTaken ? 'requests.retried' : 'requests.retries.refused');
    return isTaken;
  }

  function hasTimeLeft(request: PoolRequest): boolean {
    const remaining = request.deadlineAt - clock.monotonicMilliseconds();
    return remaining > admission.expectedServiceMilliseconds();
  }

  function takeRetryAfterLoss(request: PoolRequest): boolean {
    return request.isIdempotent && isServing() && hasTimeLeft(request) && takeRetry();
  }

  /** Withdrawing a request, as from a leaving endpoint, is no attempt and is not charged to the retry budget. */
  function retryOrRefuseUnsent(tracked: TrackedRequest, isWithdrawn: boolean): void {
    if (tracked.isEnded()) return;
    if (!isServing()) tracked.refuse(options.createNotOwnerFailure());
    else if (!hasTimeLeft(tracked.request)) tracked.refuse(createFailure('deadline-passed'));
    else if (!options.hasUsableSlots()) tracked.refuse(options.createNoEndpointFailure());
    else if (isWithdrawn || takeRetry()) options.enqueue(tracked);
    else tracked.refuse(options.createNoEndpointFailure());
  }

  /** If `isSuspected`, the retry has already been taken from the budget, by `takeRetryAfterLoss`. */
  function retryOrEndLost(tracked: TrackedRequest, reason: string, isSuspected: boolean): void {
    if (tracked.isEnded()) return;
    const { request } = tracked;
    const isRetried = isSuspected ? request.isIdempotent : takeRetryAfterLoss(request);
    if (!isRetried) {
      tracked.endAsUnknown(reason);
      return;
    }
    tracked.markRequeued();
    options.enqueue(tracked);
  }

  return {
    computeSuspectTime,
    takeRetryAfterLoss,
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
