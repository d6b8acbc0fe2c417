import type { Resources } from '@chicorybend/common';

import type { ResourceUnits } from '../utils/units.js';
import type { WorkerRecord } from './workerRecord.js';

/** Search for a worker for one task. */
export interface CandidateQuery {
  readonly resources: Resources;
  /** The same amounts in whole units. */
  readonly units: ResourceUnits;
  /** Whether the task may run on the worker, regardless of its free amounts. */
  readonly isAllowed: (worker: WorkerRecord) => boolean;
}

/** Index of the schedulable workers by available amounts. */
export interface CandidateIndex {
  /** Adds a worker, or moves it after its available amounts changed. */
  update(worker: WorkerRecord): void;
  remove(worker: WorkerRecord): void;
  /** @returns the best worker by the policy, or null if the task fits on none of the allowed ones */
  find(query: CandidateQuery): WorkerRecord | null;
}
