/** Public interface of the daemon package. */

/** Durable jobs and workers. */
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
  PeerStatus,
} from './types/membershipView.js';
export type {
  Journal,
  JournalError,
  PartitionLoadView,
  PartitionDirectory,
  PartitionLease,
  PartitionLoad,
  PartitionOpening,
  PartitionOwner,
  PartitionService,
} from './types/partition.js';
export type {
  PeerCallContext,
  PeerCallOptions,
  PeerError,
  PeerHandler,
  PeerLink,
  PeerMethod,
} from './types/peer.js';
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

/** Settings. */
export { readSettings } from './core/settingsReader.js';
export type { Environment } from './core/settingsReader.js';
export { describeSettings, formatSettingsHelp } from './core/settingsHelp.js';
export type { SettingDescription, SettingName } from './core/settingsHelp.js';

/** Configuration service, its records and the operators' HTTP interface. */
export { createConfigurationService } from './core/configurationService.js';
export type {
  CheckOutcome,
  ConfigurationHeartbeatFields,
  ConfigurationService,
  ConfigurationServiceOptions,
  StoredDocument,
} from './core/configurationService.js';
export type { AuditAction, AuditEntry, ChangeOutcome } from './types/configurationRecords.js';
export type { AuditReadResult } from './core/audit.js';
export type { DaemonReport, MissingPartition, PartitionReport } from './core/cellReports.js';
export { createHttpServer } from './core/httpServer.js';
export type { HttpServer } from './core/httpServer.js';
export { registerOperatorApi } from './core/operatorApi.js';
export type { OperatorApiOptions } from './core/operatorApi.js';
