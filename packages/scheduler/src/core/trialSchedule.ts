import { maximumTrialEndpoints } from '@chicorybend/decisions';

import type { StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { hasJustBegun, isOnTrial } from './endpointLosses.js';
import { isSuspect } from './jobRecords.js';

/** Maximum share of the endpoints that have runs on trial, and so accept no others, at once. */
const MAXIMUM_TRIAL_SHARE = 0.25;
/** How long an endpoint is reserved for a trial; covers the time until it is quiet and a call for advice. */
const RESERVATION_MILLISECONDS = 1_000;

/** Tasks of a step that may start, by how they are placed. */
export interface StartableTasks {
  /** Tasks that are started on trial, apart from those of other steps. */
  readonly onTrial: readonly TaskRecord[];
  /** Maximum number of further endpoints on which they may be started now. */
  readonly newTrialEndpoints: number;
  readonly ordinary: readonly TaskRecord[];
}

/** Decides which tasks start on trial, and reserves endpoints for them. */
export interface TrialSchedule {
  /**
   * Divides the pending tasks of a step. While one of its tasks may have crashed an endpoint, the others may carry the
   * same fault, so they are on trial too until a run of the step has passed. A gang is on trial as a whole.
   *
   * @param pending tasks that could start now
   */
  divide(step: StepRecord, pending: readonly TaskRecord[]): StartableTasks;
  /** @returns by id of an endpoint, the step that it is reserved for */
  reservedSteps(): ReadonlyMap<string, string>;
  hasReservation(stepId: string): boolean;
  /** Reserves endpoints for the tasks of a step, so that no others begin there and they become quiet. */
  reserve(stepId: string, endpointIds: readonly string[]): void;
}

/** @returns number of endpoints that may get a trial, of `endpoints` of which `busy` have one */
export function remainingTrialEndpoints(endpoints: number, busy: number): number {
  return Math.max(0, Math.max(1, Math.floor(MAXIMUM_TRIAL_SHARE * endpoints)) - busy);
}

/** Creates the schedule of one term. */
export function createTrialSchedule({ clock, table }: TermContext): TrialSchedule {
  const reserved = new Map<string, string>();
  /** By step id, in monotonic milliseconds. */
  const reservedUntil = new Map<string, number>();

  /** @returns whether an endpoint may be lost because of the task, which had just begun there when it fell silent */
  function isInDoubt(task: TaskRecord): boolean {
    const state = task.endpointId === null ? undefined : table.get(task.endpointId);
    return typeof state?.silentSince === 'number' && hasJustBegun(task, state.silentSince);
  }

  function hasPassed(task: TaskRecord, now: number): boolean {
    if (task.phase === 'done') return true;
    return task.phase === 'running' && !isOnTrial(task, now) && !isInDoubt(task);
  }

  function expireReservations(): void {
    const now = clock.monotonicMilliseconds();
    reservedUntil.forEach((until, stepId) => {
      if (until < now) reservedUntil.delete(stepId);
    });
    reserved.forEach((stepId, endpointId) => {
      if (!reservedUntil.has(stepId)) reserved.delete(endpointId);
    });
  }

  return {
    divide(step, pending) {
      const { tasks, hasLosses, specification } = step;
      const ordinary = { onTrial: [], newTrialEndpoints: 0, ordinary: pending };
      if (pending.length === 0) return ordinary;
      const tasksInDoubt = tasks.filter(isInDoubt);
      if (tasksInDoubt.length === 0 && !(hasLosses && tasks.some(isSuspect))) return ordinary;
      if (specification.isGang) {
        return { onTrial: pending, newTrialEndpoints: pending.length, ordinary: [] };
      }
      const now = clock.monotonicMilliseconds();
      const passed = tasks.filter((task) => hasPassed(task, now)).length;
      const trialTasks = [...tasks.filter((task) => isOnTrial(task, now)), ...tasksInDoubt];
      const trialEndpoints = new Set(trialTasks.map(({ endpointId }) => endpointId));
      const onTrial = passed > 0 ? pending.filter(isSuspect) : [...pending];
      return {
        onTrial: onTrial.sort((left, right) => right.losses.length - left.losses.length),
        newTrialEndpoints: Math.max(0, maximumTrialEndpoints(passed) - trialEndpoints.size),
        ordinary: passed > 0 ? pending.filter((task) => !isSuspect(task)) : [],
      };
    },
    reservedSteps() {
      expireReservations();
      return reserved;
    },
    hasReservation: (stepId) => reservedUntil.has(stepId),
    reserve(stepId, endpointIds) {
      endpointIds.forEach((endpointId) => reserved.set(endpointId, stepId));
      reservedUntil.set(stepId, clock.monotonicMilliseconds() + RESERVATION_MILLISECONDS);
    },
  };
}
