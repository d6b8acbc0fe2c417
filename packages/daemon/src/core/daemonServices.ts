import { createRetryBudget } from '@chicorybend/common';
import type { Clock, Counters, Log, StoreClient } from '@chicorybend/common';
import {
  createAdmissionController,
  createBestFitPolicy,
  createQuarantine,
  createQueueOrderPolicy,
  createRequestQueue,
  createTaskQueue,
  createWorkerPool,
} from '@chicorybend/decisions';

import type { ConfigurationView } from '../types/configurationView.js';
import type {
  PartitionLoadView,
  PartitionDirectory,
  PartitionService,
} from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import type { VmDirectory } from '../types/vmDirectory.js';
import { createAllotments } from './allotments.js';
import type { AllotmentService } from './allotments.js';
import { createEndpointService } from './endpointService.js';
import type { EndpointService } from './endpointService.js';
import { createJobService } from './jobService.js';
import { createCellLoads } from './cellLoads.js';
import type { CellLoads } from './cellLoads.js';
import { readPolicy } from './queuePolicy.js';
import { createRequestRouter } from './requestRouter.js';
import type { RequestRouter } from './requestRouter.js';
import { createWorkerClient } from './workerClient.js';
import type { WorkerClient } from './workerClient.js';
import { createWorkerService } from './workerService.js';
import type { WorkerService } from './workerService.js';

const WORKER_CALL_TIMEOUT_MILLISECONDS = 1_500;
/** Retries of interactive requests per first attempt. */
const RETRY_RATIO = 0.1;
const RETRY_BURST = 20;

/** What the partition-bound services need. */
export interface DaemonServicesOptions {
  readonly daemonId: string;
  readonly localAddress: string;
  readonly clock: Clock;
  readonly random: () => number;
  readonly counters: Counters;
  readonly log: Log;
  readonly store: StoreClient;
  readonly link: PeerLink;
  readonly vmDirectory: VmDirectory;
  readonly configuration: ConfigurationView;
  readonly directory: PartitionDirectory;
  readonly peerLoads: PartitionLoadView;
}

/** The partition-bound services and what stands on them. */
export interface DaemonServices {
  /** In the order of opening: a service may use those before it. */
  readonly partitionServices: readonly PartitionService[];
  readonly allotments: AllotmentService;
  readonly workers: WorkerService;
  readonly endpoints: EndpointService;
  readonly router: RequestRouter;
  readonly loads: CellLoads;
  readonly workerClient: WorkerClient;
}

/**
 * Creates the partition-bound services of a daemon.
 *
 * @param options collaborators
 * @returns the services
 */
export function createDaemonServices(options: DaemonServicesOptions): DaemonServices {
  const {
    daemonId,
    clock,
    random,
    counters,
    log,
    link,
    vmDirectory: vmDirectory,
    configuration,
    directory,
  } = options;
  const allotments = createAllotments({ ...options, directory });
  const workerClient = createWorkerClient(WORKER_CALL_TIMEOUT_MILLISECONDS);
  const retryBudget = createRetryBudget(RETRY_RATIO, RETRY_BURST);
  const shared = { daemonId, clock, random, counters, log, link, configuration, directory };
  const workers = createWorkerService({
    ...shared,
    vmDirectory: vmDirectory,
    client: workerClient,
    createPool: () => createWorkerPool(createBestFitPolicy()),
    createQuarantine: () => createQuarantine({}),
  });
  const endpoints = createEndpointService({
    ...shared,
    vms: vmDirectory,
    allotments: allotments.allotments,
    partitionCount: directory.partitionCount,
    localAddress: options.localAddress,
    retryBudget,
    createAdmission: createAdmissionController,
    createRequestQueue,
  });
  const loads = createCellLoads({ clock, workers, endpoints, receivedLoads: options.peerLoads });
  const jobs = createJobService({
    ...shared,
    loadBoard: loads,
    vmDirectory: vmDirectory,
    allotments: allotments.allotments,
    createQueue() {
      const { order, agingMilliseconds } = readPolicy(configuration);
      return createTaskQueue(createQueueOrderPolicy(order), { agingMilliseconds });
    },
    createQuarantine: () => createQuarantine({}),
  });
  const router = createRequestRouter({ ...shared, loadBoard: loads, endpoints, retryBudget });
  return {
    partitionServices: [allotments.partitionService, workers, endpoints, jobs],
    allotments,
    workers,
    endpoints,
    router,
    loads,
    workerClient,
  };
}
