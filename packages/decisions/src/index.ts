/** Scheduling decisions as code without I/O: placement, queue order, admission, quarantine, estimates. */

/** Placement of tasks on the capacity of workers. */
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
/** Placement policies; the last two are baselines for performance tests. */
export { createBestFitPolicy } from './plugins/bestFitPolicy.js';
export { createSpreadPolicy } from './plugins/spreadPolicy.js';
export { createFirstFitPolicy } from './plugins/firstFitPolicy.js';
export { createRandomPolicy } from './plugins/randomPolicy.js';

/** Queue of pending tasks. */
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
export {
  addResources,
  coversResources,
  isWithinLimit,
  NO_RESOURCES,
} from './utils/resourceAmounts.js';

/** Queueing and admission of interactive requests. */
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

/** Bounds on leases that orders for former incarnations have widened. */
export {
  boundFormerWidenedLeases,
  boundWidenedLeasesByAge,
  isReplacementNoticed,
  boundFormerOutstandingStart,
} from './core/leaseBounds.js';
export type { LeaseDurations } from './core/leaseBounds.js';

/** Opening of the due occurrences of recurring jobs. */
export { canOpenOccurrence } from './core/occurrenceWindow.js';
export type { OccurrenceSize, OpenOccurrences } from './core/occurrenceWindow.js';

/** Quarantine of workers and jobs that fail repeatedly. */
export type { Quarantine, QuarantineVerdict } from './types/quarantine.js';
export { createQuarantine } from './core/quarantine.js';
export type { QuarantineOptions } from './core/quarantine.js';

/** Health of the members of a group that shares work. */
export { createMemberHealth } from './core/memberHealth.js';
export type { MemberHealth, RetryDelays } from './core/memberHealth.js';

/** Attribution of the loss of endpoints to tasks that crash them. */
export {
  classifyLoss,
  discardOutlivedLosses,
  hasCommonCause,
  isRecentStart,
  judgeCrashes,
  maximumTrialEndpoints,
  trialMillisecondsFor,
} from './core/crashSuspicion.js';
export type {
  CrashVerdict,
  EndpointLoss,
  LossCertainty,
  LossCircumstances,
  LossRole,
  LostEndpoint,
  LostRun,
} from './core/crashSuspicion.js';

/** Reclaiming of resources from teams above their share. */
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

/** Run times and sizes estimated from finished executions. */
export { createRunTimeEstimator } from './core/runTimeEstimator.js';
export type { ExecutionSample, RunTimeEstimator, UsageSample } from './core/runTimeEstimator.js';

/** Placement and order of the steps of jobs. */
export { createAdviceOrder } from './core/adviceOrder.js';
export type { AdviceOrder } from './core/adviceOrder.js';
export { chooseEndpointsForAdvice, countAdviceCalls } from './core/chooseEndpointsForAdvice.js';
export type {
  AdviceCallCost,
  AdviceCandidates,
  AdviceNeed,
} from './core/chooseEndpointsForAdvice.js';
export { createUrgentHeadroom } from './core/urgentHeadroom.js';
export type { HeadroomEndpoint, ServiceLoad, UrgentHeadroom } from './core/urgentHeadroom.js';
export { createEligibilityEstimate } from './core/eligibilityEstimate.js';
export type { EligibilityEstimate } from './core/eligibilityEstimate.js';
export { canHost, createEndpointChooser } from './core/chooseEndpoint.js';
export type {
  EndpointCandidate,
  EndpointChooser,
  EndpointRequirements,
  PlacementCandidate,
  TrialRequirements,
} from './core/chooseEndpoint.js';
export { fitsIdleEndpoints } from './core/fitsIdleEndpoints.js';
export { chooseGangRoom } from './core/chooseGangRoom.js';
export type { GangRoom } from './core/chooseGangRoom.js';
export { createReservationWindows } from './core/reservationWindows.js';
export type { ReservationScope, ReservationWindows } from './core/reservationWindows.js';
export { selectFittingStarts } from './core/selectFittingStarts.js';
export type { ChargedRun } from './core/selectFittingStarts.js';
export { decideAdmission } from './core/decideAdmission.js';
export type { ArrivingJob, JobVerdict, WaitingWork, WorkDigest } from './core/decideAdmission.js';
export { applyPastUse, judgePunctuality, orderSteps } from './core/stepOrder.js';
export type { ObjectiveTimes, OrderingKey, Punctuality } from './core/stepOrder.js';

/** Lateness of a process, and what it means for its conclusions about others. */
export { createLoopLateness } from './core/loopLateness.js';
export { decideShedding, SHEDDING_LEVELS } from './core/loadShedding.js';
export type { MeasuredLateness, SheddingLevel } from './core/loadShedding.js';
export type { LoopLateness, UnansweredCall } from './core/loopLateness.js';

/** Past use of teams in the order of waiting work. */
export {
  computePastUseFactor,
  createPastUse,
  encodePastUse,
  MAXIMUM_COUNTED_GAP_MILLISECONDS,
  parsePastUse,
} from './core/pastUse.js';
export type { PastUse, PastUseRecord, PastUseSettings, TeamShareSample } from './core/pastUse.js';
export { createPutBackBounds } from './core/putBackBounds.js';
export type { PutBackBounds } from './core/putBackBounds.js';

/** Run times and endpoint speeds estimated from runs, and detection of stragglers. */
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
export { createUnmetRequirements } from './core/unmetRequirements.js';
