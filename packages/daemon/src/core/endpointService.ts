import { createFailure, Err, Ok, partitionOf } from '@chicorybend/common';
import type {
  Clock,
  Configuration,
  Counters,
  Failure,
  InteractiveResponse,
  Log,
  Result,
  RetryBudget,
} from '@chicorybend/common';
import type { AdmissionController, RequestQueue } from '@chicorybend/decisions';
import { z } from 'zod';

import type { Allotments } from '../types/allotment.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { PartitionOpening, PartitionService } from '../types/partition.js';
import type { VmDirectory } from '../types/vmDirectory.js';
import { MAXIMUM_REQUEST_MILLISECONDS } from '../utils/interactiveTimes.js';
import { createEndpointPartition } from './endpointPartition.js';
import type { EndpointPartition } from './endpointPartition.js';
import type { PoolRequest, TrackedRequest } from './trackedRequest.js';
import { createRequestTable, requestTableHandoverSchema } from './requestTable.js';
import type { RequestTable } from './requestTable.js';

/** What the endpoint service needs. */
export interface EndpointServiceOptions {
  readonly daemonId: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly vms: VmDirectory;
  readonly allotments: Allotments;
  readonly configuration: ConfigurationView;
  readonly partitionCount: number;
  /** Local IP address of connections to endpoints. */
  readonly localAddress: string;
  readonly retryBudget: RetryBudget;
  readonly createAdmission: (options: {
    initialServiceMilliseconds: number;
  }) => AdmissionController;
  readonly createRequestQueue: (options: {
    maximumPerTeam: number;
    expectedServiceMilliseconds: () => number;
  }) => RequestQueue<TrackedRequest>;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Interactive load of one partition. */
export interface InteractiveLoad {
  readonly freeSlots: number;
  readonly queuedRequests: number;
}

/** The endpoints of the owned partitions. */
export interface EndpointService extends PartitionService {
  /**
   * Runs a request on an endpoint of an owned partition.
   *
   * @param partition partition
   * @param work request and deadline
   * @returns answer of the endpoint, or why there is none
   */
  execute(partition: number, work: PoolRequest): Promise<Result<InteractiveResponse, Failure>>;

  /**
   * @param partition partition
   * @param team team of a new request
   * @returns expected wait for a slot in milliseconds; infinite without usable endpoints
   */
  expectedWaitMilliseconds(partition: number, team: string): number;

  /** @returns deduplication table of an owned partition, or null if the partition is not served */
  requestTableOf(partition: number): RequestTable | null;

  /** @returns refusal of a request for a partition that this daemon does not serve */
  createNotOwnerFailure(partition: number): Failure;

  /** @returns load of an owned partition, for heartbeats */
  loadOf(partition: number): InteractiveLoad;
}

const SERVICE_NAME = 'endpoints';

const endpointHandoverSchema = z.strictObject({
  /** Time for which requests of an owner before the former one may be running. */
  blockedMilliseconds: z.number().min(0),
  slots: z.array(
    z.strictObject({
      endpointId: z.string(),
      team: z.string(),
      remainingMilliseconds: z.number(),
    }),
  ),
  table: requestTableHandoverSchema,
});

/** State of a partition's endpoints on its way to the next owner. */
export type EndpointHandover = z.infer<typeof endpointHandoverSchema>;

/** Epochs start at 1, so that the first owner has no former one. */
const FIRST_EPOCH = 1;

function findFormerOwnerStop(opening: PartitionOpening): number | null {
  const hadOwner =
    opening.lease.epoch > FIRST_EPOCH && Number.isFinite(opening.formerOwnerStoppedAt);
  return hadOwner ? opening.formerOwnerStoppedAt : null;
}

/**
 * Creates the service that sends interactive requests to the endpoints of the owned partitions.
 *
 * @param options VM list, limits, configuration and factories of queue and admission
 * @returns the service
 */
export function createEndpointService(options: EndpointServiceOptions): EndpointService {
  const { clock, log, vms, configuration } = options;
  const partitions = new Map<number, EndpointPartition>();

  function listEndpoints(partition: number) {
    return vms.endpoints().filter((vm) => partitionOf(vm.id, options.partitionCount) === partition);
  }

  vms.onChange(() => {
    partitions.forEach((state, partition) => state.updateEndpoints(listEndpoints(partition)));
  });
  configuration.onChange((current: Configuration) => {
    partitions.forEach((state) => state.updateConfiguration(current));
  });

  function createNotOwnerFailure(partition: number): Failure {
    return createFailure('not-owner', { daemonId: options.daemonId, partition });
  }

  async function open(opening: PartitionOpening): Promise<Result<void, Failure>> {
    const { partition } = opening.lease;
    const handover = endpointHandoverSchema.safeParse(opening.handedOver);
    if (opening.handedOver !== null && !handover.success) {
      log.warn(`partition ${partition}: handed-over endpoint state is not readable`);
    }
    const formerOwnerStoppedAt = handover.success ? null : findFormerOwnerStop(opening);
    const table = createRequestTable({
      clock,
      handedOver: handover.success ? handover.data.table : null,
      formerOwnerStoppedAt,
    });
    const now = clock.monotonicMilliseconds();
    const blockedUntil = handover.success
      ? now + handover.data.blockedMilliseconds
      : (formerOwnerStoppedAt ?? Number.NEGATIVE_INFINITY) + MAXIMUM_REQUEST_MILLISECONDS;
    const state = createEndpointPartition({
      ...options,
      random: options.random ?? Math.random,
      lease: opening.lease,
      table,
      blockedUntil,
      createNotOwnerFailure: () => createNotOwnerFailure(partition),
    });
    partitions.get(partition)?.close();
    partitions.set(partition, state);
    const current = configuration.current();
    if (current) state.updateConfiguration(current);
    state.updateEndpoints(listEndpoints(partition));
    if (handover.success) state.adoptSlots(handover.data.slots);
    return Ok(undefined);
  }

  async function release(partition: number): Promise<EndpointHandover | null> {
    const state = partitions.get(partition);
    return state ? state.release() : null;
  }

  return {
    name: SERVICE_NAME,
    createNotOwnerFailure: createNotOwnerFailure,
    open,
    release,
    close(partition) {
      partitions.get(partition)?.close();
      partitions.delete(partition);
    },
    // Nothing of the interactive path is durable.
    snapshot: () => [],
    async execute(partition, work) {
      const state = partitions.get(partition);
      return state ? state.execute(work) : Err(createNotOwnerFailure(partition));
    },
    expectedWaitMilliseconds: (partition, team) =>
      partitions.get(partition)?.expectedWaitMilliseconds(team) ?? 0,
    requestTableOf(partition) {
      const state = partitions.get(partition);
      return state?.isServing() ? state.table : null;
    },
    loadOf: (partition) => partitions.get(partition)?.load() ?? { freeSlots: 0, queuedRequests: 0 },
  };
}
