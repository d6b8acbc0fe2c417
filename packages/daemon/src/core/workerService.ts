/**
 * Serves the workers of the owned partitions to this daemon and its peers.
 */
import { createFailure, Err, Ok, partitionOf } from '@chicorybend/common';
import type { Clock, Counters, Failure, Log, Result, VmRecord } from '@chicorybend/common';
import type { Quarantine, WorkerPool } from '@chicorybend/decisions';

import type { PartitionDirectory, PartitionOpening, PartitionService } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import type { VmDirectory } from '../types/vmDirectory.js';
import { createPartitionCalls } from '../utils/partitionCalls.js';

import type { WorkerClient } from './workerClient.js';
import { createWorkerPartition } from './workerPartition.js';
import type { WorkerPartition } from './workerPartition.js';
import type { WorkerLoad } from './workerViews.js';

/** What the service needs. */
export interface WorkerServiceOptions {
  readonly daemonId: string;
  readonly link: PeerLink;
  readonly directory: PartitionDirectory;
  readonly vmDirectory: VmDirectory;
  readonly client: WorkerClient;
  readonly createPool: () => WorkerPool;
  readonly createQuarantine: () => Quarantine;
  readonly clock: Clock;
  readonly random: () => number;
  readonly counters: Counters;
  readonly log: Log;
}

/** Workers of the owned partitions. */
export interface WorkerService extends PartitionService {
  /** @returns facts for heartbeats, per owned partition */
  loads(): readonly WorkerLoad[];
}

/**
 * Creates the service and registers its handlers.
 *
 * @param options dependencies
 * @returns the service
 */
export function createWorkerService(options: WorkerServiceOptions): WorkerService {
  const { daemonId, link, directory, vmDirectory, createPool, createQuarantine } = options;
  const callPartition = createPartitionCalls(link, directory);
  const partitions = new Map<number, WorkerPartition>();
  const releasedPartitions = new Set<number>();
  const partitionOfWorker = new Map<string, number>();

  function partitionOfVm(vm: VmRecord): number {
    const knownPartition = partitionOfWorker.get(vm.id);
    if (knownPartition !== undefined) return knownPartition;
    const partition = partitionOf(vm.id, directory.partitionCount);
    partitionOfWorker.set(vm.id, partition);
    return partition;
  }

  function listWorkersOf(partition: number): readonly VmRecord[] {
    return vmDirectory.workers().filter((vm) => partitionOfVm(vm) === partition);
  }

  function applyVmList(): void {
    partitions.forEach((own, partition) => own.setWorkers(listWorkersOf(partition)));
  }

  function findOwned(partition: number): Result<WorkerPartition, Failure> {
    const own = partitions.get(partition);
    if (own && !releasedPartitions.has(partition) && own.lease.mayAct()) return Ok(own);
    return Err(createFailure('not-owner', { daemonId, partition }));
  }

  async function open(opening: PartitionOpening): Promise<Result<void, Failure>> {
    const { lease, formerOwnerStoppedAt } = opening;
    close(lease.partition);
    const own = createWorkerPartition({
      ...options,
      lease,
      formerOwnerStoppedAt,
      callPartition,
      pool: createPool(),
      quarantine: createQuarantine(),
    });
    partitions.set(lease.partition, own);
    own.setWorkers(listWorkersOf(lease.partition));
    return Ok(undefined);
  }

  function close(partition: number): void {
    partitions.get(partition)?.close();
    partitions.delete(partition);
    releasedPartitions.delete(partition);
  }

  vmDirectory.onChange(applyVmList);
  link.handle('worker.reserve', async (params) =>
    findOwned(params.workerPartition).map((own) => own.reserve(params)),
  );
  link.handle('worker.release', async ({ workerPartition, reservationIds }) =>
    findOwned(workerPartition).map((own) => {
      own.release(reservationIds);
      return {};
    }),
  );
  link.handle('worker.hold', async (params) =>
    findOwned(params.workerPartition).map((own) => ({ held: own.hold(params) })),
  );
  link.handle('worker.drop-hold', async ({ workerPartition, workId }) =>
    findOwned(workerPartition).map((own) => {
      own.dropHold(workId);
      return {};
    }),
  );
  link.handle('worker.reclaim', async (params) =>
    findOwned(params.workerPartition).map((own) => ({ helped: own.reclaim(params) })),
  );
  link.handle('worker.start', async ({ workerPartition, starts }) => {
    const own = findOwned(workerPartition);
    return own.isOk() ? Ok(await own.value.start(starts)) : own;
  });
  link.handle('worker.stop', async (params) => {
    const own = findOwned(params.workerPartition);
    return own.isOk() ? own.value.stop(params) : own;
  });
  link.handle('worker.lookup', async (params) =>
    findOwned(params.workerPartition).map((own) => own.lookup(params)),
  );
  link.handle('worker.lift', async ({ workerPartition, workerId }) =>
    findOwned(workerPartition).andThen((own) => own.liftQuarantine(workerId)),
  );
  link.handle('worker.runs', async ({ workerPartition, jobPartition }) =>
    findOwned(workerPartition).map((own) => own.listMeasuredRuns(jobPartition)),
  );
  link.handle('worker.list', async ({ partition }) =>
    findOwned(partition).map((own) => own.list()),
  );

  return {
    name: 'workers',
    open,
    // Sealing tells the next owner all that is true; reservations end, and their starts are refused.
    async release(partition) {
      releasedPartitions.add(partition);
      return null;
    },
    close,
    snapshot: () => [],
    loads: () => [...partitions.values()].map((own) => own.load()),
  };
}
