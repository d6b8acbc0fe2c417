import type { Resources } from '@chicorybend/common';

import type { ResourceUnits } from '../utils/units.js';

/** Amounts of a worker that are kept for some work. */
export interface WorkerHold {
  readonly workId: string;
  readonly units: ResourceUnits;
}

/** A worker as the pool keeps it. */
export interface WorkerRecord {
  readonly workerId: string;
  rack: string;
  capacity: Resources;
  capacityUnits: ResourceUnits;
  usedUnits: ResourceUnits;
  /** Never negative, even if more was adopted than the capacity. */
  freeUnits: ResourceUnits;
  free: Resources;
  isSchedulable: boolean;
  /** Amounts kept for work that does not fit yet, or null. */
  hold: WorkerHold | null;
  /** Free amounts without those kept; the same objects as the free ones without a reservation. */
  availableUnits: ResourceUnits;
  available: Resources;
}
