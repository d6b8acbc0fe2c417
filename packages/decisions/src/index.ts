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
  WorkItem,
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
  AdmissionController,
  AdmissionVerdict,
  QueuedRequest,
  RequestQueue,
} from './types/requestQueue.js';

export { createRequestQueue } from './core/requestQueue.js';
export type { RequestQueueOptions } from './core/requestQueue.js';
export { createAdmissionController } from './core/admissionController.js';
export type { AdmissionControllerOptions } from './core/admissionController.js';

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
export { chooseEndpointsForAdvice } from './core/chooseEndpointsForAdvice.js';
export type { AdviceCallCost } from './core/chooseEndpointsForAdvice.js';
export { chooseEndpoint } from './core/chooseEndpoint.js';
export type { EndpointCandidate, EndpointRequirements } from './core/chooseEndpoint.js';
export { judgePunctuality, orderSteps } from './core/stepOrder.js';
export type { ObjectiveTimes, OrderingKey, Punctuality } from './core/stepOrder.js';

/** Times of work, learnt from runs: by kind, by endpoint, and of runs in progress. */
export { createEndpointSpeedEstimator } from './core/endpointSpeedEstimator.js';
export type { EndpointSpeedEstimator, TimedRun } from './core/endpointSpeedEstimator.js';
export {
  appendReport,
  chooseReferenceMilliseconds,
  judgeStraggler,
  projectRemainingMilliseconds,
} from './core/judgeStraggler.js';
export type { ProgressReport, RunProgress, StragglerVerdict } from './core/judgeStraggler.js';
export { createRunTimeRegression } from './core/runTimeRegression.js';
export type { RunTimeRegression } from './core/runTimeRegression.js';
