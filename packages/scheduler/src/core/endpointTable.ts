import { assertInvariant, hashText } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';
import { addResources, NO_RESOURCES } from '@chicorybend/decisions';

import type { EndpointEntry, OrderTarget } from '../types/endpoint.js';
import type { TaskRecord } from '../types/jobRecord.js';
import type { StepSpecification } from '../types/job.js';
import { mayBeInLaterIncarnation } from './jobRecords.js';

/** Maximum number of ends in one list; a full list may omit ends, so it does not prove that a run is absent. */
export const MAXIMUM_LISTED_ENDS = 500;

/** When leases at an endpoint have certainly expired, in monotonic milliseconds. */
export interface LeaseExpiries {
  /** Those that orders for the present incarnation have granted there. */
  leasesExpireAt: number;
  /** Those of the present incarnation that orders for former ones have widened. */
  widenedLeasesExpireAt: number;
  /** Those that orders for the present incarnation have granted in a later one. */
  laterLeasesExpireAt: number;
}

/** Why no new runs are placed on an endpoint for a while. */
export type BackoffCause = 'refused-start' | 'unanswered-start' | 'unanswered-stop' | 'unknown-run';

/** Why durable ends of an endpoint are not acknowledged. */
export type WithholdingCause = 'unconfirmed-run' | 'outstanding-start';

/** State of an endpoint at the owner. */
export interface EndpointState extends LeaseExpiries {
  /** Latest entry of the directory. */
  entry: EndpointEntry;
  /** Position in an order that is unrelated to racks and data centres. */
  readonly shuffleKey: number;
  /** When the last read that returned an entry was sent, in monotonic milliseconds; -Infinity if there was none. */
  entryReadAt: number;
  /** Drain of the incarnation before that of the entry, and when it ends in monotonic milliseconds; null if none. */
  formerDrain: { readonly bornAt: number; readonly endsAt: number } | null;
  /**
   * When the first read of the term, which did not return the entry, was sent, in monotonic milliseconds; null if it
   * did, or a later one has.
   */
  unlistedAt: number | null;
  /** Whether the directory lists it now. */
  isListed: boolean;
  /** Whether the recorded runs have been compared with lists read under the fencing token of this term. */
  isReconciled: boolean;
  /** Start of the incarnation that the lists came from, in milliseconds since the Unix epoch. */
  bornAt: number;
  /** Fencing token of orders for this incarnation; higher than that of orders for former ones. */
  fencingToken: number;
  /** Whether the incarnation has answered a hold with this token, so that it refuses orders for former ones. */
  isFenced: boolean;
  /** When this token was chosen, in monotonic milliseconds. */
  tokenTakenAt: number;
  /** Starts of incarnations that were followed by another; a clock that was set back does not order them. */
  readonly formerBornAt: Set<number>;
  /** Resources charged for the runs that may exist there. */
  used: Resources;
  /** Part of these that is charged for long-running tasks, which do not end by themselves. */
  usedForLongRunning: Resources;
  /** Number of filling tasks that are charged there. */
  fillingTasks: number;
  /** Number of other tasks that are charged there and have a target for their response times. */
  servingTasks: number;
  /** Tasks with a run that may exist there, by task id. */
  readonly runs: Map<string, TaskRecord>;
  /** Sequence number of the last applied end. */
  appliedSequence: number;
  /** Sequence number of the last durable end; acknowledged by the next hold. */
  durableSequence: number;
  /** Since when that has not been acknowledged, in monotonic milliseconds; null if the last hold has. */
  withheldSince: number | null;
  /** Why the last hold that acknowledged less than that did so. */
  withholdingCause: WithholdingCause;
  /** Number of ends in the last list, and of those among them that had been applied before. */
  listedEnds: number;
  relistedEnds: number;
  /** When the last hold that was answered was sent, in monotonic milliseconds; -Infinity if none was. */
  answeredHoldSentAt: number;
  /** Lower bound of the endpoint's clock minus the monotonic clock, in milliseconds; null if unknown. */
  clockOffset: number | null;
  /** When a later incarnation was first heard from, in monotonic milliseconds; -Infinity if none was in this term. */
  replacedAt: number;
  /** When a hold last went unanswered, in monotonic milliseconds; -Infinity if none did in this term. */
  lastSilentAt: number;
  /** When the last order that grants leases was sent, in monotonic milliseconds; null if none was in this term. */
  lastLeaseOrderAt: number | null;
  /** When the last answer arrived, in monotonic milliseconds; null if there was none in this term. */
  lastAnswerAt: number | null;
  /** Number of unanswered holds in a row. */
  unansweredCalls: number;
  /** When the first of them failed, in monotonic milliseconds; null if the last hold was answered. */
  silentSince: number | null;
  /** Whether its connection ended or was refused, rather than that no answer came in time. */
  isDisconnected: boolean;
  /** Whether it ended while the endpoint was to report the next end, so that no run had ended before. */
  hasCrashedDuringHold: boolean;
  /** No new runs are placed there before this time, in monotonic milliseconds. */
  backoffUntil: number;
  /** Why not. */
  backoffCause: BackoffCause;
}

