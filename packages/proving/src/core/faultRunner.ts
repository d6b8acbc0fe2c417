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

/** Takes a fault back. */
type Revert = () => void | Promise<void>;

/** What a fault concerns. */
interface FaultContext {
  readonly cell: LocalCell;
  readonly daemon: LocalDaemon;
  readonly otherDaemon: LocalDaemon;
  readonly worker: WorkerStandIn;
  readonly endpoint: EndpointStandIn;
}

const SLOW_LINK_MILLISECONDS = 300;
const SLOW_STORE_MILLISECONDS = 400;
const LOST_ANSWERS = 0.5;
const SLOW_ENDPOINT_MILLISECONDS = 1_000;
const LATE_ENDPOINT_MILLISECONDS = 3_000;
// As long as the daemon's own deadline for a planned stop, with a margin.
const STOP_LIMIT_MILLISECONDS = 35_000;

/** Sets fields, and sets them back to what they were. */
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
  ({ worker }: FaultContext): Revert =>
    setFields(worker.faults, change);

const endpointFault =
  (change: Partial<EndpointFaults>) =>
  ({ endpoint }: FaultContext): Revert =>
    setFields(endpoint.faults, change);

function markLeaving(cell: LocalCell, vmId: string): Revert {
  cell.platform.vmList.setState(vmId, 'leaving');
  return () => cell.platform.vmList.setState(vmId, 'live');
}

function joinReverts(reverts: readonly (() => void)[]): () => void {
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
  return joinReverts(
    selected.map(([first, second]) => cell.disturbLink(first, second, { kind: 'silence' })),
  );
}

const nothingToRevert: Revert = () => {};

/** How to apply each kind of fault. */
const APPLY: Readonly<Record<FaultKind, (context: FaultContext) => Revert | Promise<Revert>>> = {
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
    cell.disturbLink(daemon, otherDaemon, { kind: 'cut' }),
  'link-silent': ({ cell, daemon, otherDaemon }) =>
    cell.disturbLink(daemon, otherDaemon, { kind: 'silence' }),
  'link-silent-one-way': ({ cell, daemon, otherDaemon }) =>
    cell.disturbOneWay(daemon, otherDaemon, { kind: 'silence' }),
  'open-links-silent': ({ cell, daemon, otherDaemon }) => {
    cell.silenceOpenLinks(daemon, otherDaemon);
    return nothingToRevert;
  },
  'link-slow': ({ cell, daemon, otherDaemon }) =>
    cell.disturbLink(daemon, otherDaemon, {
      kind: 'delay',
      delayMilliseconds: SLOW_LINK_MILLISECONDS,
    }),
  'store-down': ({ cell }) => setFields(cell.platform.store.faults, { isDown: true }),
  'store-slow': ({ cell }) =>
    setFields(cell.platform.store.faults, { delayMilliseconds: SLOW_STORE_MILLISECONDS }),
  'store-answers-lost': ({ cell }) =>
    setFields(cell.platform.store.faults, { lostAnswerFraction: LOST_ANSWERS }),
  'store-cut-off': ({ cell, daemon }) => cell.disturbStore(daemon, { kind: 'silence' }),
  'data-centres-split': ({ cell }) => silenceBetweenDataCentres(cell, () => true),
  'data-centre-cut-off': ({ cell, daemon: { dataCentre } }) => {
    const inside = cell.daemons.filter((daemon) => daemon.dataCentre === dataCentre);
    return joinReverts([
      silenceBetweenDataCentres(cell, (pair) => pair.some((end) => inside.includes(end))),
      ...inside.map((daemon) => cell.disturbStore(daemon, { kind: 'silence' })),
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
  'worker-answers-lost': workerFault({ lostAnswerFraction: LOST_ANSWERS }),
  'worker-fails-everything': workerFault({ failsEveryTask: true }),
  'endpoint-silent': endpointFault({ isSilent: true }),
  'endpoint-connections-silent': ({ endpoint }) => {
    endpoint.silenceOpenConnections();
    return nothingToRevert;
  },
  'endpoint-closes': endpointFault({ closesConnectionAfterStart: true }),
  'endpoint-late': endpointFault({ answerDelayMilliseconds: LATE_ENDPOINT_MILLISECONDS }),
  'endpoint-slow': endpointFault({ extraServiceMilliseconds: SLOW_ENDPOINT_MILLISECONDS }),
  'endpoint-crashed': async ({ endpoint }) => {
    await endpoint.crash();
    return () => endpoint.restart();
  },
  'endpoint-leaving': ({ cell, endpoint }) => markLeaving(cell, endpoint.endpointId),
  'worker-leaving': ({ cell, worker }) => markLeaving(cell, worker.workerId),
  'vm-list-down': ({ cell }) => setFields(cell.platform.vmList.faults, { isDown: true }),
};

function at<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('the cell has no target for the fault');
  return item;
}

function describeContext(cell: LocalCell, fault: PlannedFault): FaultContext {
  const daemon = at(cell.daemons, fault.target);
  const others = cell.daemons.filter((other) => other !== daemon);
  return {
    cell,
    daemon,
    otherDaemon: others.length === 0 ? daemon : at(others, fault.other),
    worker: at(cell.platform.workers, fault.target),
    endpoint: at(cell.platform.endpoints, fault.target),
  };
}

/** Targets that a fault takes down or stands still, of which one target takes one at a time. */
function exclusiveTargetOf(cell: LocalCell, fault: PlannedFault): string | null {
  const context = describeContext(cell, fault);
  // While the list is down, no daemon can learn that a VM leaves.
  if (VM_LIST_KINDS.has(fault.kind)) return 'vm-list';
  if (fault.kind.startsWith('daemon-')) return context.daemon.id;
  if (fault.kind.startsWith('worker-')) return context.worker.workerId;
  if (fault.kind.startsWith('endpoint-')) return context.endpoint.endpointId;
  if (fault.kind.startsWith('store-') && fault.kind !== 'store-cut-off') return fault.kind;
  return null;
}

/**
 * Applies planned faults at their times and takes each back after its duration. A fault is left out if its
 * target is still under another one that excludes it.
 *
 * @param cell cell to disturb
 * @param faults faults by time
 * @returns faults that were applied, once all were taken back
 */
export async function runFaults(
  cell: LocalCell,
  faults: readonly PlannedFault[],
): Promise<readonly PlannedFault[]> {
  const clock = createSystemClock();
  const startedAt = clock.monotonicMilliseconds();
  const busy = new Set<string>();
  const applied: PlannedFault[] = [];

  async function runFault(fault: PlannedFault): Promise<void> {
    const wait = startedAt + fault.at - clock.monotonicMilliseconds();
    await sleep(clock, Math.max(0, wait));
    const target = exclusiveTargetOf(cell, fault);
    if (target !== null && busy.has(target)) return;
    if (target !== null) busy.add(target);
    applied.push(fault);
    const revert = await APPLY[fault.kind](describeContext(cell, fault));
    await sleep(clock, fault.durationMilliseconds);
    await revert();
    if (target !== null) busy.delete(target);
  }

  await Promise.all(faults.map(runFault));
  return applied;
}
