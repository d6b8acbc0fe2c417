import { assertInvariant, createFailure, Err, loadStateChart, Ok } from '@chicorybend/common';
import type { EndpointResponse, Failure, InteractiveResponse, Result } from '@chicorybend/common';

/** An interactive request for the endpoints of one partition. */
export interface PoolRequest {
  readonly requestId: string;
  readonly team: string;
  readonly queue: string;
  readonly isIdempotent: boolean;
  readonly payload: unknown;
  /** Monotonic time in milliseconds of the caller's deadline. */
  readonly deadlineAt: number;
}

/** State of a request, as in `charts/request.json`. */
export type RequestState = 'admitted' | 'queued' | 'sent' | 'answered' | 'refused' | 'unknown';

/** A request in the endpoint pool, with its state and outcome. */
export interface TrackedRequest {
  readonly request: PoolRequest;
  /**
   * Monotonic time in milliseconds, before the deadline, by which an answer must be expected; a request that
   * cannot meet it is not sent.
   */
  readonly answerTargetAt: number;
  /** Ids of endpoints that were tried; a retry prefers others. */
  readonly triedEndpointIds: Set<string>;
  state(): RequestState;
  isEnded(): boolean;
  /** Records that the request waits for a slot. */
  markQueued(): void;
  /** Records that the request is being sent. */
  markSent(): void;
  /** Records that the request was lost and waits for a slot again. */
  markRequeued(): void;
  answer(response: EndpointResponse): void;
  fail(failure: Failure): void;
  /** Ends the request as not run, or as unknown if it was ever sent. */
  refuse(failure: Failure): void;
  /** Ends the request with an unknown outcome. */
  endAsUnknown(reason: string): void;
  readonly outcome: Promise<Result<InteractiveResponse, Failure>>;
}

const chart = loadStateChart<RequestState>('request');

/**
 * Tracks a request along the state chart `charts/request.json`. It ends exactly once.
 *
 * @param answerTargetAt see {@link TrackedRequest.answerTargetAt}
 */
export function trackRequest(
  request: PoolRequest,
  answerTargetAt: number,
  onEnd: (tracked: TrackedRequest) => void,
): TrackedRequest {
  let state = chart.initial;
  let sentCount = 0;
  let resolveOutcome: (outcome: Result<InteractiveResponse, Failure>) => void = () => undefined;
  const outcome = new Promise<Result<InteractiveResponse, Failure>>((resolve) => {
    resolveOutcome = resolve;
  });

  function isEnded(): boolean {
    return chart.isFinal(state);
  }

  function advance(event: string): void {
    state = chart.advance(state, event);
  }

  function end(event: string, result: Result<InteractiveResponse, Failure>): void {
    if (isEnded()) {
      // Only a request that was sent more than once can end again; the first outcome counts.
      assertInvariant(
        request.isIdempotent,
        'at-most-once',
        () => `non-idempotent request ${request.requestId} ends twice`,
      );
      return;
    }
    advance(event);
    const isNotRun = result.isErr() && result.error.run === 'not-run';
    assertInvariant(
      !isNotRun || sentCount === 0,
      'true-not-run',
      () => `request ${request.requestId} was sent and is reported as not run`,
    );
    resolveOutcome(result);
    onEnd(tracked);
  }

  function endAsUnknown(reason: string): void {
    end('LOST', Err(createFailure('outcome-unknown', { target: 'an endpoint', reason })));
  }

  const tracked: TrackedRequest = {
    request,
    answerTargetAt,
    triedEndpointIds: new Set(),
    outcome,
    state: () => state,
    isEnded,
    endAsUnknown,
    markQueued: () => advance('QUEUE'),
    markRequeued: () => advance('LOST_IDEMPOTENT'),
    markSent() {
      advance('SEND');
      sentCount += 1;
      assertInvariant(
        request.isIdempotent || sentCount === 1,
        'at-most-once',
        () => `non-idempotent request ${request.requestId} is sent ${sentCount} times`,
      );
    },
    answer(response) {
      assertInvariant(
        response.requestId === request.requestId,
        'own-answer',
        () => `request ${request.requestId} got the answer to request ${response.requestId}`,
      );
      end('ANSWER', Ok(response));
    },
    fail(failure) {
      end('ANSWER', Err(failure));
    },
    refuse(failure) {
      if (sentCount > 0) endAsUnknown(`no answer before: ${failure.message}`);
      else end('REFUSE', Err(failure));
    },
  };
  return tracked;
}
