/** Decisions of the scheduler as pure code: placement, order of work, admission, quarantine. */

/** Capacity of workers and placement on them. */
export type {
  PlacementPolicy,
  PlacementRequest,
  PoolTotals,
  PoolWorker,
  SearchOrder,
  WorkerPool,
} from './types/workerPool.js';

export { createWorkerPool } from './core/workerPool.js';
export type { WorkerPoolOptions } from './core/workerPool.js';
/** Placement policies; the last two are baselines to measure against. */
export { createBestFitPolicy } from './plugins/bestFitPolicy.js';
export { createSpreadPolicy } from './plugins/spreadPolicy.js';
export { createFirstFitPolicy } from './plugins/firstFitPolicy.js';
export { createRandomPolicy } from './plugins/randomPolicy.js';

/** Order of pending work. */
export type {
  QueuedWork,
  QueueOrderName,
  QueueOrderPolicy,
  QueuePriority,
  TaskQueue,
  TaskQueueOptions,
} from './types/taskQueue.js';
export { createTaskQueue } from './core/taskQueue.js';

export { createQueueOrderPolicy } from './core/queueOrderPolicy.js';

/** Amounts of resources. */
export { computeDominantShare } from './utils/dominantShare.js';
export { addResources, coversResources, NO_RESOURCES } from './utils/resourceAmounts.js';

/** Interactive requests. */
export type {
  Admission,
  AdmissionVerdict,
  QueuedRequest,
  RequestQueue,
} from './types/requestQueue.js';

export { createRequestQueue } from './core/requestQueue.js';
export type { RequestQueueOptions } from './core/requestQueue.js';
export { createAdmission } from './core/admission.js';
export type { AdmissionOptions } from './core/admission.js';

/** Workers and jobs that fail. */
export type { Quarantine, QuarantineVerdict } from './types/quarantine.js';
export { createQuarantine } from './core/quarantine.js';
export type { QuarantineOptions } from './core/quarantine.js';

/** Taking resources back from teams above their share. */
export { chooseReclaim } from './core/chooseReclaim.js';
export { createLeastLossPolicy } from './plugins/leastLossPolicy.js';
export type {
  ReclaimAction,
  ReclaimKind,
  ReclaimDemand,
  ReclaimPolicy,
  ReclaimInput,
  ReclaimableTask,
  TeamShare,
} from './types/reclaim.js';

/** Learning from what has run. */
export { createRunTimeEstimator } from './core/runTimeEstimator.js';
export type { ExecutionSample, RunTimeEstimator, UsageSample } from './core/runTimeEstimator.js';

/** Placement and order of the steps of jobs. */
export { chooseAdvised } from './core/chooseAdvised.js';
export type { AdviceTimes } from './core/chooseAdvised.js';
export { chooseEndpoint } from './core/chooseEndpoint.js';
export type { EndpointCandidate, EndpointRequest } from './core/chooseEndpoint.js';
export { judgePunctuality, orderWork } from './core/workOrder.js';
export type { ObjectiveTimes, OrderedWork, Punctuality } from './core/workOrder.js';

/** Times of work, learnt from runs: by kind, by endpoint, and of runs in progress. */
export { createEndpointSpeeds } from './core/endpointSpeeds.js';
export type { EndpointSpeeds, TimedRun } from './core/endpointSpeeds.js';
export {
  appendReport,
  chooseReference,
  judgeStraggler,
  projectRemaining,
} from './core/judgeStraggler.js';
export type { ProgressReport, SlowRun, StragglerVerdict } from './core/judgeStraggler.js';
export { createWorkTimeModel } from './core/workTimeModel.js';
export type { WorkTimeModel } from './core/workTimeModel.js';
