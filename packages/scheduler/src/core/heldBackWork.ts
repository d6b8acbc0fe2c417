import type { BackoffCause, EndpointState, WithholdingCause } from './endpointTable.js';
import type { GaugeName } from './schedulerMetrics.js';

/** Part of its time that an owner spends on lists that come at once because their ends are not acknowledged. */
const MAXIMUM_RELISTING_SHARE = 0.05;
/** Time that a call takes an owner, in milliseconds; see docs/platform.md. */
const CALL_MILLISECONDS = 0.4;
/** Time that it takes to decode an end of a list, in milliseconds. */
const END_MILLISECONDS = 0.002;

/** What is held back at one time because orders may still be executed late; times in milliseconds. */
export type HeldBackWork = Readonly<Partial<Record<GaugeName, number>>>;

/** Tasks that may start on one endpoint only, or not at all, because of outstanding starts. */
export interface BoundTasks {
  readonly count: number;
  /** How long the first of them has been held back, in milliseconds. */
  readonly longestMilliseconds: number;
}

/**
 * @returns interval at which the owner can poll all endpoints whose ends are not acknowledged, in milliseconds. Without
 * it, an owner near its limit is late, takes more of them for silent, and has to acknowledge even less.
 */
export function affordablePollInterval(states: Iterable<EndpointState>): number {
  let milliseconds = 0;
  for (const { withheldSince, unansweredCalls, relistedEnds } of states) {
    const isRelisting = withheldSince !== null && unansweredCalls === 0;
    if (isRelisting) milliseconds += CALL_MILLISECONDS + relistedEnds * END_MILLISECONDS;
  }
  return milliseconds / MAXIMUM_RELISTING_SHARE;
}

/** Describes what is held back on the endpoints of the directory, at `now` in monotonic milliseconds. */
export function describeHeldBackWork(
  states: Iterable<EndpointState>,
  bound: BoundTasks,
  now: number,
): HeldBackWork {
  const listed = [...states].filter(({ isListed }) => isListed);
  const unfenced = listed.filter(({ isFenced }) => !isFenced);
  const withheld = listed.filter(({ withheldSince }) => withheldSince !== null);
  const withheldFor = (cause: WithholdingCause) =>
    withheld.filter(({ withholdingCause }) => withholdingCause === cause).length;
  const inBackoff = (cause: BackoffCause) =>
    listed.filter((state) => state.backoffUntil > now && state.backoffCause === cause).length;
  const longestSince = (times: readonly number[]) => Math.round(now - Math.min(now, ...times));
  return {
    tasks_bound: bound.count,
    tasks_bound_longest_milliseconds: Math.round(bound.longestMilliseconds),
    endpoints_unfenced: unfenced.length,
    endpoints_unfenced_longest_milliseconds: longestSince(
      unfenced.map(({ tokenTakenAt }) => tokenTakenAt),
    ),
    endpoints_withheld_unconfirmed_run: withheldFor('unconfirmed-run'),
    endpoints_withheld_outstanding_start: withheldFor('outstanding-start'),
    endpoints_withheld_longest_milliseconds: longestSince(
      withheld.map(({ withheldSince }) => withheldSince!),
    ),
    endpoints_backoff_refused_start: inBackoff('refused-start'),
    endpoints_backoff_unanswered_start: inBackoff('unanswered-start'),
    endpoints_backoff_unanswered_stop: inBackoff('unanswered-stop'),
    endpoints_backoff_unknown_run: inBackoff('unknown-run'),
    ends_unacknowledged: listed.reduce((sum, { relistedEnds }) => sum + relistedEnds, 0),
  };
}
