/** Stand-ins (test doubles) for the platform, workers and endpoints. For tests, the demo and benchmarks only. */

/** The platform's key-value service. */
export { startStoreStandIn } from './core/storeStandIn.js';
export type {
  StoreCallCounts,
  StoreFaults,
  StoreStandIn,
  StoreStandInOptions,
} from './core/storeStandIn.js';

/** The platform's list of VMs. */
export { startVmListStandIn } from './core/vmListStandIn.js';
export type { VmListFaults, VmListStandIn, VmListStandInOptions } from './core/vmListStandIn.js';

/** Workers. */
export { startWorkerStandIn } from './core/workerStandIn.js';
export type { WorkerFaults, WorkerStandIn, WorkerStandInOptions } from './core/workerStandIn.js';
export { createWorkerState } from './core/workerState.js';
export type { WorkerState, WorkerStateOptions, WorkerTaskFaults } from './core/workerState.js';

/** Endpoints. */
export { startEndpointStandIn } from './core/endpointStandIn.js';
export type {
  EndpointFaults,
  EndpointPeaks,
  EndpointStandIn,
  EndpointStandInOptions,
} from './core/endpointStandIn.js';
export type { RequestPayload, TaskPayload } from './types/payload.js';

/** In-memory store and endpoints for the scheduler, on a clock that the caller controls. */
export { createClusterStoreStandIn } from './core/clusterStoreStandIn.js';
export type { ClusterStoreFaults, ClusterStoreStandIn } from './core/clusterStoreStandIn.js';
export { createEvacuationSourceStandIn, EVACUATION_PREFIX } from './core/evacuationStandIn.js';
export { createEndpointFleetStandIn } from './core/endpointFleetStandIn.js';
export { crashTimesUnder } from './core/fleetRecords.js';
export type {
  EndpointFleetOptions,
  EndpointFleetStandIn,
  FleetEndKind,
  FleetEndpointFaults,
  FleetGangMembership,
  FleetOverload,
  FleetRestart,
  FleetRun,
} from './types/fleet.js';

/** TCP relay that injects faults into the connections between processes. */
export { startRelay } from './core/relay.js';
export type {
  Relay,
  RelayDirection,
  RelayFault,
  RelayOptions,
  RelaySelector,
} from './core/relay.js';

/** Record of what actually ran at the stand-ins, for checkers. */
export { createRunRecord } from './core/runRecord.js';
export type { RunRecord } from './core/runRecord.js';
export type {
  ConnectionsEntry,
  EndpointUpEntry,
  RequestEndedEntry,
  RequestStartedEntry,
  RunEntry,
  RunEntryOf,
  RunEntryType,
  TaskEndedEntry,
  TaskStartedEntry,
  VmListedEntry,
  WorkerDownEntry,
  WorkerUpEntry,
} from './types/runEntry.js';

/** Servers that can listen on the same port again after a restart. */
export { listenOnStablePort } from './utils/restartableServer.js';
export type { ListenAddress } from './utils/restartableServer.js';
