import { createSystemClock, sleep } from '@chicorybend/common';
import type {
  EndpointFaults,
  EndpointStandIn,
  WorkerFaults,
  WorkerStandIn,
} from '@chicorybend/standins';

import type { FaultKind, PlannedFault } from '../types/fault.js';
import type { LocalCell } from './localCell.js';
import type { LocalDaemon } from './localDaemon.js';

const VM_LIST_KINDS: ReadonlySet<FaultKind> = new Set([
  'vm-list-down',
  'endpoint-leaving',
  'worker-leaving',
]);

/** Ends a fault and restores the former state. */
type Revert = () => void | Promise<void>;

/** Daemons, VMs and cell that a planned fault is applied to. */
interface FaultTargets {
  readonly cell: LocalCell;
  readonly daemon: LocalDaemon;
  readonly otherDaemon: LocalDaemon;
  readonly worker: WorkerStandIn;
  readonly endpoint: EndpointStandIn;
}

const LINK_DELAY_MILLISECONDS = 300;
const STORE_DELAY_MILLISECONDS = 400;
const LOST_ANSWER_FRACTION = 0.5;
const ENDPOINT_EXTRA_SERVICE_MILLISECONDS = 1_000;
const ENDPOINT_ANSWER_DELAY_MILLISECONDS = 3_000;
// The daemon's own deadline for a planned stop, plus a margin.
const STOP_LIMIT_MILLISECONDS = 35_000;

/** Sets fields; the returned function restores their former values. */
function setFields<Fields extends object>(faults: Fields, change: Partial<Fields>): Revert {
  const former = Object.fromEntries(
    Object.keys(change).map((name) => [name, faults[name as keyof Fields]]),
  );
  Object.assign(faults, change);
  return () => {
    Object.assign(faults, former);
  };
}

const workerFault =
  (change: Partial<WorkerFaults>) =>
  ({ worker }: FaultTargets): Revert =>
    setFields(worker.faults, change);

const endpointFault =
  (change: Partial<EndpointFaults>) =>
  ({ endpoint }: FaultTargets): Revert =>
    setFields(endpoint.faults, change);

function markLeaving(cell: LocalCell, vmId: string): Revert {
  cell.platform.vmList.setState(vmId, 'leaving');
  return () => cell.platform.vmList.setState(vmId, 'live');
}

function combineReverts(reverts: readonly (() => void)[]): () => void {
  return () => reverts.forEach((revert) => revert());
}

/** Silences the selected links between daemons of different data centres. */
function silenceBetweenDataCentres(
  cell: LocalCell,
  isSelected: (pair: readonly [LocalDaemon, LocalDaemon]) => boolean,
): () => void {
  const pairs = cell.daemons.flatMap((first, index) =>
    cell.daemons
      .slice(index + 1)
      .filter((second) => second.dataCentre !== first.dataCentre)
      .map((second) => [first, second] as const),
  );
  const selected = pairs.filter(isSelected);
  return combineReverts(
    selected.map(([first, second]) => cell.applyLinkFault(first, second, { kind: 'silence' })),
  );
}

const nothingToRevert: Revert = () => {};

/** Applies a fault of each kind and returns the function that reverts it. */
const FAULT_APPLIERS: Readonly<
  Record<FaultKind, (targets: FaultTargets) => Revert | Promise<Revert>>
