import type { ReclaimKind, ReclaimPolicy, ReclaimableTask } from '../types/reclaim.js';

/** Values a reclaim by the processor time that must be spent again. */
class LeastLossPolicy implements ReclaimPolicy {
  readonly name = 'least-loss';

  // eslint-disable-next-line class-methods-use-this -- required by the interface
  computeLoss(task: ReclaimableTask, kind: ReclaimKind): number | null {
    if (kind === 'throttle') return task.throttleableProcessors > 0 ? 0 : null;
    const { processors } = task.resources;
    if (kind === 'stop') return processors * task.unsavedMilliseconds;
    return task.checkpointCostMilliseconds === null
      ? null
      : processors * task.checkpointCostMilliseconds;
  }
}

export const createLeastLossPolicy = (): ReclaimPolicy => new LeastLossPolicy();
