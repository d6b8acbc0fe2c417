import type { Resources } from '@chicorybend/common';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { createTaskQueue, createWorkerPool } from '../index.js';
import type {
  PlacementPolicy,
  WorkItem,
  QueueOrderPolicy,
  TaskQueue,
  WorkerPool,
} from '../index.js';
import { computeDominantShare } from '../utils/dominantShare.js';
import { addResources, NO_RESOURCES } from '../utils/resourceAmounts.js';
import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { IndexedHeap } from '../utils/indexedHeap.js';
import { createFleet } from './fleet.js';
import { REPLAY_KINDS } from './replayTrace.js';
import type { Arrival, ReplayKind, Trace } from './replayTrace.js';
import { createDistanceMeter } from './shareDistance.js';
import type { DistanceMeter } from './shareDistance.js';

/** The queue gets the usage of the teams at the interval of the heartbeats. */
const USAGE_INTERVAL_MILLISECONDS = 500;
const SAMPLE_INTERVAL_MILLISECONDS = 1_000;
const WINDOW_SAMPLES = 60;
/** Decisions are made in passes, so that work competes for all capacity that became free since the last one. */
const PASS_INTERVAL_MILLISECONDS = 100;
/** Ends a pass after this many failed placements, when hardly anything else is likely to fit. */
const MAXIMUM_FAILURES_PER_PASS = 24;
const AGING_MILLISECONDS = 60_000;
/** Capacity is held for work that has waited this long without fitting. */
const HOLD_AFTER_MILLISECONDS = 60_000;

/** Policies and settings with which a trace is replayed. */
export interface ReplayVariant {
  readonly name: string;
  readonly createPlacement: () => PlacementPolicy;
  readonly createOrder: () => QueueOrderPolicy;
  /** Whether capacity is held for work that has waited long without fitting; false by default. */
  readonly usesHolds?: boolean;
  /** Transforms work before it is queued, for instance to remove its team. */
  readonly transformWork?: (work: WorkItem) => WorkItem;
}

/** Measurements of one replay. */
export interface ReplayResult {
  readonly name: string;
  /** Waiting times in milliseconds. */
  readonly waits: Readonly<Record<ReplayKind, Histogram>>;
  /** Fraction of the processors in use while work waits. */
  readonly packing: number;
  /** Distance from the shares, per position of the sliding window. */
  readonly distances: readonly number[];
  /** Number of work items started. */
  readonly started: number;
  /** Simulated time of the last start, in milliseconds. */
  readonly lastStartAt: number;
}

type Event =
  | { readonly at: number; readonly kind: 'arrival'; readonly arrival: Arrival }
  | {
      readonly at: number;
      readonly kind: 'end';
      readonly work: WorkItem;
      readonly workerIds: readonly string[];
    }
  | { readonly at: number; readonly kind: 'usage' | 'sample' | 'pass' };

interface Utilisation {
  /** Processors in use, summed over the samples at which work waits. */
  usedProcessors: number;
  /** Processors of the fleet, summed over the same samples. */
  capacityProcessors: number;
  lastStartAt: number;
}

interface Replay {
  readonly trace: Trace;
  readonly pool: WorkerPool;
  readonly queue: TaskQueue;
  readonly events: IndexedHeap<Event>;
  readonly arrivals: ReadonlyMap<string, Arrival>;
  readonly capacity: Resources;
  readonly usedByTeam: Map<string, Resources>;
  readonly waitingByTeam: Map<string, Resources>;
  readonly waits: Record<ReplayKind, Histogram>;
  readonly meter: DistanceMeter;
  readonly utilisation: Utilisation;
  readonly usesHolds: boolean;
}

const allowAnyTeam = (): boolean => true;

const createHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e9,
    numberOfSignificantValueDigits: 3,
  });

function createReplay(trace: Trace, variant: ReplayVariant): Replay {
  const pool = createWorkerPool(variant.createPlacement());
  createFleet(trace.workers).forEach(pool.upsert);
  const queue = createTaskQueue(variant.createOrder(), { agingMilliseconds: AGING_MILLISECONDS });
  const capacity = pool.totals().capacityTotal;
  queue.setCapacity(capacity);
  queue.setShares(trace.shares);
  return {
    trace,
    pool,
    queue,
    events: createIndexedHeap<Event>((left, right) => left.at < right.at),
    arrivals: new Map(trace.arrivals.map((arrival) => [arrival.work.workId, arrival])),
    capacity,
    usedByTeam: new Map(),
    waitingByTeam: new Map(),
    waits: {
      urgent: createHistogram(),
      batch: createHistogram(),
      gang: createHistogram(),
      overnight: createHistogram(),
    },
    meter: createDistanceMeter(trace.shares, WINDOW_SAMPLES),
    usesHolds: variant.usesHolds ?? false,
    utilisation: { usedProcessors: 0, capacityProcessors: 0, lastStartAt: 0 },
  };
}

function adjustAmounts(amounts: Map<string, Resources>, work: WorkItem, sign: 1 | -1): void {
  const before = amounts.get(work.team) ?? NO_RESOURCES;
  amounts.set(work.team, addResources(before, work.resources, sign * work.taskCount));
}

