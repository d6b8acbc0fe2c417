import type { ReclaimKind, ReclaimPolicy, ReclaimTask } from '../types/reclaim.js';

/** Counts the processor time that must be spent again. */
class LeastLossPolicy implements ReclaimPolicy {
  readonly name = 'least-loss';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  computeLoss(task: ReclaimTask, kind: ReclaimKind): number | null {
    if (kind === 'throttle') return task.throttleProcessors > 0 ? 0 : null;
    const { processors } = task.resources;
    if (kind === 'stop') return processors * task.unsavedMilliseconds;
    return task.checkpointMilliseconds === null ? null : processors * task.checkpointMilliseconds;
  }
}

/** @returns policy that counts the processor time that must be spent again */
export const createLeastLossPolicy = (): ReclaimPolicy => new LeastLossPolicy();
