/** Types, failures, schemas, clock, state charts and store client shared by the chicorybend packages. */

/** Expected failures are returned as results instead of thrown. */
export { Err, Ok } from 'ts-results-es';
export type { Result } from 'ts-results-es';

/** Store client. */
export { createStoreClient } from './core/storeClient.js';
export type { StoreClientOptions } from './core/storeClient.js';
/** State charts. */
export { loadStateChart } from './core/stateChart.js';
export type { ChartName, StateChart } from './core/stateChart.js';

/** Time. */
export type { CancelTimer, Clock } from './types/clock.js';
export { createSystemClock } from './utils/systemClock.js';
export { createManualClock } from './utils/manualClock.js';
export type { ManualClock } from './utils/manualClock.js';
export { sleep, TIMED_OUT, withTimeout } from './utils/sleep.js';

/** Metrics and log. */
export type { Counters } from './types/counters.js';
export { createLocalCounters } from './utils/localCounters.js';
export type { LocalCounters } from './utils/localCounters.js';
export { createLog, createSilentLog, LOG_LEVELS } from './utils/logger.js';
export type { Log, LogLevel, LogLine } from './utils/logger.js';

/** Failures and invariants. */
export { createFailure, FAILURE_TABLE } from './utils/errors.js';
export type { FailureOptions } from './utils/errors.js';
export type { Failure, FailureCode, FailureDetail, RunOutcome } from './types/failure.js';
export { assertInvariant, InvariantError } from './utils/assertInvariant.js';

/** Hashing, backoff and retry budget. */
export {
  chooseByRendezvous,
  hashText,
  isSameDigest,
  partitionOf,
  sha256,
} from './utils/hashing.js';
export { computeBackoff } from './utils/backoff.js';
export type { BackoffLimits } from './utils/backoff.js';
export { createRetryBudget } from './utils/retryBudget.js';
export type { RetryBudget } from './utils/retryBudget.js';

/** Platform: resources, VMs, store, workers, endpoints. */
export { RESOURCE_DIMENSIONS } from './types/resources.js';
export type { ResourceDimension, Resources } from './types/resources.js';
export type { VmListResponse, VmRecord, VmRole, VmState } from './types/vm.js';
export { STORE_VALUE_LIMIT_BYTES } from './types/store.js';
export type {
  PutOutcome,
  PutRequest,
  StoreCallOptions,
  StoreClient,
  StoreEntry,
  StoreError,
  StoreWire,
  StoreWireEntry,
} from './types/store.js';
export type {
  FinishedTask,
  RenewRequest,
  RenewResponse,
  RunningTask,
  SealRequest,
  SealResponse,
  StartRequest,
  StartResponse,
  StartResult,
  TaskAttempt,
  TaskCommand,
  TaskCommandResponse,
  TaskEnd,
  TaskStart,
  WorkerCommand,
  WorkerRefusal,
} from './types/worker.js';
export type { EndpointRequest, EndpointResponse } from './types/endpoint.js';

/** Jobs, tasks and interactive requests. */
export type { JobKind, JobRequest, JobState, JobView, TaskState, TaskView } from './types/job.js';
export type { InteractiveRequest, InteractiveResponse } from './types/request.js';

/** Configuration. */
export {
  cellSectionSchema,
  keysSectionSchema,
  nameSchema,
  operatorsSectionSchema,
  policySectionSchema,
  queuesSectionSchema,
  teamsSectionSchema,
} from './types/configuration.js';
export type {
  CellSection,
  Configuration,
  ConfigurationDocument,
  ConfigurationRoot,
  KeyRecord,
  KeysSection,
  OperatorsSection,
  PolicySection,
  QueueSettings,
  QueuesSection,
  TeamSettings,
  TeamsSection,
} from './types/configuration.js';

/** Configuration document: parsing, merging and comparing. */
export { parseConfiguration } from './core/configurationDocument.js';
export { diffDocuments } from './core/configurationDiff.js';
export type { SectionDifference, ValueDifference } from './core/configurationDiff.js';
export {
  REQUIRED_SECTIONS,
  SECTION_LIMIT_BYTES,
  sectionKindOf,
} from './core/configurationSections.js';
export type { SectionKind } from './core/configurationSections.js';
export { canonicalJson } from './utils/canonicalJson.js';

/** Benchmarks. */
export type { BenchOptions, BenchRow } from './types/benchRow.js';
