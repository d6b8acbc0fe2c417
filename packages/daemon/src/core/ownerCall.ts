import { computeBackoff, createFailure, Err, sleep } from '@chicorybend/common';
import type { BackoffLimits, Clock, Failure, Result } from '@chicorybend/common';

import type { PartitionDirectory } from '../types/partition.js';
import type { PeerError, PeerLink, PeerMethod } from '../types/peer.js';
import type { PeerMethods } from '../types/peerMethods.js';
import { createPeerFailure } from '../utils/peerFailures.js';

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

/** Calls the owner of a partition, and follows the partition to a new owner until the deadline. */
export type OwnerCaller = <Method extends PeerMethod>(
  call: OwnerCall<Method>,
) => Promise<Result<PeerMethods[Method]['result'], Failure>>;

/** The range of delays suits a handover, which takes milliseconds, and a takeover, which takes seconds. */
const OWNER_BACKOFF: BackoffLimits = { firstMilliseconds: 20, maximumMilliseconds: 400 };

/** Suggested to the caller when the partition has no reachable owner, in milliseconds. */
const OWNER_RETRY_MILLISECONDS = 1_000;

const RETRY_OPTIONS = { retryAfterMilliseconds: OWNER_RETRY_MILLISECONDS };

function describeError(error: PeerError, daemonId: string): Failure {
  const failure = createPeerFailure(daemonId, error);
  return error.kind === 'not-sent' ? { ...failure, ...RETRY_OPTIONS } : failure;
}

function isRetryable(error: PeerError): boolean {
  return error.kind !== 'refused' || error.failure.code === 'not-owner';
}

/**
 * Tells whether a failure can be reported although an earlier attempt got no answer. `not-run` cannot, because that
 * attempt may have been run. A reused key can: the body differs from the accepted one and was certainly not run.
 */
function canReportAfterLostCall(failure: Failure): boolean {
  return failure.run !== 'not-run' || failure.code === 'idempotency-key-reused';
}

/**
 * Creates a function that calls partition owners. It is for methods that may be repeated: reads, and writes that the
 * owner deduplicates. A call that was not sent, got no answer or reached a former owner is repeated with jittered
 * backoff.
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
    const answer = await link.call(owner.daemonId, call.method, call.params, remaining, {
      endIfSuspect: () => true,
    });
    return answer.mapErr((error) => ({ error, failure: describeError(error, owner.daemonId) }));
  }

  return async (call) => {
    let lostCallFailure: Failure | null = null;
    for (let attempt = 0; ; attempt += 1) {
      const outcome = await callOnce(call);
      if (outcome.isOk()) return outcome;
      const { error, failure } = outcome.error;
      if (error?.kind === 'lost') lostCallFailure = failure;
      // A refusal of a later attempt does not tell whether an earlier attempt without an answer was run.
      const reported =
        lostCallFailure && !canReportAfterLostCall(failure) ? lostCallFailure : failure;
      if (error && !isRetryable(error)) return Err(reported);
      directory.refreshOwner(call.partition);
      const delay = computeBackoff(OWNER_BACKOFF, attempt, random);
      if (clock.monotonicMilliseconds() + delay >= call.deadlineAt) return Err(reported);
      await sleep(clock, delay);
    }
  };
}
