import { setImmediate } from 'node:timers/promises';

import { createManualClock, createSilentLog, sleep } from '@chicorybend/common';
import type { Log, ManualClock } from '@chicorybend/common';
import {
  createOwnerElection,
  createOwnerTerm,
  createSchedulerMetrics,
} from '@chicorybend/scheduler';
import type {
  OwnerElection,
  CallerAnswer,
  CallerRequest,
  ClusterConfiguration,
  JobSpecification,
  OwnerTerm,
  PastUseSettings,
  SchedulerMetrics,
  StepSpecification,
} from '@chicorybend/scheduler';
import {
  createClusterStoreStandIn,
  createEndpointFleetStandIn,
  createEvacuationSourceStandIn,
} from '@chicorybend/standins';
import type {
  ClusterStoreStandIn,
  EndpointFleetOptions,
  EndpointFleetStandIn,
} from '@chicorybend/standins';

const LEASE_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 2;
/** Maximum size of a value in the store, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1_048_576;

/** One scheduler process of the cell: the owner or a standby. */
export interface CellProcess {
  readonly name: string;
  readonly election: OwnerElection;
  isKilled(): boolean;
  term(): OwnerTerm | null;
  /** Stops the process abruptly, without releasing its ownership. */
  kill(): void;
}

/** Scheduler processes in this process with a stand-in store and endpoints, on a manual clock. */
export interface SchedulerCell {
  readonly clock: ManualClock;
  readonly store: ClusterStoreStandIn;
  readonly fleet: EndpointFleetStandIn;
  /** Metrics of all processes. */
  readonly metrics: SchedulerMetrics;
  configuration: ClusterConfiguration;
  /** Effect of past use in the terms that start from now on; null for none. */
  pastUse: PastUseSettings | null;
  /** Steps of the wall clock of the terms, in milliseconds. */
  wallStepMilliseconds: number;
  /** Key whose reads get no answer; null for none. */
  silentKey: string | null;
  /** Whether reads of the configuration are answered. */
  isConfigurationReadable: boolean;
  /** Whether reads of the endpoint directory are answered. */
  isDirectoryReadable: boolean;
  /** Whether reads of the configuration get no answer, so that they end with their timeout. */
  isConfigurationSilent: boolean;
  /** Bound of evacuations for terms that begin from now on, in milliseconds; null, the default, for none. */
  evacuateMilliseconds: number | null;
  /** Whether reads of the data centres out of service are answered. */
  isEvacuationReadable: boolean;
  /** @param onTermStart called right before each term of the process starts */
  startProcess(
    name: string,
    onTermStart?: () => void,
    claimDelayMilliseconds?: number,
  ): CellProcess;
  /** Advances the clock in small steps and runs everything that falls due. */
  advance(milliseconds: number): Promise<void>;
  /**
   * Sends a request to the current owner and advances the clock until it answers.
   *
   * @throws if there is no owner
   */
  call(request: Partial<CallerRequest>): Promise<CallerAnswer>;
  currentTerm(): OwnerTerm | null;
  /** Kills the process of the current owner; no effect if there is none. */
  killOwner(): void;
  /** @returns names of the processes that were not killed */
  processNames(): string[];
}

/** A configuration with one queue, `/work/`, and one team. */
export const CONFIGURATION: ClusterConfiguration = {
  version: 1,
  queues: [
    {
      name: 'work',
      host: 'cell.example',
      pathPrefix: '/work/',
      service: 'ledger',
      priority: 0,
      maximumAttempts: 2,
      stretch: 2,
      targetCompletionMilliseconds: 300,
      advice: null,
      isPublic: false,
    },
  ],
  services: [{ name: 'ledger', enforcesCapacity: false }],
  teams: [
    {
      name: 'bench',
      keys: ['key-1'],
      weight: 1,
      limit: { processors: 0, memoryBytes: 0, accelerators: 0 },
    },
  ],
  maximumBodyBytes: 262_144,
};

/** A step with one task that needs one core. */
export const DEFAULT_STEP: StepSpecification = {
  count: 1,
  resources: { processors: 1, memoryBytes: 1, accelerators: 0 },
  estimatedMilliseconds: 500,
  after: [],
  hasCheckpoints: false,
  isGang: false,
  prefersOneRack: false,
  requiredLabel: '',
  preferredRack: '',
  maximumPerEndpoint: 0,
  isSpeculative: false,
  isLongRunning: false,
  image: '',
  targetMilliseconds: 0,
  isFilling: false,
  disruptionBudget: null,
};

/** @returns a job with the given steps */
export function createJobSpecification(...steps: Partial<StepSpecification>[]): JobSpecification {
  return {
    payload: '',
    steps: steps.map((step) => ({ ...DEFAULT_STEP, ...step })),
    schedule: null,
  };
}

/** @returns a job id of 16 hexadecimal digits */
export function createJobId(index: number): string {
  return index.toString(16).padStart(16, '0');
}

/**
 * Creates a cell that has no scheduler processes yet.
 *
 * @param options endpoint settings that override the defaults
 * @param random numbers from 0 to 1 that decide which answers of the store are lost
 * @param log log of all processes
 */
