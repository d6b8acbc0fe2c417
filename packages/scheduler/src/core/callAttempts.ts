import { createFailure } from '@chicorybend/common';
import type { FailureCode } from '@chicorybend/common';

import type { CallerAnswer, CallerRequest } from '../types/caller.js';

const RETRY_AFTER_MILLISECONDS = 1_000;
/** The receiver has not looked at the request, so that another owner may handle it. */
const RETRIABLE_FAILURES: ReadonlySet<FailureCode> = new Set(['not-owner', 'not-ready']);
/** Refusals that depend on the load at the moment, so that an earlier attempt may still be accepted. */
const LOAD_REFUSALS: ReadonlySet<FailureCode> = new Set([
  'owner-overloaded',
  'store-unavailable',
  'overloaded',
  'over-limit',
]);

/** Outcome of an attempt: `not-sent` if there was no owner to send to, `lost` if it did not answer. */
export type AttemptOutcome = CallerAnswer | 'not-sent' | 'lost';

/** The attempts to have one request handled. An attempt without an answer may have taken effect. */
export interface CallAttempts {
  /**
   * Records an attempt.
   *
   * @param epoch epoch of the term that it was sent to
   * @returns answer for the caller; null if the request is to be sent again
   */
  record(outcome: AttemptOutcome, epoch: number): CallerAnswer | null;
  /** @returns whether an attempt may have taken effect that was not answered */
  mayHaveTakenEffect(): boolean;
  /** @returns answer for a caller whose time is up */
  timeoutAnswer(): CallerAnswer;
}

/** What a refusal after an unanswered attempt is based on, for the log. */
export interface WithheldRefusal {
  readonly code: FailureCode;
  readonly epoch: number;
  readonly unansweredEpoch: number;
  readonly isWithoutEffect: boolean;
}

/**
 * Creates the record of a request that has not been sent yet.
 *
 * @param onRefusalWithheld called for each refusal that is not passed on
 */
export function createCallAttempts(
  { action }: Pick<CallerRequest, 'action'>,
  onRefusalWithheld: (refusal: WithheldRefusal) => void = () => {},
): CallAttempts {
  /** Epoch of the latest term with an unanswered attempt; -Infinity if there is none. */
  let unansweredEpoch = -Infinity;

  function createUnknownAnswer(): CallerAnswer {
    return { kind: 'failed', failure: createFailure('acceptance-unknown') };
  }

  /** A later owner has recovered all that earlier ones have stored, and the store takes nothing from those any more. */
  function concludeRefusal(
    refusal: CallerAnswer & { kind: 'failed' },
    epoch: number,
  ): CallerAnswer | null {
    if (unansweredEpoch === -Infinity || action === 'status') return refusal;
    const isWithoutEffect = refusal.isWithoutEffect === true;
    if (isWithoutEffect && epoch > unansweredEpoch) return refusal;
    const { code } = refusal.failure;
    onRefusalWithheld({ code, epoch, unansweredEpoch, isWithoutEffect });
    return LOAD_REFUSALS.has(code) ? null : createUnknownAnswer();
  }

  return {
    record(outcome, epoch) {
      if (outcome === 'not-sent') return null;
      const code = outcome !== 'lost' && outcome.kind === 'failed' ? outcome.failure.code : null;
      if (outcome === 'lost' || code === 'acceptance-unknown') {
        unansweredEpoch = Math.max(unansweredEpoch, epoch);
        return null;
      }
      if (outcome.kind !== 'failed') return outcome;
      if (RETRIABLE_FAILURES.has(outcome.failure.code)) return null;
      return concludeRefusal(outcome, epoch);
    },
    mayHaveTakenEffect: () => unansweredEpoch > -Infinity,
    timeoutAnswer() {
      if (unansweredEpoch > -Infinity) return createUnknownAnswer();
      const retry = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
      return { kind: 'failed', failure: createFailure('no-owner', { partition: 0 }, retry) };
    },
  };
}
