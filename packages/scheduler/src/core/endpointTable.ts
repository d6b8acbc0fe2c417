import { assertInvariant } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';
import { addResources, NO_RESOURCES } from '@chicorybend/decisions';

import type { EndpointEntry, OrderTarget } from '../types/endpoint.js';
import type { TaskRecord } from '../types/jobRecord.js';
import type { StepSpecification } from '../types/job.js';

/** An endpoint as the owner knows it. */
export interface EndpointState {
  /** Last entry of the directory. */
  entry: EndpointEntry;
  /** Whether the directory lists it now. */
  isListed: boolean;
  /** Whether its lists have been read under the fencing token of this term. */
  isReconciled: boolean;
  /** Incarnation that the lists were read from. */
  bornAt: number;
  /** What the runs that may exist there use. */
  used: Resources;
  /** Runs that may exist there, by task. */
  readonly runs: Map<string, TaskRecord>;
  /** Last end that was applied. */
  appliedSequence: number;
  /** Last end that is durable; acknowledged by the next hold. */
  durableSequence: number;
  /** Clock of the endpoint minus the monotonic clock, as a lower bound, in milliseconds; null if not known. */
  clockOffset: number | null;
  /** When all runs there have certainly lapsed, in monotonic milliseconds. */
  leasesExpireAt: number;
  /** Calls in a row without an answer. */
  unansweredCalls: number;
  /** No new starts before this time, in monotonic milliseconds. */
  backoffUntil: number;
}

/** @returns what a task takes of the capacity of an endpoint; filling tasks use processors that others leave */
export function chargedResources(step: StepSpecification): Resources {
  return step.isFilling ? { ...step.resources, processors: 0 } : step.resources;
}

/** Endpoints, the runs on them, and what teams have running. */
export interface EndpointTable {
  get(endpointId: string): EndpointState | undefined;
  all(): IterableIterator<EndpointState>;
  /** Adds an endpoint that the directory lists or that a stored run names. */
  add(entry: EndpointEntry, now: number): EndpointState;
  remove(endpointId: string): void;
  /** Charges a run of a task to its endpoint and its team. */
  charge(state: EndpointState, task: TaskRecord): void;
  /** Gives back what a run was charged. */
  release(task: TaskRecord): void;
  /** @returns what a team has running, everything that may run included */
  usedByTeam(team: string): Resources;
  target(state: EndpointState, fencingToken: number): OrderTarget;
}

/**
 * Creates an empty table.
 *
 * @returns table
 */
export function createEndpointTable(): EndpointTable {
  const states = new Map<string, EndpointState>();
  const teams = new Map<string, Resources>();

  return {
    get: (endpointId) => states.get(endpointId),
    all: () => states.values(),
    add(entry, now) {
      const state: EndpointState = {
        entry,
        isListed: true,
        isReconciled: false,
        bornAt: entry.bornAt,
        used: NO_RESOURCES,
        runs: new Map(),
        appliedSequence: 0,
        durableSequence: 0,
        clockOffset: null,
        leasesExpireAt: now,
        unansweredCalls: 0,
        backoffUntil: 0,
      };
      states.set(entry.endpointId, state);
      return state;
    },
    remove(endpointId) {
      states.delete(endpointId);
    },
    charge(state, task) {
      const present = state.runs.get(task.taskId);
      assertInvariant(!present, 'single-run', () => `${task.taskId} is charged already`);
      state.runs.set(task.taskId, task);
      state.used = addResources(state.used, chargedResources(task.step.specification));
      const { team } = task.step.job;
      teams.set(
        team,
        addResources(teams.get(team) ?? NO_RESOURCES, task.step.specification.resources),
      );
    },
    release(task) {
      const state = task.endpointId === null ? undefined : states.get(task.endpointId);
      const { team } = task.step.job;
      if (!state?.runs.delete(task.taskId)) return;
      state.used = addResources(state.used, chargedResources(task.step.specification), -1);
      teams.set(
        team,
        addResources(teams.get(team) ?? NO_RESOURCES, task.step.specification.resources, -1),
      );
    },
    usedByTeam: (team) => teams.get(team) ?? NO_RESOURCES,
    target: (state, fencingToken) => ({
      endpointId: state.entry.endpointId,
      address: state.entry.address,
      fencingToken,
    }),
  };
}