export function createSchedulerCell(
  options: Partial<EndpointFleetOptions> = {},
  random: () => number = () => 0.5,
  log: Log = createSilentLog(),
): SchedulerCell {
  const clock = createManualClock();
  const store = createClusterStoreStandIn(clock, random);
  const fleet = createEndpointFleetStandIn({
    clock,
    count: 4,
    service: 'ledger',
    capacity: { processors: 8, memoryBytes: 1_000, accelerators: 0 },
    rackSize: 2,
    durationOf: () => 500,
    ...options,
  });
  const metrics = createSchedulerMetrics();
  const processes: CellProcess[] = [];

  const cell: SchedulerCell = {
    clock,
    store,
    fleet,
    metrics,
    configuration: CONFIGURATION,
    pastUse: null,
    wallStepMilliseconds: 0,
    silentKey: null,
    isConfigurationReadable: true,
    isDirectoryReadable: true,
    isConfigurationSilent: false,
    evacuateMilliseconds: null,
    isEvacuationReadable: true,
    startProcess(name, onTermStart = () => {}, claimDelayMilliseconds = 0) {
      let term: OwnerTerm | null = null;
      let isKilled = false;
      const client = store.client(name);
      const election = createOwnerElection({
        store: client,
        clock,
        log,
        address: name,
        leaseMilliseconds: LEASE_MILLISECONDS,
        claimDelayMilliseconds,
        claimTurns: () => 0,
        onOwnerChange: () => {},
        onTermStart(owned) {
          if (isKilled) return;
          onTermStart();
          term = createOwnerTerm({
            store: {
              ...client,
              async read(key, timeoutMilliseconds) {
                if (key !== cell.silentKey) return client.read(key, timeoutMilliseconds);
                await sleep(clock, timeoutMilliseconds);
                return { kind: 'failed', reason: 'lost' };
              },
            },
            clock: {
              ...clock,
              wallMilliseconds: () => clock.wallMilliseconds() + cell.wallStepMilliseconds,
            },
            log,
            metrics,
            ...(cell.pastUse ? { pastUse: cell.pastUse } : {}),
            endpoints: fleet.client,
            directory: {
              async list(timeoutMilliseconds) {
                if (cell.isDirectoryReadable) return fleet.directory.list(timeoutMilliseconds);
                await sleep(clock, timeoutMilliseconds);
                return { kind: 'failed', reason: 'lost' };
              },
            },
            configurationSource: {
              async read(timeoutMilliseconds) {
                if (cell.isConfigurationSilent) {
                  await sleep(clock, timeoutMilliseconds);
                  return { kind: 'failed', reason: 'lost' };
                }
                const outcome = await client.read('any', timeoutMilliseconds);
                if (outcome.kind === 'failed') return outcome;
                if (!cell.isConfigurationReadable) return { kind: 'failed', reason: 'lost' };
                return { kind: 'answered', configuration: cell.configuration };
              },
            },
            evacuation:
              cell.evacuateMilliseconds === null
                ? null
                : {
                    source: createEvacuationSourceStandIn(client, () => cell.isEvacuationReadable),
                    boundMilliseconds: cell.evacuateMilliseconds,
                  },
            timeLimits: {
              maximumLeaseMilliseconds: 10_000,
              maximumOrderDelayMilliseconds: 12_000,
              maximumStopMilliseconds: 200,
              heartbeatMilliseconds: 1_500,
            },
            maximumConfigurationAgeMilliseconds: 1_900,
            maximumValueBytes: MAXIMUM_VALUE_BYTES,
            retentionMilliseconds: 120_000,
            term: owned,
            isOwnerLeaseValid: () => !isKilled && election.isOwnerLeaseValid(),
            onOwnershipLost: (reason) => election.abandonTerm(reason),
            onRecovered: () => election.recordRecovery(),
          });
          term.addAdviceChannel(fleet.advice, 'vm');
          void term.run();
        },
        onTermEnd() {
          term?.end();
          term = null;
        },
      });
      void election.run();
      const started: CellProcess = {
        name,
        election,
        isKilled: () => isKilled,
        term: () => term,
        kill() {
          isKilled = true;
          term?.end();
          term = null;
          election.stop();
          store.faultsOf(name).outage = 'silent';
        },
      };
      processes.push(started);
      return started;
    },
    async advance(milliseconds) {
      const endsAt = clock.monotonicMilliseconds() + milliseconds;
      while (clock.monotonicMilliseconds() < endsAt) {
        clock.advance(STEP_MILLISECONDS);
        await setImmediate();
      }
    },
    currentTerm: () => processes.map((entry) => entry.term()).find((term) => term !== null) ?? null,
    killOwner: () => processes.find((entry) => entry.term() !== null)?.kill(),
    processNames: () => processes.filter((entry) => !entry.isKilled()).map(({ name }) => name),
    async call(request) {
      const owner = cell.currentTerm();
      if (!owner) throw new Error('no process of the cell is the owner');
      let answer: CallerAnswer | null = null;
      void owner
        .handle({
          action: 'submit',
          host: 'cell.example',
          path: `/work/${createJobId(1)}`,
          key: 'key-1',
          specification: null,
          bodyBytes: 100,
          ...request,
        })
        .then((result) => {
          answer = result;
        });
      while (!answer) await cell.advance(STEP_MILLISECONDS);
      return answer;
    },
  };
  return cell;
}

/** Advances the clock until the condition holds or the time is up. */
export async function advanceUntil(
  cell: SchedulerCell,
  condition: () => boolean,
  milliseconds: number,
): Promise<void> {
  const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
  while (!condition() && cell.clock.monotonicMilliseconds() < endsAt) {
    await cell.advance(STEP_MILLISECONDS);
  }
}
