import type { CandidateIndex } from '../types/candidateIndex.js';
import type { PlacementPolicy } from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { countFits } from '../utils/units.js';

/** Ranks workers without accelerators before those whose accelerators are all in use. */
const computeSpareAccelerators = (worker: WorkerRecord): number =>
  worker.capacityUnits.accelerators === 0 ? -1 : worker.availableUnits.accelerators;

/**
 * Creates an index that scores every worker that fits; its cost grows with the number of workers.
 *
 * @param policy scores workers
 */
export function createScanIndex(policy: PlacementPolicy): CandidateIndex {
  const workers = new Set<WorkerRecord>();

  return {
    update(worker) {
      workers.add(worker);
    },
    remove(worker) {
      workers.delete(worker);
    },
    find({ resources, units, isAllowed }) {
      let best: WorkerRecord | null = null;
      let bestScore = -Infinity;
      // A task without accelerators uses the fitting worker with the fewest spare accelerators.
      let bestSpare = Infinity;
      for (const worker of workers) {
        if (countFits(worker.availableUnits, units) < 1 || !isAllowed(worker)) continue;
        const spare = units.accelerators > 0 ? 0 : computeSpareAccelerators(worker);
        const score = policy.score(worker.available, worker.capacity, resources);
        if (spare < bestSpare || (spare === bestSpare && score > bestScore)) {
          best = worker;
          bestScore = score;
          bestSpare = spare;
        }
      }
      return best;
    },
  };
}
