/**
 * Detects jobs that can never run, so that they are refused instead of waiting forever.
 */
import { createFailure, RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { Failure, FailureDetail, JobRequest, Resources, VmRecord } from '@chicorybend/common';

function countFittingTasks(capacity: Resources, resources: Resources): number {
  const counts = RESOURCE_DIMENSIONS.filter((dimension) => resources[dimension] > 0).map(
    (dimension) => Math.floor(capacity[dimension] / resources[dimension]),
  );
  return Math.min(Number.MAX_SAFE_INTEGER, ...counts);
}

function explainDimensions(
  capacities: readonly Resources[],
  resources: Resources,
): FailureDetail[] {
  return RESOURCE_DIMENSIONS.flatMap((dimension) => {
    const largest = Math.max(...capacities.map((capacity) => capacity[dimension]));
    if (resources[dimension] <= largest) return [];
    const reason = `a task needs ${resources[dimension]}, the largest worker has ${largest}`;
    return [{ path: `resources.${dimension}`, reason }];
  });
}

function explainCombination(
  capacities: readonly Resources[],
  request: JobRequest,
): FailureDetail[] {
  const fittingTasks = capacities.reduce(
    (sum, capacity) => sum + countFittingTasks(capacity, request.resources),
    0,
  );
  if (fittingTasks === 0) {
    return [{ path: 'resources', reason: 'no single worker has enough of all dimensions' }];
  }
  if (request.kind !== 'gang' || request.tasks <= fittingTasks) return [];
  const reason = `the gang needs room for ${request.tasks} tasks at once, all workers have ${fittingTasks}`;
  return [{ path: 'tasks', reason }];
}

function createNeverFits(details: readonly FailureDetail[]): Failure {
  const reason = details.map(({ path, reason: text }) => `${path}: ${text}`).join('; ');
  return createFailure('never-fits', { reason }, { details });
}

/**
 * Checks whether a gang has more tasks than its team may run at once.
 *
 * @param limit tasks that the team may run at once, or undefined if the team is not known
 * @param request job to check
 * @returns `never-fits`, or null if the gang is within the limit
 */
export function explainOverLimit(limit: number | undefined, request: JobRequest): Failure | null {
  if (limit === undefined || request.kind !== 'gang' || request.tasks <= limit) return null;
  const reason = `the gang needs ${request.tasks} tasks at once, the upper limit of the team is ${limit}`;
  return createNeverFits([{ path: 'tasks', reason }]);
}

/**
 * Checks whether a job could run on the workers of the cell if all of them were empty.
 *
 * @param workers workers of the VM list
 * @param request job to check
 * @returns `never-fits` with a reason per dimension, or null if the job fits or no worker is known yet
 */
export function explainNeverFits(
  workers: readonly VmRecord[],
  request: JobRequest,
): Failure | null {
  const capacities = workers.flatMap((vm) => (vm.capacity ? [vm.capacity] : []));
  if (capacities.length === 0) return null;
  const dimensions = explainDimensions(capacities, request.resources);
  const details = dimensions.length > 0 ? dimensions : explainCombination(capacities, request);
  return details.length === 0 ? null : createNeverFits(details);
}
