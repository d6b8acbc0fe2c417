/**
 * What the owner of a worker partition tells about its workers: to operators, and to other daemons in heartbeats.
 */
import type { Resources } from '@chicorybend/common';
import { addResources, NO_RESOURCES } from '@chicorybend/decisions';
import type { Quarantine, WorkerPool } from '@chicorybend/decisions';

import type { PartitionLoad } from '../types/partition.js';
import type { WorkerView } from '../types/peerMethods.js';

import type { WorkerEntry } from './workerEntry.js';

/** What heartbeats tell about the workers of a partition. */
export type WorkerLoad = Required<
  Pick<PartitionLoad, 'partition' | 'freeTotal' | 'freeLargest' | 'runningByTeam' | 'usedByTeam'>
>;

/** What the views are made from. */
export interface WorkerViewsOptions {
  readonly partition: number;
  readonly pool: WorkerPool;
  readonly quarantine: Quarantine;
  readonly workers: ReadonlyMap<string, WorkerEntry>;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Views of the workers of one partition. */
export interface WorkerViews {
  toView(worker: WorkerEntry): WorkerView;
  list(): readonly WorkerView[];
  load(): WorkerLoad;
}

/**
 * Creates the views of one partition.
 *
 * @param options workers and their pool
 * @returns the views
 */
export function createWorkerViews(options: WorkerViewsOptions): WorkerViews {
  const { partition, pool, quarantine, workers, now } = options;

  function stateOf(worker: WorkerEntry): WorkerView['state'] {
    if (worker.liveness !== 'live') return worker.liveness;
    if (!worker.isInVmList || worker.vm.state === 'leaving') return 'leaving';
    return quarantine.isQuarantined(worker.workerId, now()) ? 'quarantined' : 'live';
  }

  function toView(worker: WorkerEntry): WorkerView {
    const { workerId, capacity, executions } = worker;
    const free =
      worker.liveness === 'live' ? (pool.freeOf(workerId) ?? NO_RESOURCES) : NO_RESOURCES;
    const state = stateOf(worker);
    return { workerId, partition, state, capacity, free, runningTasks: executions.size };
  }

  function load(): WorkerLoad {
    const { freeTotal, freeLargest } = pool.totals();
    const runningByTeam: Record<string, number> = {};
    const usedByTeam: WorkerLoad['usedByTeam'] & Record<string, Resources> = {};
    workers.forEach(({ executions }) => {
      executions.forEach(({ team, resources }) => {
        runningByTeam[team] = (runningByTeam[team] ?? 0) + 1;
        usedByTeam[team] = addResources(usedByTeam[team] ?? NO_RESOURCES, resources);
      });
    });
    return { partition, freeTotal, freeLargest, runningByTeam, usedByTeam };
  }

  return { toView: toView, list: () => [...workers.values()].map(toView), load };
}
