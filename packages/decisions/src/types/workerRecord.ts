import type { Resources } from '@chicorybend/common';

import type { ResourceUnits } from '../utils/units.js';

/** Amounts of a worker that are held for some work. */
export interface WorkerHold {
  readonly workId: string;
  readonly units: ResourceUnits;
}

/** State of a worker in the pool. */
export interface WorkerRecord {
  readonly workerId: string;
  rack: string;
  capacity: Resources;
  capacityUnits: ResourceUnits;
  usedUnits: ResourceUnits;
  /** Never negative, even if more than the capacity was adopted. */
  freeUnits: ResourceUnits;
  free: Resources;
  isSchedulable: boolean;
  /** Amounts held for work that does not fit yet, or null. */
  hold: WorkerHold | null;
  /** Free amounts less the held ones; the same objects as the free amounts if there is no hold. */
  availableUnits: ResourceUnits;
  available: Resources;
}
