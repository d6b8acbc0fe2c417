import type { CandidateIndex } from '../types/candidateIndex.js';
import type { PlacementPolicy } from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { countFits } from '../utils/units.js';

/** Workers without accelerators come before those whose accelerators are all in use. */
const computeSpareAccelerators = (worker: WorkerRecord): number =>
  worker.capacityUnits.accelerators === 0 ? -1 : worker.availableUnits.accelerators;

/**
 * Creates an index that scores every worker with room; its cost grows with the number of workers.
 *
 * @param policy scores
 * @returns index
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
      // Work that needs no accelerator uses a worker with one only if no other has room.
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
