import type { Resources } from '@chicorybend/common';

import type { Units } from '../utils/units.js';

/** A worker as the pool keeps it. */
export interface WorkerRecord {
  readonly workerId: string;
  rack: string;
  capacity: Resources;
  capacityUnits: Units;
  usedUnits: Units;
  /** Never negative, even if more was adopted than the capacity. */
  freeUnits: Units;
  free: Resources;
  isSchedulable: boolean;
}
