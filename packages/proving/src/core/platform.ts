import {
  createRunRecord,
  startEndpointStandIn,
  startStoreStandIn,
  startVmListStandIn,
  startWorkerStandIn,
} from '@chicorybend/standins';
import type {
  EndpointStandIn,
  RunRecord,
  StoreStandIn,
  VmListStandIn,
  WorkerStandIn,
} from '@chicorybend/standins';

import type { CellPlan } from '../types/cellPlan.js';

/** Stand-ins for the platform of one cell (store, VM list, workers and endpoints), all in the current process. */
export interface Platform {
  readonly record: RunRecord;
  readonly store: StoreStandIn;
  readonly vmList: VmListStandIn;
  readonly workers: readonly WorkerStandIn[];
  readonly endpoints: readonly EndpointStandIn[];
  close(): Promise<void>;
}

/** Delay until a change of a VM appears in the VM list. */
const VM_LIST_LAG_MILLISECONDS = 1_000;

function startWorkers(plan: CellPlan, host: string, record: RunRecord): Promise<WorkerStandIn[]> {
  const locations = plan.racks.flatMap((rack) =>
    rack.workers.map((workerId) => ({ workerId, rack: rack.name, dataCentre: rack.dataCentre })),
  );
  return Promise.all(
    locations.map((location) =>
      startWorkerStandIn({ ...location, host, capacity: plan.workerCapacity, record }),
    ),
  );
}

function startEndpoints(
  plan: CellPlan,
  host: string,
  record: RunRecord,
): Promise<EndpointStandIn[]> {
  return Promise.all(
    plan.endpoints.map(({ id, dataCentre, rack }) =>
      startEndpointStandIn({
        host,
        endpointId: id,
        dataCentre,
        rack,
        slots: plan.endpointSlots,
        connections: plan.endpointConnections,
        record,
      }),
    ),
  );
}

/**
 * Starts the stand-ins of a cell.
 *
 * @param host IP address that all stand-ins listen on
 */
export async function startPlatform(plan: CellPlan, host: string): Promise<Platform> {
  const record = createRunRecord();
  const [store, workers, endpoints] = await Promise.all([
    startStoreStandIn({ host }),
    startWorkers(plan, host, record),
    startEndpoints(plan, host, record),
  ]);
  const vmList = await startVmListStandIn({
    host,
    vms: [...workers, ...endpoints].map((standIn) => standIn.vm),
    lagMilliseconds: VM_LIST_LAG_MILLISECONDS,
    record,
  });
  return {
    record,
    store,
    vmList,
    workers,
    endpoints,
    async close() {
      await Promise.all(
        [store, vmList, ...workers, ...endpoints].map((standIn) => standIn.close()),
      );
    },
  };
}
