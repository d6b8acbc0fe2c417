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

/** Usage is reported with the heartbeats. */
const USAGE_INTERVAL_MILLISECONDS = 500;
const SAMPLE_INTERVAL_MILLISECONDS = 1_000;
const WINDOW_SAMPLES = 60;
/** Decisions are made in passes, so that work competes for everything that became free meanwhile. */
const PASS_INTERVAL_MILLISECONDS = 100;
/** Ends a pass when nothing more seems to fit. */
const MAXIMUM_FAILURES_PER_PASS = 24;
const AGING_MILLISECONDS = 60_000;
/** Work that has waited this long without fitting gets workers held for it. */
const HOLD_AFTER_MILLISECONDS = 60_000;

/** One way of deciding, under which a trace is replayed. */
export interface ReplayVariant {
  readonly name: string;
  readonly createPlacement: () => PlacementPolicy;
  readonly createOrder: () => QueueOrderPolicy;
  /** Whether workers are held for work that has waited long without fitting. */
  readonly usesHolds?: boolean;
  /** Changes what the queue gets to see, for instance without teams. */
  readonly transformWork?: (work: WorkItem) => WorkItem;
}

/** Figures of one replay. */
export interface ReplayResult {
  readonly name: string;
  /** Waiting times in milliseconds. */
  readonly waits: Readonly<Record<ReplayKind, Histogram>>;
  /** Part of the processors in use while work waits. */
  readonly packing: number;
  /** Distances from the shares, per position of the window. */
  readonly distances: readonly number[];
  readonly started: number;
  /** Time of the last start. */
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
 * Starts what fits. Work that does not fit returns to the queue after the pass and is first again in
 * the next one; a delay of its own would let later work take what becomes free in the meantime.
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

/** Counts packing and distance only while work arrives, so that the emptying at the end is left out. */
function takeSample(replay: Replay): void {
  const {
    utilisation: busy,
    capacity,
    meter,
    pool,
    queue,
    trace,
    usedByTeam,
    waitingByTeam,
  } = replay;
  if (queue.size() > 0) {
    busy.usedProcessors += capacity.processors - pool.totals().freeTotal.processors;
    busy.capacityProcessors += capacity.processors;
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
 * Replays a trace: a plain event loop over the functions of this package, in simulated time.
 *
 * @param trace arrivals
 * @param variant way of deciding
 * @returns figures
 */
export function runReplay(trace: Trace, variant: ReplayVariant): ReplayResult {
  const replay = createReplay(trace, variant);
  const { utilisation: busy, events, meter, waits } = replay;
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
    packing: busy.capacityProcessors > 0 ? busy.usedProcessors / busy.capacityProcessors : 0,
    distances: meter.distances(),
    started: REPLAY_KINDS.reduce((sum, kind) => sum + waits[kind].totalCount, 0),
    lastStartAt: busy.lastStartAt,
  };
}
