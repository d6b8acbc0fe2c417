/** The chicorybend daemon. */

/** Durable work. */
export { createJobService } from './core/jobService.js';
export type { JobServiceOptions } from './core/jobService.js';
export { createWorkerService } from './core/workerService.js';
export type { WorkerService, WorkerServiceOptions } from './core/workerService.js';
export { createWorkerClient } from './core/workerClient.js';
export type { WorkerClient } from './core/workerClient.js';

/** Interfaces between the daemon's modules. */
export type { Allotments, LimitDimension } from './types/allotment.js';
export type { AuthenticatedKey, ConfigurationView } from './types/configurationView.js';
export type { JournalRecord } from './types/journalRecord.js';
export type {
  Member,
  MembershipRecord,
  MembershipView,
  PeerReport,
} from './types/membershipView.js';
export type {
  Journal,
  JournalError,
  LoadBoard,
  PartitionDirectory,
  PartitionLease,
  PartitionLoad,
  PartitionOpening,
  PartitionOwner,
  PartitionService,
} from './types/partition.js';
export type { PeerContext, PeerError, PeerHandler, PeerLink, PeerMethod } from './types/peer.js';
export type {
  DaemonView,
  ForwardedRequest,
  PeerMethods,
  Reservation,
  ReserveRequest,
  TaskEvent,
  UsageRow,
  WorkerView,
} from './types/peerMethods.js';
export type { VmDirectory } from './types/vmDirectory.js';
