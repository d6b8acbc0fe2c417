import { Err, Ok } from '@chicorybend/common';
import test from 'ava';

import { createRunningCell } from './testCell.js';
import type { TestCell, TestWorker } from './testCell.js';

const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Urgent work starts within this time, also while daemons fail. */
const START_LIMIT_MILLISECONDS = 6_400;
const WORKERS = 4;
const FAULTY_WORKERS = 2;
const TASKS = 4;

type Start = TestWorker['client']['start'];

const START_FAULTS: Record<string, (cell: TestCell) => Start> = {
  'do not answer': (cell) => async () => {
    await new Promise<void>((resolve) => {
      cell.clock.setTimer(resolve, CALL_TIMEOUT_MILLISECONDS);
    });
    return Err({ kind: 'lost', reason: 'timeout' });
  },
  refuse: () => async (_, body) =>
    Ok({
      workerMilliseconds: 0,
      results: body.tasks.map(({ taskId, attempt }) => ({
        taskId,
        attempt,
        outcome: 'refused' as const,
        reason: 'full',
      })),
    }),
};

Object.entries(START_FAULTS).forEach(([name, createFaultyStart]) => {
  test(`tasks start elsewhere when two of four workers ${name} starts but report as idle`, async (t) => {
    const { cell } = await createRunningCell({ workers: WORKERS });
    const startAtFaulty = createFaultyStart(cell);
    const faulty = new Set<TestWorker>();
    let failedStarts = 0;
    cell.workers.forEach((worker) => {
      const { start } = worker.client;
      const startUnlessFaulty: Start = (...call) => {
        if (faulty.size < FAULTY_WORKERS) faulty.add(worker);
        if (!faulty.has(worker)) return start(...call);
        failedStarts += call[1].tasks.length;
        return startAtFaulty(...call);
      };
      Object.assign(worker.client, { start: startUnlessFaulty });
    });
    for (let index = 0; index < TASKS; index += 1) await cell.submit(0, { idempotent: true });
    await cell.advance(START_LIMIT_MILLISECONDS);
    const started = cell.workers.flatMap(({ executions }) => executions).length;
    t.is(started, TASKS, `${failedStarts} failed starts on ${faulty.size} workers`);
  });
});
