import type { CandidateIndex, CandidateQuery } from '../types/candidateIndex.js';
import type { PlacementPolicy, SearchOrder } from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { createBitSet } from '../utils/bitSet.js';
import type { BitSet } from '../utils/bitSet.js';
import { LEVEL_COUNT, toLevel } from '../utils/levels.js';
import { countFits } from '../utils/units.js';

/** An eighth of a processor, in thousandths. */
const PROCESSOR_STEP_MILLIPROCESSORS = 125;
const MEMORY_STEP_BYTES = 2 ** 28;
/** Workers with 62 or more free accelerators share the last plane. */
const MAXIMUM_PLANES = 64;
/** Workers scored per placement; more do not improve packing (see docs/decisions.md). */
const MAXIMUM_CANDIDATES = 32;
/** Workers of one bucket have similar free amounts, so that a few represent all of them. */
const MAXIMUM_CANDIDATES_PER_BUCKET = 2;
const MAXIMUM_BUCKETS_PER_ROW = 2;
/** Bounds the search in boundary buckets, where some workers have slightly too little free. */
const MAXIMUM_CHECKS_PER_BUCKET = 16;

/** Workers with about the same free amounts. */
type Bucket = WorkerRecord[];

/** Buckets of one level of free processors, by level of free memory. */
interface Row {
  readonly buckets: Bucket[];
  readonly occupiedColumns: BitSet;
  workerCount: number;
}

/** Rows of one number of free accelerators, by level of free processors. */
interface Plane {
  readonly rows: Row[];
  readonly occupiedRows: BitSet;
}

interface Location {
  plane: number;
  row: number;
  column: number;
  position: number;
}

/** Best worker found so far, and the number of workers scored. */
interface SearchState {
  worker: WorkerRecord | null;
  score: number;
  scored: number;
}

/** Workers without accelerators are in plane 0, so that tasks that need none use them first. */
const planeOf = (worker: WorkerRecord): number =>
  worker.capacityUnits.accelerators === 0
    ? 0
    : Math.min(MAXIMUM_PLANES - 1, 1 + worker.availableUnits.accelerators);

const firstPlaneFor = (accelerators: number): number =>
  accelerators === 0 ? 0 : Math.min(MAXIMUM_PLANES - 1, 1 + accelerators);

/** Calls `visit` for each member that is at least `lowest`, in the given order, until it returns true. */
function visitMembers(
  members: BitSet,
  lowest: number,
  order: SearchOrder,
  visit: (member: number) => boolean,
): boolean {
  const isUpward = order === 'tightest-first';
  let member = isUpward ? members.next(lowest) : members.previous(LEVEL_COUNT - 1);
  while (member >= lowest) {
    if (visit(member)) return true;
    member = isUpward ? members.next(member + 1) : members.previous(member - 1);
  }
  return false;
}

/**
 * Creates an index that groups workers by their available accelerators, processors and memory.
 *
 * The grid has a plane per number of available accelerators, a row per level of processors and a
 * column per level of memory; each bucket holds the workers of one row and column. A search visits
 * only buckets that can hold a worker with enough, in the given order, and scores a bounded number
 * of workers. If it finds none, it visits all workers of these buckets, so that a worker that fits
 * is never missed. The cost depends on the number of levels; it depends on the number of workers
 * only in the boundary buckets, where some workers have slightly too little.
 *
 * @param policy scores workers
 * @param order order in which the buckets are visited
 */
