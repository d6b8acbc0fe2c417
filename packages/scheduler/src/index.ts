/** Schedules durable jobs: one VM, elected through the cluster store, owns them and runs their tasks on endpoints. */

export { createScheduler } from './core/scheduler.js';
export type { Scheduler, SchedulerOptions } from './core/scheduler.js';

/** Components for tests and programs that compose them themselves. */
export { createOwnerElection } from './core/ownerElection.js';
export type {
  OwnerElection,
  OwnerElectionOptions,
  TermIdentity,
  OwnerRecord,
} from './core/ownerElection.js';
export { createCommitQueue } from './core/commitQueue.js';
export type { CommitQueue, CommitQueueOptions, CommitUrgency } from './core/commitQueue.js';
export { createWorkMeter } from './core/workMeter.js';
export type { WorkMeter, WorkPart, WorkReading } from './core/workMeter.js';
export { createOwnerTerm } from './core/ownerTerm.js';
export type { OwnerTerm, OwnerTermOptions } from './core/ownerTerm.js';
export { splitAddress } from './core/peerChannel.js';

export { COUNTERS, createSchedulerMetrics, GAUGES, HISTOGRAMS } from './core/schedulerMetrics.js';
export type {
  CounterName,
  GaugeName,
  HistogramName,
  SchedulerMetrics,
} from './core/schedulerMetrics.js';

/** Interfaces that the platform implements for the scheduler. */
export { MAXIMUM_WRITE_ENTRIES } from './types/clusterStore.js';
export type {
  ChangeOutcome,
  ChangesOutcome,
  ClusterStore,
  LeaseOutcome,
  ReadOutcome,
  RenewOutcome,
  StoredItem,
  StoredValue,
  StorePage,
  StoreChange,
  StoreWrite,
  WriteCondition,
  WriteOutcome,
} from './types/clusterStore.js';
export type {
  EndKind,
  EndpointClient,
  EndpointDirectory,
  EndpointEntry,
  EndReport,
  HoldOrder,
  HoldOutcome,
  OrderOutcome,
  OrderRefusal,
  OrderTarget,
  RunId,
  RunReport,
  StartOrder,
} from './types/endpoint.js';
export type { AdviceClient, AdviceOutcome, AdviceTicket } from './types/advice.js';
export type {
  AdviceSettings,
  ClusterConfiguration,
  ConfigurationSource,
  JobQueueSettings,
  ServiceSettings,
  TeamQuota,
} from './types/configuration.js';
export type {
  EvacuationOutcome,
  EvacuationSettings,
  EvacuationSource,
} from './types/evacuation.js';
export type { EndpointTimeLimits } from './types/termContext.js';

export type { PastUseSettings } from '@chicorybend/decisions';

/** Requests of API callers and their answers. */
export type { CallerAnswer, CallerRequest } from './types/caller.js';
export type { JobSpecification, JobStatus, Schedule, StepSpecification } from './types/job.js';
