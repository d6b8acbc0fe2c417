import { computeBackoff, createFailure, Err, sleep } from '@chicorybend/common';
import type { BackoffLimits, Clock, Failure, Result } from '@chicorybend/common';

import type { PartitionDirectory } from '../types/partition.js';
import type { PeerError, PeerLink, PeerMethod } from '../types/peer.js';
import type { PeerMethods } from '../types/peerMethods.js';
import { createPeerFailure } from '../utils/peerFailures.js';

/** What calls to partition owners need. */
export interface OwnerCallerOptions {
  readonly clock: Clock;
  readonly link: PeerLink;
  readonly directory: PartitionDirectory;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** One call to the owner of a partition. */
export interface OwnerCall<Method extends PeerMethod> {
  readonly partition: number;
  readonly method: Method;
  readonly params: PeerMethods[Method]['params'];
  /** Monotonic time at which the caller gives up, in milliseconds. */
  readonly deadlineAt: number;
}

/** Calls the owner of a partition, wherever it moves within the deadline. */
export type OwnerCaller = <Method extends PeerMethod>(
  call: OwnerCall<Method>,
) => Promise<Result<PeerMethods[Method]['result'], Failure>>;

/** A takeover lasts seconds and a handover milliseconds; delays cover both. */
const OWNER_BACKOFF: BackoffLimits = { firstMilliseconds: 20, maximumMilliseconds: 400 };

/** When to ask again for a partition without a reachable owner, in milliseconds. */
const OWNER_RETRY_MILLISECONDS = 1_000;

const RETRY_OPTIONS = { retryAfterMilliseconds: OWNER_RETRY_MILLISECONDS };

function describeError(error: PeerError, daemonId: string): Failure {
  const failure = createPeerFailure(daemonId, error);
  return error.kind === 'not-sent' ? { ...failure, ...RETRY_OPTIONS } : failure;
}

function isRetryable(error: PeerError): boolean {
  return error.kind !== 'refused' || error.failure.code === 'not-owner';
}

/** A body that differs from the accepted one was certainly not run, whatever happened to earlier attempts. */
function isConclusiveAfterLostCall(failure: Failure): boolean {
  return failure.run !== 'not-run' || failure.code === 'idempotency-key-reused';
}

/**
 * Creates calls to partition owners for methods that may be repeated: reads, and writes that the owner
 * deduplicates. Repeats a call that was not sent, was lost or met a former owner, with jittered backoff.
 *
 * @param options clock, link and directory
 * @returns the caller
 */
export function createOwnerCaller(options: OwnerCallerOptions): OwnerCaller {
  const { clock, link, directory, random = Math.random } = options;

  async function callOnce<Method extends PeerMethod>(
    call: OwnerCall<Method>,
  ): Promise<Result<PeerMethods[Method]['result'], { error: PeerError | null; failure: Failure }>> {
    const owner = directory.ownerOf(call.partition);
    if (!owner) {
      const failure = createFailure('no-owner', { partition: call.partition }, RETRY_OPTIONS);
      return Err({ error: null, failure });
    }
    const remaining = Math.max(1, call.deadlineAt - clock.monotonicMilliseconds());
    const answer = await link.call(owner.daemonId, call.method, call.params, remaining);
    return answer.mapErr((error) => ({ error, failure: describeError(error, owner.daemonId) }));
  }

  return async (call) => {
    let lostCallFailure: Failure | null = null;
    for (let attempt = 0; ; attempt += 1) {
      const outcome = await callOnce(call);
      if (outcome.isOk()) return outcome;
      const { error, failure } = outcome.error;
      if (error?.kind === 'lost') lostCallFailure = failure;
      // After a lost call, a later refusal says nothing about what the lost one did.
      const reported =
        lostCallFailure && !isConclusiveAfterLostCall(failure) ? lostCallFailure : failure;
      if (error && !isRetryable(error)) return Err(reported);
      directory.refreshOwner(call.partition);
      const delay = computeBackoff(OWNER_BACKOFF, attempt, random);
      if (clock.monotonicMilliseconds() + delay >= call.deadlineAt) return Err(reported);
      await sleep(clock, delay);
    }
  };
}