/** @returns resources that a task is charged; filling tasks use only idle processors and are charged none */
export function chargedResources(step: StepSpecification): Resources {
  return step.isFilling ? { ...step.resources, processors: 0 } : step.resources;
}

/**
 * @returns whether a list could omit ends by the time that all present runs have ended, because the ends are not
 * acknowledged while an outstanding start may be executed
 */
export function mayOverflowList({
  listedEnds,
  runs,
  withheldSince,
  withholdingCause,
}: EndpointState): boolean {
  const isWithheld = withheldSince !== null && withholdingCause === 'outstanding-start';
  return isWithheld && listedEnds + runs.size >= MAXIMUM_LISTED_ENDS;
}

/** @returns whether an incarnation precedes the one that the lists came from */
export function isFormerIncarnation(
  { bornAt: current, formerBornAt }: EndpointState,
  bornAt: number,
): boolean {
  return bornAt !== current && (bornAt < current || formerBornAt.has(bornAt));
}

/**
 * An endpoint that is missing in the directory counts as gone, so that no later incarnation executes its orders late.
 *
 * @param orderDelay latest execution of an order after it was sent, in milliseconds
 * @returns when the lease of a run has certainly expired, in monotonic milliseconds
 */
export function leaseExpiryOf(state: EndpointState, task: TaskRecord, orderDelay: number): number {
  const { leasesExpireAt, widenedLeasesExpireAt, laterLeasesExpireAt, isListed } = state;
  if (mayBeInLaterIncarnation(task)) {
    return isListed ? laterLeasesExpireAt : laterLeasesExpireAt - orderDelay;
  }
  return Math.max(leasesExpireAt, widenedLeasesExpireAt);
}

/** @returns when all leases that may be known at an endpoint have certainly expired, in monotonic milliseconds */
export function lastLeaseExpiry(state: LeaseExpiries): number {
  const { leasesExpireAt, widenedLeasesExpireAt, laterLeasesExpireAt } = state;
  return Math.max(leasesExpireAt, widenedLeasesExpireAt, laterLeasesExpireAt);
}

/** Endpoints, the runs on them, and the resources in use by team. */
export interface EndpointTable {
  get(endpointId: string): EndpointState | undefined;
  all(): IterableIterator<EndpointState>;
  /** @returns all endpoints in the order of their shuffle keys */
  shuffled(): readonly EndpointState[];
  /** Adds an endpoint that is in the directory or is named by a stored run. */
  add(
    entry: EndpointEntry,
    leases: LeaseExpiries,
    fencingToken: number,
    now: number,
  ): EndpointState;
  remove(endpointId: string): void;
  /** Charges the resources of a run to its endpoint and its team. */
  charge(state: EndpointState, task: TaskRecord): void;
  /** Returns the resources charged for a run; no effect if there are none. */
  release(task: TaskRecord): void;
  /** @returns resources of all runs of a team that may exist */
  usedByTeam(team: string): Resources;
  /** @returns resources of those that are long-running */
  usedForLongRunningByTeam(team: string): Resources;
  /** @returns teams that have run anything in this term */
  teams(): IterableIterator<string>;
  target(state: EndpointState): OrderTarget;
}

