import { createSilentLog, createSystemClock } from '@chicorybend/common';
import { createScheduler, createSchedulerMetrics } from '@chicorybend/scheduler';
import type {
  CallerAnswer,
  CallerRequest,
  ClusterConfiguration,
  Scheduler,
} from '@chicorybend/scheduler';
import { createClusterStoreStandIn, createEndpointFleetStandIn } from '@chicorybend/standins';
import type { ClusterStoreStandIn, EndpointFleetStandIn } from '@chicorybend/standins';
import type { ExecutionContext } from 'ava';

import { reservePort } from '../utils/reservePort.js';
import { CONFIGURATION, createJobId, createJobSpecification } from '../core/schedulerCell.js';

const HOST = '127.0.0.1';
const CAPACITY = { processors: 1, linkMegabitsPerSecond: 100 };
/** Time until a scheduler is ready. */
export const START_LIMIT_MILLISECONDS = 10_000;
export const clock = createSystemClock();

/** Schedulers in this process that are connected to each other, each with its own faults of the store. */
export interface PeerCell {
  readonly store: ClusterStoreStandIn;
  readonly fleet: EndpointFleetStandIn;
  /** Configuration that the next reads get. */
  configuration: ClusterConfiguration;
  start(name: string, capacity?: typeof CAPACITY): Promise<Scheduler>;
  /** @returns name of the process that is the owner; null if there is none */
  ownerName(): string | null;
}

/** Creates a cell without schedulers, which the end of the test stops. */
export function createPeerCell(t: ExecutionContext, { leaseMilliseconds = 1_200 } = {}): PeerCell {
  const store = createClusterStoreStandIn(clock, () => 0.5);
  const fleet = createEndpointFleetStandIn({
    clock,
    count: 1,
    service: 'ledger',
    capacity: { processors: 8, memoryBytes: 1_000, accelerators: 0 },
    rackSize: 1,
    durationOf: () => 100,
  });
  const names = new Map<string, string>();
  const cell: PeerCell = {
    store,
    fleet,
    configuration: CONFIGURATION,
    ownerName() {
      const item = store.get('chicorybend/owner');
      if (!item) return null;
      return names.get((JSON.parse(item.value) as { address: string }).address) ?? null;
    },
    async start(name, capacity = CAPACITY) {
      const reservation = await reservePort(HOST);
      await reservation.release();
      names.set(`${HOST}:${reservation.port}`, name);
      const client = store.client(name);
      const scheduler = createScheduler({
        store: client,
        electionStore: store.client(name),
        clock,
        log: createSilentLog(),
        metrics: createSchedulerMetrics(),
        endpoints: fleet.client,
        directory: fleet.directory,
        configurationSource: {
          async read(timeoutMilliseconds) {
            const outcome = await client.read('any', timeoutMilliseconds);
            if (outcome.kind === 'failed') return outcome;
            return { kind: 'answered', configuration: cell.configuration };
          },
        },
        evacuation: null,
        timeLimits: {
          maximumLeaseMilliseconds: 10_000,
          maximumOrderDelayMilliseconds: 12_000,
          maximumStopMilliseconds: 200,
          heartbeatMilliseconds: 1_500,
        },
        maximumConfigurationAgeMilliseconds: 1_900,
        maximumValueBytes: 1_048_576,
        retentionMilliseconds: 60_000,
        advice: fleet.advice,
        leaseMilliseconds,
        claimDelayMilliseconds: 0,
        ...capacity,
        peerAddress: `${HOST}:${reservation.port}`,
      });
      await scheduler.start();
      t.teardown(() => scheduler.stop());
      return scheduler;
    },
  };
  return cell;
}

/** Sends a request about the first job, or as overridden. */
export function callScheduler(
  scheduler: Scheduler,
  limitMilliseconds: number,
  request: Partial<CallerRequest> = {},
): Promise<CallerAnswer> {
  const submission: CallerRequest = {
    action: 'submit',
    host: 'cell.example',
    path: `/work/${createJobId(1)}`,
    key: 'key-1',
    specification: createJobSpecification({ count: 1 }),
    bodyBytes: 100,
  };
  return scheduler.handle({ ...submission, ...request }, limitMilliseconds);
}
