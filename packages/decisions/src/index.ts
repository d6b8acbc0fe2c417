/** Decisions of the scheduler as pure code: placement, order of work, admission, quarantine. */

/** Capacity of workers and placement on them. */
export type {
  PlacementPolicy,
  PlacementRequest,
  PoolTotals,
  PoolWorker,
  WorkerPool,
} from './types/workerPool.js';

/** Order of pending work. */
export type {
  QueuedWork,
  QueueOrderName,
  QueueOrderPolicy,
  QueuePriority,
  TaskQueue,
} from './types/taskQueue.js';

/** Interactive requests. */
export type {
  Admission,
  AdmissionVerdict,
  QueuedRequest,
  RequestQueue,
} from './types/requestQueue.js';

/** Workers and jobs that fail. */
export type { Quarantine, QuarantineVerdict } from './types/quarantine.js';