export function createEndpointTable(): EndpointTable {
  const states = new Map<string, EndpointState>();
  const teams = new Map<string, Resources>();
  const longRunningByTeam = new Map<string, Resources>();
  /** Null after a change of the endpoints. */
  let shuffled: readonly EndpointState[] | null = null;

  /** Adds the resources of a run to its endpoint and its team, or subtracts them. */
  function account(state: EndpointState, { step }: TaskRecord, factor: 1 | -1): void {
    const charged = chargedResources(step.specification);
    const { resources, isLongRunning, isFilling, targetMilliseconds } = step.specification;
    function addToTeam(byTeam: Map<string, Resources>): void {
      const { team } = step.job;
      byTeam.set(team, addResources(byTeam.get(team) ?? NO_RESOURCES, resources, factor));
    }
    state.used = addResources(state.used, charged, factor);
    if (isFilling) state.fillingTasks += factor;
    else if (targetMilliseconds > 0) state.servingTasks += factor;
    addToTeam(teams);
    if (!isLongRunning) return;
    state.usedForLongRunning = addResources(state.usedForLongRunning, charged, factor);
    addToTeam(longRunningByTeam);
  }

  return {
    get: (endpointId) => states.get(endpointId),
    all: () => states.values(),
    shuffled() {
      shuffled ??= [...states.values()].sort((left, right) => left.shuffleKey - right.shuffleKey);
      return shuffled;
    },
    add(entry, leases, fencingToken, now) {
      const state: EndpointState = {
        entry,
        shuffleKey: hashText(entry.endpointId),
        entryReadAt: -Infinity,
        formerDrain: null,
        unlistedAt: null,
        isListed: true,
        isReconciled: false,
        bornAt: entry.bornAt,
        fencingToken,
        isFenced: false,
        tokenTakenAt: now,
        formerBornAt: new Set(),
        used: NO_RESOURCES,
        usedForLongRunning: NO_RESOURCES,
        fillingTasks: 0,
        servingTasks: 0,
        runs: new Map(),
        appliedSequence: 0,
        durableSequence: 0,
        withheldSince: null,
        withholdingCause: 'unconfirmed-run',
        listedEnds: 0,
        relistedEnds: 0,
        answeredHoldSentAt: -Infinity,
        clockOffset: null,
        ...leases,
        replacedAt: -Infinity,
        lastSilentAt: -Infinity,
        lastLeaseOrderAt: null,
        lastAnswerAt: null,
        unansweredCalls: 0,
        silentSince: null,
        isDisconnected: false,
        hasCrashedDuringHold: false,
        backoffUntil: 0,
        backoffCause: 'refused-start',
      };
      states.set(entry.endpointId, state);
      shuffled = null;
      return state;
    },
    remove(endpointId) {
      states.delete(endpointId);
      shuffled = null;
    },
    charge(state, task) {
      const present = state.runs.get(task.taskId);
      assertInvariant(
        !present,
        'single-run',
        () => `task ${task.taskId} already has a run charged to endpoint ${state.entry.endpointId}`,
      );
      state.runs.set(task.taskId, task);
      account(state, task, 1);
    },
    release(task) {
      const state = task.endpointId === null ? undefined : states.get(task.endpointId);
      if (state?.runs.delete(task.taskId)) account(state, task, -1);
    },
    usedByTeam: (team) => teams.get(team) ?? NO_RESOURCES,
    usedForLongRunningByTeam: (team) => longRunningByTeam.get(team) ?? NO_RESOURCES,
    teams: () => teams.keys(),
    target: ({ entry, fencingToken }) => ({
      endpointId: entry.endpointId,
      address: entry.address,
      fencingToken,
    }),
  };
}
