import { assertInvariant, createFailure, Err, loadStateChart, Ok } from '@chicorybend/common';
import type { EndpointResponse, Failure, InteractiveResponse, Result } from '@chicorybend/common';

/** An interactive request for the endpoints of one partition. */
export interface PoolRequest {
  readonly requestId: string;
  readonly team: string;
  readonly queue: string;
  readonly isIdempotent: boolean;
  readonly payload: unknown;
  /** Monotonic time in milliseconds at which the caller gives up. */
  readonly deadlineAt: number;
}

/** State of a request, as in `charts/request.json`. */
export type RequestState = 'admitted' | 'queued' | 'sent' | 'answered' | 'refused' | 'unknown';

/** A request on its way through the pool, with its state. */
export interface TrackedRequest {
  readonly request: PoolRequest;
  /** Monotonic time in milliseconds by which an answer is expected when it is sent; before the deadline. */
  readonly answerTargetAt: number;
  /** Ids of endpoints that it was given to; others are preferred for a retry. */
  readonly triedEndpointIds: Set<string>;
  state(): RequestState;
  /** @returns whether it has ended */
  isEnded(): boolean;
  /** Records that it waits for a slot. */
  markQueued(): void;
  /** Records that it is being sent. */
  markSent(): void;
  /** Records that it was lost and waits for a slot again. */
  markRequeued(): void;
  answer(response: EndpointResponse): void;
  fail(failure: Failure): void;
  /** Ends it as not run; as unknown if it was sent before. */
  refuse(failure: Failure): void;
  endAsUnknown(reason: string): void;
  readonly outcome: Promise<Result<InteractiveResponse, Failure>>;
}

const chart = loadStateChart<RequestState>('request');

/**
 * Creates the tracked form of a request, which follows the state chart and ends once.
 *
 * @param request the request
 * @param answerTargetAt monotonic time in milliseconds by which an answer is expected when it is sent
 * @param onEnd called when it ends
 * @returns the tracked request
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
      // Only a request that was sent twice can end twice; the first end counts.
      assertInvariant(
        request.isIdempotent,
        'at-most-once',
        () => `${request.requestId} ends twice`,
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
    request: request,
    answerTargetAt: answerTargetAt,
    triedEndpointIds: new Set(),
    outcome,
    state: () => state,
    isEnded,
    endAsUnknown: endAsUnknown,
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
        () => `request ${request.requestId} is given the answer of ${response.requestId}`,
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
