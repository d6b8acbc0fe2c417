import test from 'ava';

import type { StepSpecification } from '@chicorybend/scheduler';

import {
  advanceUntil,
  CONFIGURATION,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const LIMIT_PROCESSORS = 4;

/** Starts a cell whose team may run as much as half of an endpoint. */
async function startCell(): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ durationOf: () => 500 });
  const limit = { processors: LIMIT_PROCESSORS, memoryBytes: 0, accelerators: 0 };
  cell.configuration = {
    ...CONFIGURATION,
    teams: CONFIGURATION.teams.map((team) => ({ ...team, limit })),
  };
  cell.startProcess('first');
  await cell.advance(600);
  return cell;
}

async function submit(
  cell: SchedulerCell,
  index: number,
  processors: number,
  step: Partial<StepSpecification>,
): Promise<void> {
  const resources = { processors, memoryBytes: 1, accelerators: 0 };
  const specification = createJobSpecification({ resources, ...step });
  await cell.call({ path: `/work/${createJobId(index)}`, specification });
}

/** Runs two overlapping jobs whose processors are no binary fractions. */
async function runSmallJobs(cell: SchedulerCell): Promise<void> {
  await submit(cell, 1, 0.3, { count: 3 });
  await cell.advance(200);
  await submit(cell, 2, 0.6, { count: 3 });
  await cell.advance(2_000);
}

// Rounding errors stayed charged to the team after its runs had ended, and its limit was compared exactly.
test('a task as large as the limit of its team starts after smaller jobs of the team', async (t) => {
  const cell = await startCell();
  await runSmallJobs(cell);
  await submit(cell, 3, LIMIT_PROCESSORS, { count: 1 });
  await advanceUntil(cell, () => cell.fleet.history.length === 7, 2_000);
  t.is(cell.fleet.history.length, 7);
});

test('a gang as large as the limit of its team starts after smaller jobs of the team', async (t) => {
  const cell = await startCell();
  await runSmallJobs(cell);
  await submit(cell, 3, 1, { count: LIMIT_PROCESSORS, isGang: true });
  await advanceUntil(cell, () => cell.fleet.history.length === 10, 2_000);
  t.is(cell.fleet.history.length, 10);
});
