import type { Resources } from '@chicorybend/common';

import type { ResourceUnits } from '../utils/units.js';
import type { WorkerRecord } from './workerRecord.js';

/** A search for one task. */
export interface CandidateQuery {
  readonly resources: Resources;
  readonly units: ResourceUnits;
  /** Tells whether a worker may be used at all. */
  readonly isAllowed: (worker: WorkerRecord) => boolean;
}

/** Schedulable workers, arranged for the search by free amounts. */
export interface CandidateIndex {
  /** Adds a worker, or moves it after its free amounts changed. */
  update(worker: WorkerRecord): void;
  remove(worker: WorkerRecord): void;
  /** @returns the worker to use, or null if none of the allowed ones has room */
  find(query: CandidateQuery): WorkerRecord | null;
}