function tryStart(replay: Replay, queued: WorkItem, now: number): boolean {
  const { arrivals, pool, queue } = replay;
  const request = {
    resources: queued.resources,
    avoidRacks: [],
    avoidWorkers: [],
    heldFor: queued.workId,
    isUrgent: queued.priority === 'urgent',
  };
  const workerIds = pool.placeAll(request, queued.taskCount);
  if (!workerIds) {
    const waitedMilliseconds = now - queued.enqueuedAt;
    if (replay.usesHolds && waitedMilliseconds >= HOLD_AFTER_MILLISECONDS) {
      pool.hold?.(queued.workId, request, queued.taskCount);
    }
    return false;
  }
  pool.dropHold?.(queued.workId);
  const { kind, runMilliseconds, work } = arrivals.get(queued.workId)!;
  workerIds.forEach((workerId) => pool.allocate(workerId, work.resources));
  queue.recordStart(queued);
  adjustAmounts(replay.usedByTeam, work, 1);
  adjustAmounts(replay.waitingByTeam, work, -1);
  replay.events.push({ at: now + runMilliseconds, kind: 'end', work, workerIds });
  replay.waits[kind].recordValue(Math.max(1, Math.round(now - work.enqueuedAt)));
  Object.assign(replay.utilisation, { lastStartAt: now });
  return true;
}

/**
 * Starts all work that fits. Work that does not fit returns to the queue after the pass and is first
 * again in the next one; if it were delayed, later work would take what becomes free in the meantime.
 */
function runPass(replay: Replay, now: number): void {
  const failed: WorkItem[] = [];
  while (failed.length < MAXIMUM_FAILURES_PER_PASS) {
    const queued = replay.queue.take(now, allowAnyTeam);
    if (!queued) break;
    if (!tryStart(replay, queued, now)) failed.push(queued);
  }
  failed.forEach((queued) => replay.queue.add(queued));
}

/** Samples packing and distance from share, only while work arrives, which excludes the drain at the end. */
function takeSample(replay: Replay): void {
  const { utilisation, capacity, meter, pool, queue, trace, usedByTeam, waitingByTeam } = replay;
  if (queue.size() > 0) {
    utilisation.usedProcessors += capacity.processors - pool.totals().freeTotal.processors;
    utilisation.capacityProcessors += capacity.processors;
  }
  const shareOf = (amounts: Map<string, Resources>, team: string): number =>
    computeDominantShare(amounts.get(team) ?? NO_RESOURCES, capacity);
  const teams = Object.keys(trace.shares);
  const used = Object.fromEntries(teams.map((team) => [team, shareOf(usedByTeam, team)]));
  const demands = Object.fromEntries(
    teams.map((team) => [team, used[team]! + shareOf(waitingByTeam, team)]),
  );
  meter.add(used, demands);
}

function scheduleNext(replay: Replay, event: Event, interval: number): void {
  const at = event.at + interval;
  if (at < replay.trace.durationMilliseconds) replay.events.push({ ...event, at });
}

function handleEvent(replay: Replay, event: Event, variant: ReplayVariant): void {
  switch (event.kind) {
    case 'arrival': {
      const { work } = event.arrival;
      adjustAmounts(replay.waitingByTeam, work, 1);
      replay.queue.add(variant.transformWork?.(work) ?? work);
      break;
    }
    case 'end':
      event.workerIds.forEach((workerId) => replay.pool.release(workerId, event.work.resources));
      adjustAmounts(replay.usedByTeam, event.work, -1);
      break;
    case 'usage':
      replay.queue.setUsage(Object.fromEntries(replay.usedByTeam));
      scheduleNext(replay, event, USAGE_INTERVAL_MILLISECONDS);
      break;
    case 'pass':
      runPass(replay, event.at);
      break;
    default:
      takeSample(replay);
      scheduleNext(replay, event, SAMPLE_INTERVAL_MILLISECONDS);
  }
}

/**
 * Replays a trace through the pool and the queue of this package with an event loop in simulated time.
 */
export function runReplay(trace: Trace, variant: ReplayVariant): ReplayResult {
  const replay = createReplay(trace, variant);
  const { utilisation, events, meter, waits } = replay;
  trace.arrivals.forEach((arrival) =>
    events.push({ at: arrival.work.enqueuedAt, kind: 'arrival', arrival }),
  );
  events.push({ at: 0, kind: 'usage' });
  events.push({ at: 0, kind: 'sample' });
  let nextPassAt = 0;
  let event = events.pop();
  while (event) {
    handleEvent(replay, event, variant);
    const changesCapacity = event.kind === 'arrival' || event.kind === 'end';
    if (changesCapacity && nextPassAt <= event.at) {
      nextPassAt = event.at + PASS_INTERVAL_MILLISECONDS;
      events.push({ at: nextPassAt, kind: 'pass' });
    }
    event = events.pop();
  }
  return {
    name: variant.name,
    waits,
    packing:
      utilisation.capacityProcessors > 0
        ? utilisation.usedProcessors / utilisation.capacityProcessors
        : 0,
    distances: meter.distances(),
    started: REPLAY_KINDS.reduce((sum, kind) => sum + waits[kind].totalCount, 0),
    lastStartAt: utilisation.lastStartAt,
  };
}