export function createGridIndex(policy: PlacementPolicy, order: SearchOrder): CandidateIndex {
  const planes: Plane[] = [];
  const occupiedPlanes = createBitSet(LEVEL_COUNT);
  const locations = new Map<WorkerRecord, Location>();

  function rowAt(plane: number, row: number): Row {
    planes[plane] ??= { rows: [], occupiedRows: createBitSet(LEVEL_COUNT) };
    const { rows } = planes[plane];
    rows[row] ??= { buckets: [], occupiedColumns: createBitSet(LEVEL_COUNT), workerCount: 0 };
    return rows[row];
  }

  function insert(worker: WorkerRecord, plane: number, row: number, column: number): void {
    const target = rowAt(plane, row);
    target.buckets[column] ??= [];
    const bucket = target.buckets[column];
    locations.set(worker, { plane, row, column, position: bucket.length });
    bucket.push(worker);
    target.workerCount += 1;
    target.occupiedColumns.add(column);
    planes[plane]!.occupiedRows.add(row);
    occupiedPlanes.add(plane);
  }

  function removeFromBucket(bucket: Bucket, position: number): void {
    const last = bucket.pop()!;
    if (position === bucket.length) return;
    // The last worker fills the gap, so that no other worker moves.
    bucket.splice(position, 1, last);
    locations.get(last)!.position = position;
  }

  function remove(worker: WorkerRecord): void {
    const location = locations.get(worker);
    if (!location) return;
    locations.delete(worker);
    const plane = planes[location.plane]!;
    const row = plane.rows[location.row]!;
    const bucket = row.buckets[location.column]!;
    removeFromBucket(bucket, location.position);
    row.workerCount -= 1;
    if (bucket.length === 0) row.occupiedColumns.remove(location.column);
    if (row.workerCount === 0) plane.occupiedRows.remove(location.row);
    if (plane.occupiedRows.next(0) < 0) occupiedPlanes.remove(location.plane);
  }

  function update(worker: WorkerRecord): void {
    const plane = planeOf(worker);
    const row = toLevel(worker.availableUnits.processors, PROCESSOR_STEP_MILLIPROCESSORS);
    const column = toLevel(worker.availableUnits.memoryBytes, MEMORY_STEP_BYTES);
    const existing = locations.get(worker);
    if (existing?.plane === plane && existing.row === row && existing.column === column) return;
    remove(worker);
    insert(worker, plane, row, column);
  }

  function isUsable(worker: WorkerRecord, query: CandidateQuery): boolean {
    return countFits(worker.availableUnits, query.units) >= 1 && query.isAllowed(worker);
  }

  function scoreBucket(bucket: Bucket, query: CandidateQuery, state: SearchState): void {
    const checks = Math.min(bucket.length, MAXIMUM_CHECKS_PER_BUCKET);
    let scored = 0;
    for (let index = 0; index < checks && scored < MAXIMUM_CANDIDATES_PER_BUCKET; index += 1) {
      const worker = bucket[index]!;
      if (!isUsable(worker, query)) continue;
      scored += 1;
      const score = policy.score(worker.available, worker.capacity, query.resources);
      if (score > state.score) Object.assign(state, { worker, score });
    }

    state.scored += scored;
  }

  function findBestCandidate(plane: Plane, query: CandidateQuery): WorkerRecord | null {
    const state: SearchState = { worker: null, score: -Infinity, scored: 0 };
    const firstRow = toLevel(query.units.processors, PROCESSOR_STEP_MILLIPROCESSORS);
    const firstColumn = toLevel(query.units.memoryBytes, MEMORY_STEP_BYTES);
    visitMembers(plane.occupiedRows, firstRow, order, (rowLevel) => {
      const row = plane.rows[rowLevel]!;
      let scoredBuckets = 0;
      visitMembers(row.occupiedColumns, firstColumn, order, (column) => {
        const scoredBefore = state.scored;
        scoreBucket(row.buckets[column]!, query, state);
        if (state.scored > scoredBefore) scoredBuckets += 1;
        return scoredBuckets >= MAXIMUM_BUCKETS_PER_ROW;
      });
      return state.scored >= MAXIMUM_CANDIDATES;
    });
    return state.worker;
  }

  function findFirstUsable(plane: Plane, query: CandidateQuery): WorkerRecord | null {
    const firstRow = toLevel(query.units.processors, PROCESSOR_STEP_MILLIPROCESSORS);
    const firstColumn = toLevel(query.units.memoryBytes, MEMORY_STEP_BYTES);
    let found: WorkerRecord | null = null;
    visitMembers(plane.occupiedRows, firstRow, order, (rowLevel) => {
      const row = plane.rows[rowLevel]!;
      return visitMembers(row.occupiedColumns, firstColumn, order, (column) => {
        found = row.buckets[column]!.find((worker) => isUsable(worker, query)) ?? null;
        return found !== null;
      });
    });
    return found;
  }

  return {
    update,
    remove,
    find(query) {
      let found: WorkerRecord | null = null;
      const { accelerators } = query.units;
      const planeOrder = accelerators === 0 ? 'tightest-first' : order;
      visitMembers(occupiedPlanes, firstPlaneFor(accelerators), planeOrder, (plane) => {
        found = findBestCandidate(planes[plane]!, query) ?? findFirstUsable(planes[plane]!, query);
        return found !== null;
      });
      return found;
    },
  };
}
