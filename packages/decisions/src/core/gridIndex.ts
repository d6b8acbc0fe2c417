import type { CandidateIndex, CandidateQuery } from '../types/candidateIndex.js';
import type { PlacementPolicy, SearchOrder } from '../types/workerPool.js';
import type { WorkerRecord } from '../types/workerRecord.js';
import { createBitSet } from '../utils/bitSet.js';
import type { BitSet } from '../utils/bitSet.js';
import { LEVEL_COUNT, toLevel } from '../utils/levels.js';
import { countFits } from '../utils/units.js';

/** An eighth of a processor, in thousandths. */
const PROCESSOR_STEP = 125;
const MEMORY_STEP_BYTES = 2 ** 28;
/** Workers with more free accelerators than this share one plane. */
const MOST_PLANES = 64;
/** Workers scored per decision; more bring no better packing (see docs/decisions.md). */
const MOST_CANDIDATES = 32;
/** Workers of one cell are alike, so that a few of each stand for all. */
const MOST_CANDIDATES_PER_CELL = 2;
const MOST_CELLS_PER_ROW = 2;
/** Bounds the look at cells on the edge, where some workers are a little too small. */
const MOST_LOOKS_PER_CELL = 16;

/** Workers with about the same free amounts. */
type Cell = WorkerRecord[];

/** Cells of one level of free processors, by level of free memory. */
interface Row {
  readonly cells: Cell[];
  readonly occupied: BitSet;
  workers: number;
}

/** Rows of one number of free accelerators, by level of free processors. */
interface Plane {
  readonly rows: Row[];
  readonly occupied: BitSet;
}

interface Location {
  plane: number;
  row: number;
  column: number;
  position: number;
}

/** Best worker seen so far in a search. */
interface Choice {
  worker: WorkerRecord | null;
  score: number;
  seen: number;
}

/** Workers without accelerators come first, so that work that needs none uses them first. */
const planeOf = (worker: WorkerRecord): number =>
  worker.capacityUnits.accelerators === 0
    ? 0
    : Math.min(MOST_PLANES - 1, 1 + worker.openUnits.accelerators);

const firstPlaneFor = (accelerators: number): number =>
  accelerators === 0 ? 0 : Math.min(MOST_PLANES - 1, 1 + accelerators);

/** Calls `visit` for the members from `lowest` upwards, in the given order, until it returns true. */
function walk(
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
 * Creates an index by levels of free amounts.
 *
 * A worker lies in the cell of its free accelerators, processors and memory. A search visits only
 * cells that can hold enough, in the order of the policy, and scores a bounded number of workers
 * there. If that finds none, all the cells are visited, so that a worker with room is never missed.
 * The cost depends on the number of levels, and on the number of workers only for those in cells on
 * the edge.
 *
 * @param policy scores
 * @param order order in which the cells are visited
 * @returns index
 */
export function createGridIndex(policy: PlacementPolicy, order: SearchOrder): CandidateIndex {
  const planes: Plane[] = [];
  const occupiedPlanes = createBitSet(LEVEL_COUNT);
  const locations = new Map<WorkerRecord, Location>();

  function rowAt(plane: number, row: number): Row {
    planes[plane] ??= { rows: [], occupied: createBitSet(LEVEL_COUNT) };
    const { rows } = planes[plane];
    rows[row] ??= { cells: [], occupied: createBitSet(LEVEL_COUNT), workers: 0 };
    return rows[row];
  }

  function insert(worker: WorkerRecord, plane: number, row: number, column: number): void {
    const target = rowAt(plane, row);
    target.cells[column] ??= [];
    const cell = target.cells[column];
    locations.set(worker, { plane, row, column, position: cell.length });
    cell.push(worker);
    target.workers += 1;
    target.occupied.add(column);
    planes[plane]!.occupied.add(row);
    occupiedPlanes.add(plane);
  }

  function leaveCell(cell: Cell, position: number): void {
    const last = cell.pop()!;
    if (position === cell.length) return;
    // The last worker takes the place, so that nothing else has to move.
    cell.splice(position, 1, last);
    locations.get(last)!.position = position;
  }

  function remove(worker: WorkerRecord): void {
    const location = locations.get(worker);
    if (!location) return;
    locations.delete(worker);
    const plane = planes[location.plane]!;
    const row = plane.rows[location.row]!;
    const cell = row.cells[location.column]!;
    leaveCell(cell, location.position);
    row.workers -= 1;
    if (cell.length === 0) row.occupied.remove(location.column);
    if (row.workers === 0) plane.occupied.remove(location.row);
    if (plane.occupied.next(0) < 0) occupiedPlanes.remove(location.plane);
  }

  function update(worker: WorkerRecord): void {
    const plane = planeOf(worker);
    const row = toLevel(worker.openUnits.processors, PROCESSOR_STEP);
    const column = toLevel(worker.openUnits.memoryBytes, MEMORY_STEP_BYTES);
    const known = locations.get(worker);
    if (known?.plane === plane && known.row === row && known.column === column) return;
    remove(worker);
    insert(worker, plane, row, column);
  }

  function isUsable(worker: WorkerRecord, query: CandidateQuery): boolean {
    return countFits(worker.openUnits, query.units) >= 1 && query.isAllowed(worker);
  }

  function scoreCell(cell: Cell, query: CandidateQuery, choice: Choice): void {
    const looks = Math.min(cell.length, MOST_LOOKS_PER_CELL);
    let scored = 0;
    for (let index = 0; index < looks && scored < MOST_CANDIDATES_PER_CELL; index += 1) {
      const worker = cell[index]!;
      if (!isUsable(worker, query)) continue;
      scored += 1;
      const score = policy.score(worker.open, worker.capacity, query.resources);
      if (score > choice.score) Object.assign(choice, { worker, score });
    }

    choice.seen += scored;
  }

  function findScored(plane: Plane, query: CandidateQuery): WorkerRecord | null {
    const choice: Choice = { worker: null, score: -Infinity, seen: 0 };
    const firstRow = toLevel(query.units.processors, PROCESSOR_STEP);
    const firstColumn = toLevel(query.units.memoryBytes, MEMORY_STEP_BYTES);
    walk(plane.occupied, firstRow, order, (rowLevel) => {
      const row = plane.rows[rowLevel]!;
      let cells = 0;
      walk(row.occupied, firstColumn, order, (column) => {
        const seenBefore = choice.seen;
        scoreCell(row.cells[column]!, query, choice);
        if (choice.seen > seenBefore) cells += 1;
        return cells >= MOST_CELLS_PER_ROW;
      });
      return choice.seen >= MOST_CANDIDATES;
    });
    return choice.worker;
  }

  function findAny(plane: Plane, query: CandidateQuery): WorkerRecord | null {
    const firstRow = toLevel(query.units.processors, PROCESSOR_STEP);
    const firstColumn = toLevel(query.units.memoryBytes, MEMORY_STEP_BYTES);
    let found: WorkerRecord | null = null;
    walk(plane.occupied, firstRow, order, (rowLevel) => {
      const row = plane.rows[rowLevel]!;
      return walk(row.occupied, firstColumn, order, (column) => {
        found = row.cells[column]!.find((worker) => isUsable(worker, query)) ?? null;
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
      walk(occupiedPlanes, firstPlaneFor(accelerators), planeOrder, (plane) => {
        found = findScored(planes[plane]!, query) ?? findAny(planes[plane]!, query);
        return found !== null;
      });
      return found;
    },
  };
}
