import { createFailure, Err } from '@chicorybend/common';
import type {
  Clock,
  Counters,
  Failure,
  InteractiveResponse,
  Result,
  RetryBudget,
} from '@chicorybend/common';

import type { PartitionLoadView, PartitionDirectory } from '../types/partition.js';
import type { PeerError, PeerHandler, PeerLink } from '../types/peer.js';
import type { ForwardedRequest } from '../types/peerMethods.js';
import { OVERFLOW_MINIMUM_WAIT_MILLISECONDS } from '../utils/interactiveTimes.js';
import type { EndpointService } from './endpointService.js';
import type { PoolRequest } from './trackedRequest.js';
import { createOverflowSelector } from './overflowSelector.js';

/** What the execution at a request's home partition needs. */
export interface HomeExecutorOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly link: PeerLink;
  readonly directory: PartitionDirectory;
  readonly loadBoard: PartitionLoadView;
  readonly endpoints: EndpointService;
  readonly retryBudget: RetryBudget;
  readonly random: () => number;
}

type Outcome = Result<InteractiveResponse, Failure>;

/** What the overflow hop means for the request. */
type OverflowResult =
  | { readonly kind: 'ended'; readonly outcome: Outcome }
  /** Certainly not run there: serve it here. */
  | { readonly kind: 'not-run' }
  /** Possibly run there, and may be run again here. */
  | { readonly kind: 'lost' };

/**
 * Part of the caller's time that is kept back for the way of the answer, so that a true refusal arrives
 * before the caller has to report the outcome as unknown.
 */
const ANSWER_MARGIN_FRACTION = 0.1;
const MAXIMUM_ANSWER_MARGIN_MILLISECONDS = 50;

/**
 * Creates the handler of `request.execute`: deduplication at the home partition, execution on its endpoints,
 * or one overflow hop.
 *
 * @param options endpoints, link and loads
 * @returns the handler
 */
export function createHomeExecutor(options: HomeExecutorOptions): PeerHandler<'request.execute'> {
  const { clock, counters, link, directory, endpoints, retryBudget } = options;
  const overflowSelector = createOverflowSelector(options);

  function createPoolRequest(
    forwarded: ForwardedRequest,
    remainingMilliseconds: number,
  ): PoolRequest {
    const margin = Math.min(
      MAXIMUM_ANSWER_MARGIN_MILLISECONDS,
      remainingMilliseconds * ANSWER_MARGIN_FRACTION,
    );
    const { requestId, team, request } = forwarded;
    return {
      requestId,
      team,
      queue: request.queue,
      isIdempotent: request.idempotent,
      payload: request.payload,
      deadlineAt: clock.monotonicMilliseconds() + remainingMilliseconds - margin,
    };
  }

  function classifyOverflowError(
    error: PeerError,
    isIdempotent: boolean,
    daemonId: string,
  ): OverflowResult {
    if (error.kind === 'not-sent') return { kind: 'not-run' };
    if (error.kind === 'refused') {
      if (error.failure.run === 'not-run') return { kind: 'not-run' };
      return { kind: 'ended', outcome: Err(error.failure) };
    }
    if (isIdempotent && retryBudget.takeRetry()) return { kind: 'lost' };
    return { kind: 'ended', outcome: Err(createFailure('peer-lost', { daemonId })) };
  }

  async function runAtOverflowPartition(
    forwarded: ForwardedRequest,
    work: PoolRequest,
    partition: number,
  ): Promise<OverflowResult> {
    const owner = directory.ownerOf(partition);
    if (!owner) return { kind: 'not-run' };
    counters.increment('requests.overflowed');
    const remaining = Math.max(1, work.deadlineAt - clock.monotonicMilliseconds());
    const params = { ...forwarded, partition, isOverflow: true };
    const answer = await overflowSelector.trackCall(partition, () =>
      link.call(owner.daemonId, 'request.execute', params, remaining),
    );
    if (answer.isOk()) return { kind: 'ended', outcome: answer };
    const verdict = classifyOverflowError(answer.error, work.isIdempotent, owner.daemonId);
    if (verdict.kind === 'not-run') overflowSelector.recordRefusal(partition);
    return verdict;
  }

  /** After a lost overflow hop, a refusal here says nothing about what happened there. */
  function convertRefusalAfterLoss(outcome: Outcome): Outcome {
    if (outcome.isOk() || outcome.error.run !== 'not-run') return outcome;
    const reason = `it was lost at another daemon; then: ${outcome.error.message}`;
    return Err(createFailure('outcome-unknown', { target: 'an endpoint', reason }));
  }

  async function runWithOverflow(forwarded: ForwardedRequest, work: PoolRequest): Promise<Outcome> {
    const { partition, team } = forwarded;
    const wait = endpoints.expectedWaitMilliseconds(partition, team);
    const target =
      wait > OVERFLOW_MINIMUM_WAIT_MILLISECONDS
        ? overflowSelector.selectPartition(partition, wait)
        : null;
    if (target === null) return endpoints.execute(partition, work);
    const verdict = await runAtOverflowPartition(forwarded, work, target);
    if (verdict.kind === 'ended') return verdict.outcome;
    const outcome = await endpoints.execute(partition, work);
    return verdict.kind === 'lost' ? convertRefusalAfterLoss(outcome) : outcome;
  }

  /** Ends the wait of a repeated call at its own deadline, which may be earlier than that of the first one. */
  function awaitFirstOutcome(outcome: Promise<Outcome>, deadlineAt: number): Promise<Outcome> {
    return new Promise((resolve) => {
      const cancel = clock.setTimer(() => {
        const reason = 'the first call with this idempotency key is in progress';
        resolve(Err(createFailure('outcome-unknown', { target: 'an endpoint', reason })));
      }, deadlineAt - clock.monotonicMilliseconds());
      outcome.then((value) => {
        cancel();
        resolve(value);
      });
    });
  }

  async function runDeduplicated(
    forwarded: ForwardedRequest,
    work: PoolRequest,
    idempotencyKey: string,
  ): Promise<Outcome> {
    const { partition, team, bodyHash } = forwarded;
    const table = endpoints.requestTableOf(partition);
    if (!table) return Err(endpoints.createNotOwnerFailure(partition));
    const verdict = table.begin({ team, idempotencyKey, bodyHash });
    if (verdict.kind === 'refused') return Err(verdict.failure);
    if (verdict.kind === 'joined') return awaitFirstOutcome(verdict.outcome, work.deadlineAt);
    const outcome = await runWithOverflow(forwarded, work);
    verdict.settle(outcome);
    return outcome;
  }

  return async (forwarded, context) => {
    const work = createPoolRequest(forwarded, context.remainingMilliseconds);
    if (forwarded.isOverflow) return endpoints.execute(forwarded.partition, work);
    if (endpoints.requestTableOf(forwarded.partition) === null) {
      return Err(endpoints.createNotOwnerFailure(forwarded.partition));
    }
    if (forwarded.idempotencyKey === null) return runWithOverflow(forwarded, work);
    return runDeduplicated(forwarded, work, forwarded.idempotencyKey);
  };
}