> = {
  'daemon-killed': async ({ daemon }) => {
    await daemon.kill();
    return () => daemon.start();
  },
  'daemon-paused': ({ daemon }) => {
    daemon.pause();
    return () => daemon.resume();
  },
  'daemon-stopped': ({ daemon }) => {
    const stopped = daemon.terminate(STOP_LIMIT_MILLISECONDS);
    return async () => {
      await stopped;
      daemon.start();
    };
  },
  'link-cut': ({ cell, daemon, otherDaemon }) =>
    cell.applyLinkFault(daemon, otherDaemon, { kind: 'cut' }),
  'link-silent': ({ cell, daemon, otherDaemon }) =>
    cell.applyLinkFault(daemon, otherDaemon, { kind: 'silence' }),
  'link-silent-one-way': ({ cell, daemon, otherDaemon }) =>
    cell.applyOneWayFault(daemon, otherDaemon, { kind: 'silence' }),
  'open-links-silent': ({ cell, daemon, otherDaemon }) => {
    cell.silenceOpenConnections(daemon, otherDaemon);
    return nothingToRevert;
  },
  'link-slow': ({ cell, daemon, otherDaemon }) =>
    cell.applyLinkFault(daemon, otherDaemon, {
      kind: 'delay',
      delayMilliseconds: LINK_DELAY_MILLISECONDS,
    }),
  'store-down': ({ cell }) => setFields(cell.platform.store.faults, { isDown: true }),
  'store-slow': ({ cell }) =>
    setFields(cell.platform.store.faults, { delayMilliseconds: STORE_DELAY_MILLISECONDS }),
  'store-answers-lost': ({ cell }) =>
    setFields(cell.platform.store.faults, { lostAnswerFraction: LOST_ANSWER_FRACTION }),
  'store-cut-off': ({ cell, daemon }) => cell.applyStoreFault(daemon, { kind: 'silence' }),
  'data-centres-split': ({ cell }) => silenceBetweenDataCentres(cell, () => true),
  'data-centre-cut-off': ({ cell, daemon: { dataCentre } }) => {
    const inside = cell.daemons.filter((daemon) => daemon.dataCentre === dataCentre);
    return combineReverts([
      silenceBetweenDataCentres(cell, (pair) => pair.some((end) => inside.includes(end))),
      ...inside.map((daemon) => cell.applyStoreFault(daemon, { kind: 'silence' })),
    ]);
  },
  'worker-crashed': async ({ worker }) => {
    await worker.crash();
    return () => worker.restart();
  },
  'worker-silent': workerFault({ isSilent: true }),
  'worker-paused': ({ worker }) => {
    worker.pause();
    return () => worker.resume();
  },
  'worker-answers-lost': workerFault({ lostAnswerFraction: LOST_ANSWER_FRACTION }),
  'worker-fails-everything': workerFault({ failsEveryTask: true }),
  'endpoint-silent': endpointFault({ isSilent: true }),
  'endpoint-connections-silent': ({ endpoint }) => {
    endpoint.silenceOpenConnections();
    return nothingToRevert;
  },
  'endpoint-closes': endpointFault({ closesConnectionAfterStart: true }),
  'endpoint-late': endpointFault({ answerDelayMilliseconds: ENDPOINT_ANSWER_DELAY_MILLISECONDS }),
  'endpoint-slow': endpointFault({ extraServiceMilliseconds: ENDPOINT_EXTRA_SERVICE_MILLISECONDS }),
  'endpoint-crashed': async ({ endpoint }) => {
    await endpoint.crash();
    return () => endpoint.restart();
  },
  'endpoint-leaving': ({ cell, endpoint }) => markLeaving(cell, endpoint.endpointId),
  'worker-leaving': ({ cell, worker }) => markLeaving(cell, worker.workerId),
  'vm-list-down': ({ cell }) => setFields(cell.platform.vmList.faults, { isDown: true }),
};

function pickByIndex<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('the cell has no target for the fault');
  return item;
}

function selectTargets(cell: LocalCell, fault: PlannedFault): FaultTargets {
  const daemon = pickByIndex(cell.daemons, fault.target);
  const others = cell.daemons.filter((other) => other !== daemon);
  return {
    cell,
    daemon,
    otherDaemon: others.length === 0 ? daemon : pickByIndex(others, fault.other),
    worker: pickByIndex(cell.platform.workers, fault.target),
    endpoint: pickByIndex(cell.platform.endpoints, fault.target),
  };
}

/** Target that can be under only one fault at a time; null if faults of this kind may overlap. */
function exclusiveTargetOf(cell: LocalCell, fault: PlannedFault): string | null {
  const targets = selectTargets(cell, fault);
  // While the VM list is down, daemons cannot learn that a VM is leaving, so these faults exclude each other.
  if (VM_LIST_KINDS.has(fault.kind)) return 'vm-list';
  if (fault.kind.startsWith('daemon-')) return targets.daemon.id;
  if (fault.kind.startsWith('worker-')) return targets.worker.workerId;
  if (fault.kind.startsWith('endpoint-')) return targets.endpoint.endpointId;
  if (fault.kind.startsWith('store-') && fault.kind !== 'store-cut-off') return fault.kind;
  return null;
}

/**
 * Applies planned faults at their times and reverts each after its duration. A fault is skipped if its target is still
 * under another fault that excludes it.
 *
 * @param cell cell to apply the faults to
 * @param faults faults, ordered by time
 * @returns the faults that were applied, after all of them were reverted
 */
export async function runFaults(
  cell: LocalCell,
  faults: readonly PlannedFault[],
): Promise<readonly PlannedFault[]> {
  const clock = createSystemClock();
  const startedAt = clock.monotonicMilliseconds();
  const targetsUnderFault = new Set<string>();
  const applied: PlannedFault[] = [];

  async function runFault(fault: PlannedFault): Promise<void> {
    const wait = startedAt + fault.at - clock.monotonicMilliseconds();
    await sleep(clock, Math.max(0, wait));
    const target = exclusiveTargetOf(cell, fault);
    if (target !== null && targetsUnderFault.has(target)) return;
    if (target !== null) targetsUnderFault.add(target);
    applied.push(fault);
    const revert = await FAULT_APPLIERS[fault.kind](selectTargets(cell, fault));
    await sleep(clock, fault.durationMilliseconds);
    await revert();
    if (target !== null) targetsUnderFault.delete(target);
  }

  await Promise.all(faults.map(runFault));
  return applied;
}
