import { sleep } from '@chicorybend/common';
import type { EndpointEntry, StartOrder } from '@chicorybend/scheduler';

import type {
  EndpointFleetOptions,
  EndpointFleetStandIn,
  FleetEndKind,
  FleetEndpointFaults,
  FleetOverload,
  FleetRestart,
  FleetRun,
} from '../types/fleet.js';
import { createFleetClient } from './fleetClient.js';
import { createFleetEndpoint } from './fleetEndpoint.js';
import type { FleetEndpoint } from './fleetEndpoint.js';
import { createFleetGangs } from './fleetGangs.js';
import {
  countStartsAfterCrashes,
  crashTimesUnder,
  createCapacityRecord,
  exceeds,
  findRepeatedRuns,
  sumResources,
} from './fleetRecords.js';
import type { CapacityRecord } from './fleetRecords.js';

const DEFAULT_LATENCY_MILLISECONDS = 5;
const FIRST_BORN_AT = 1_000;
/** The directory lists an endpoint until it has missed three heartbeats. */
const UNLIST_DELAY_MILLISECONDS = 4_500;
const DEFAULT_RESTART: FleetRestart = { downMilliseconds: 3_000, keepsId: false };
const DEFAULT_RESOURCES = { processors: 1, memoryBytes: 0, accelerators: 0 };

/** Host of one endpoint at a time. */
interface Machine {
  readonly name: string;
  readonly faults: FleetEndpointFaults;
  readonly capacities: CapacityRecord;
  current: FleetEndpoint;
  /** Number of ids so far. */
  ids: number;
}

