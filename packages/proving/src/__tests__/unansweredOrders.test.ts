import { sleep } from '@chicorybend/common';
import test from 'ava';

import { createJobId, createJobSpecification, createSchedulerCell } from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const JOB_INTERVAL_MILLISECONDS = 40;

/** Makes an endpoint answer holds only. @returns ids of the tasks whose starts were sent there */
function ignoreOrders({ fleet, clock }: SchedulerCell, ignoring: Set<string>): Set<string> {
  const taskIds = new Set<string>();
  const { start, stop } = fleet.client;
  Object.assign(fleet.client, {
    async start(...[target, order, timeout]: Parameters<typeof start>) {
      if (!ignoring.has(target.endpointId)) return start(target, order, timeout);
      taskIds.add(order.taskId);
      await sleep(clock, timeout);
      return { kind: 'unknown', reason: 'lost' };
    },
    async stop(...[target, run, timeout]: Parameters<typeof stop>) {
      if (!ignoring.has(target.endpointId)) return stop(target, run, timeout);
      await sleep(clock, timeout);
      return { kind: 'unknown', reason: 'lost' };
    },
  });
  return taskIds;
}

test('an endpoint that leaves its orders unanswered, but answers holds, gets few further tasks', async (t) => {
  const cell = createSchedulerCell({
    count: 6,
    capacity: { processors: 64, memoryBytes: 1_000, accelerators: 0 },
    durationOf: () => 300,
  });
  const ignoring = new Set<string>();
  const taskIds = ignoreOrders(cell, ignoring);
  cell.startProcess('owner');
  await cell.advance(1_000);
  let jobs = 0;
  async function submitFor(milliseconds: number): Promise<void> {
    const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
    while (cell.clock.monotonicMilliseconds() < endsAt) {
      jobs += 1;
      const specification = createJobSpecification({ estimatedMilliseconds: 300 });
      await cell.call({ path: `/work/${createJobId(jobs)}`, specification });
      await cell.advance(JOB_INTERVAL_MILLISECONDS);
    }
  }
  await submitFor(1_000);
  const [usual] = cell.fleet.history;
  ignoring.add(usual!.endpointId);
  await submitFor(1_000);
  const tasksInFirstSecond = taskIds.size;
  await submitFor(15_000);
  t.true(tasksInFirstSecond > 0);
  t.true(taskIds.size <= tasksInFirstSecond + 1, `${taskIds.size} after ${tasksInFirstSecond}`);
});
