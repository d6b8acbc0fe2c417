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

/** Service for the workers of the owned partitions. */
export interface WorkerService extends PartitionService {
  /** @returns loads of the workers per owned partition, for heartbeats */
  loads(): readonly WorkerLoad[];
}

/**
 * Creates the service, subscribes it to the VM list and registers its peer methods.
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
    partitions.forEach((workers, partition) => workers.setWorkers(listWorkersOf(partition)));
  }

  function findOwned(partition: number): Result<WorkerPartition, Failure> {
    const workers = partitions.get(partition);
    if (workers && !releasedPartitions.has(partition) && workers.lease.mayAct()) return Ok(workers);
    return Err(createFailure('not-owner', { daemonId, partition }));
  }

  async function open(opening: PartitionOpening): Promise<Result<void, Failure>> {
    const { lease, formerOwnerStoppedAt } = opening;
    close(lease.partition);
    const workers = createWorkerPartition({
      ...options,
      lease,
      formerOwnerStoppedAt,
      callPartition,
      pool: createPool(),
      quarantine: createQuarantine(),
    });
    partitions.set(lease.partition, workers);
    workers.setWorkers(listWorkersOf(lease.partition));
    return Ok(undefined);
  }

  function close(partition: number): void {
    partitions.get(partition)?.close();
    partitions.delete(partition);
    releasedPartitions.delete(partition);
  }

  vmDirectory.onChange(applyVmList);
  link.handle('worker.reserve', async (params) =>
    findOwned(params.workerPartition).map((workers) => workers.reserve(params)),
  );
  link.handle('worker.release', async ({ workerPartition, reservationIds }) =>
    findOwned(workerPartition).map((workers) => {
      workers.release(reservationIds);
      return {};
    }),
  );
  link.handle('worker.hold', async (params) =>
    findOwned(params.workerPartition).map((workers) => ({ held: workers.hold(params) })),
  );
  link.handle('worker.drop-hold', async ({ workerPartition, workId }) =>
    findOwned(workerPartition).map((workers) => {
      workers.dropHold(workId);
      return {};
    }),
  );
  link.handle('worker.reclaim', async (params) =>
    findOwned(params.workerPartition).map((workers) => ({ helped: workers.reclaim(params) })),
  );
  link.handle('worker.start', async ({ workerPartition, starts }) => {
    const workers = findOwned(workerPartition);
    return workers.isOk() ? Ok(await workers.value.start(starts)) : workers;
  });
  link.handle('worker.stop', async (params) => {
    const workers = findOwned(params.workerPartition);
    return workers.isOk() ? workers.value.stop(params) : workers;
  });
  link.handle('worker.lookup', async (params) =>
    findOwned(params.workerPartition).map((workers) => workers.lookup(params)),
  );
  link.handle('worker.lift', async ({ workerPartition, workerId }) =>
    findOwned(workerPartition).andThen((workers) => workers.liftQuarantine(workerId)),
  );
  link.handle('worker.runs', async ({ workerPartition, jobPartition }) =>
    findOwned(workerPartition).map((workers) => workers.listMeasuredRuns(jobPartition)),
  );
  link.handle('worker.list', async ({ partition }) =>
    findOwned(partition).map((workers) => workers.list()),
  );

  return {
    name: 'workers',
    open,
    // Hands over no state: the next owner learns it by sealing the workers. Reservations end; their starts are refused.
    async release(partition) {
      releasedPartitions.add(partition);
      return null;
    },
    close,
    snapshot: () => [],
    loads: () => [...partitions.values()].map((workers) => workers.load()),
  };
}