/** Creates a fleet of identical endpoints named `endpoint-0`, `endpoint-1` and so on. */
export function createEndpointFleetStandIn(options: EndpointFleetOptions): EndpointFleetStandIn {
  const { clock } = options;
  const latencyMilliseconds = options.latencyMilliseconds ?? DEFAULT_LATENCY_MILLISECONDS;
  const machines: Machine[] = [];
  /** By endpoint id. */
  const machinesById = new Map<string, Machine>();
  /** Latest incarnation of each endpoint id. */
  const endpoints = new Map<string, FleetEndpoint>();
  /** Listed entries by endpoint id. */
  const listed = new Map<string, EndpointEntry>();
  const gangs = createFleetGangs(clock);
  const history: FleetRun[] = [];
  const overloads: FleetOverload[] = [];
  let latestBornAt = FIRST_BORN_AT;

  function checkCapacity(machine: Machine, run: FleetRun): void {
    const capacity = machine.capacities.limit(clock.monotonicMilliseconds());
    const used = sumResources(machine.current.runs());
    if (exceeds(used, capacity)) overloads.push({ run, used, capacity });
  }

  function scheduleRunCrash(run: FleetRun, order: StartOrder): void {
    const delay = options.crashDelayOf?.(order) ?? null;
    if (delay === null) return;
    clock.setTimer(() => {
      if (run.endedAt !== null) return;
      crash(run.endpointId, options.restartAfterRunCrash ?? DEFAULT_RESTART);
    }, delay);
  }

  /** Starts an incarnation on a machine and lists it. */
  function boot(machine: Omit<Machine, 'current'>, entry: EndpointEntry): FleetEndpoint {
    const endpoint = createFleetEndpoint({
      clock,
      entry,
      faults: machine.faults,
      durationOf: options.durationOf,
      resourcesOf: options.resourcesOf ?? (() => DEFAULT_RESOURCES),
      gangOf: options.gangOf ?? (() => null),
      gangs,
      onStart(record, order) {
        history.push(record);
        checkCapacity(machinesById.get(entry.endpointId)!, record);
        scheduleRunCrash(record, order);
      },
    });
    endpoints.set(entry.endpointId, endpoint);
    listed.set(entry.endpointId, entry);
    return endpoint;
  }

  function addMachine(index: number): void {
    const name = `endpoint-${index}`;
    const rack = `rack-${Math.floor(index / options.rackSize)}`;
    const base = {
      name,
      faults: {
        isCutOff: false,
        unansweredStartDelayMilliseconds: null,
        unansweredHoldDelayMilliseconds: null,
        unansweredStopDelayMilliseconds: null,
        lateOrderFraction: 1,
        failsEveryRun: false,
        slowness: 1,
      },
      capacities: createCapacityRecord(options.capacity),
      ids: 1,
    };
    const current = boot(base, {
      endpointId: name,
      service: options.service,
      address: `10.0.0.${index + 1}:80`,
      dataCentre: options.dataCentreOf?.(index) ?? 'one',
      isDraining: false,
      drainRemainingMilliseconds: null,
      capacity: options.capacity,
      labels: ['a', rack],
      rack,
      bornAt: FIRST_BORN_AT,
    });
    const machine = { ...base, current };
    machines.push(machine);
    machinesById.set(name, machine);
  }

  for (let index = 0; index < options.count; index += 1) addMachine(index);

  /** Starts the next incarnation on a machine whose endpoint is down. */
  function bootNext(machine: Machine, keepsId: boolean): void {
    const { entry } = machine.current;
    const { name, ids } = machine;
    latestBornAt += 1;
    if (!keepsId) machine.ids += 1;
    const endpointId = keepsId ? entry.endpointId : `${name}.${ids + 1}`;
    machinesById.set(endpointId, machine);
    machine.current = boot(machine, {
      ...entry,
      endpointId,
      bornAt: latestBornAt,
      isDraining: false,
      drainRemainingMilliseconds: null,
    });
    options.onStateChange?.(machine.current.entry, true);
  }

  function takeDown(endpoint: FleetEndpoint, kind: FleetEndKind, restart: FleetRestart): void {
    const machine = machinesById.get(endpoint.entry.endpointId)!;
    endpoint.takeDown('down', kind);
    options.onStateChange?.(endpoint.entry, false);
    clock.setTimer(() => {
      const isStillDown = machine.current === endpoint && endpoint.state === 'down';
      if (isStillDown) bootNext(machine, restart.keepsId);
    }, restart.downMilliseconds);
  }

  function unlist({ endpointId, bornAt }: EndpointEntry): void {
    if (listed.get(endpointId)?.bornAt === bornAt) listed.delete(endpointId);
  }

  function crash(endpointId: string, restart: FleetRestart): void {
    const endpoint = endpoints.get(endpointId)!;
    if (endpoint.state !== 'up') return;
    takeDown(endpoint, 'crashed', restart);
    clock.setTimer(() => unlist(endpoint.entry), UNLIST_DELAY_MILLISECONDS);
  }

  function changeEntry(endpointId: string, change: Partial<EndpointEntry>): void {
    const endpoint = endpoints.get(endpointId)!;
    endpoint.entry = { ...endpoint.entry, ...change };
    if (listed.has(endpointId)) listed.set(endpointId, endpoint.entry);
  }

  return {
    client: createFleetClient({
      clock,
      latencyMilliseconds,
      random: options.random ?? (() => 0.5),
      onLateOrder: options.onLateOrder ?? (() => {}),
      endpointAt: (endpointId) => machinesById.get(endpointId)?.current,
    }),
    history,
    overloads,
    directory: {
      async list() {
        await sleep(clock, latencyMilliseconds);
        return { kind: 'answered', entries: [...listed.values()] };
      },
    },
    advice: {
      async advise(stepId, endpointIds) {
        await sleep(clock, latencyMilliseconds);
        const tickets = endpointIds.map((endpointId) => ({
          endpointId,
          ticket: `${stepId}/${endpointId}`,
        }));
        return { kind: 'answered', tickets, validMilliseconds: 2_000 };
      },
    },
    faultsOf: (endpointId) => machinesById.get(endpointId)!.faults,
    entries: () => machines.map(({ current }) => current.entry),
    isUp: (endpointId) => endpoints.get(endpointId)?.state === 'up',
    restart(endpointId) {
      endpoints.get(endpointId)!.takeDown('down', 'crashed');
      bootNext(machinesById.get(endpointId)!, true);
    },
    crash,
    kill(endpointId) {
      endpoints.get(endpointId)!.takeDown('silent', 'crashed');
    },
    unlist(endpointId) {
      listed.delete(endpointId);
    },
    list(entry) {
      listed.set(entry.endpointId, entry);
    },
    failRun(endpointId, taskId) {
      endpoints.get(endpointId)!.endRun(taskId, 'failed');
    },
    drain(endpointId, remainingMilliseconds) {
      changeEntry(endpointId, {
        isDraining: true,
        drainRemainingMilliseconds: remainingMilliseconds,
      });
    },
    release(endpointId, downMilliseconds) {
      const endpoint = endpoints.get(endpointId)!;
      if (endpoint.state !== 'up') return;
      takeDown(endpoint, 'released', { downMilliseconds, keepsId: false });
      unlist(endpoint.entry);
    },
    resize(endpointId, capacity) {
      machinesById.get(endpointId)!.capacities.change(capacity, clock.monotonicMilliseconds());
      changeEntry(endpointId, { capacity });
    },
    violations: () => findRepeatedRuns(history),
    crashesUnder: (taskId) => crashTimesUnder(history, taskId).length,
    startsAfterCrashes: (taskId, crashes) => countStartsAfterCrashes(history, taskId, crashes),
  };
}
