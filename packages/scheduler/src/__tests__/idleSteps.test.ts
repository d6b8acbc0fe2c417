import { createManualClock, createSilentLog } from '@chicorybend/common';
import test from 'ava';

import { createIdleSteps } from '../core/idleSteps.js';
import type { StepRecord } from '../types/jobRecord.js';

test('a step is logged as idle after 2 s in which nothing of its job has run', (t) => {
  const clock = createManualClock();
  const lines: unknown[] = [];
  const log = createSilentLog();
  log.attachTransport((line) => lines.push(line[1]));
  const task = { phase: 'pending' };
  const step = { stepId: 'a.0.0', isReleased: true, tasks: [task] };
  const other = { tasks: [{ phase: 'running' }] };
  const occurrence = { steps: [step, other] };
  const job = { phase: 'open', occurrences: new Map([[0, occurrence]]) };
  Object.assign(step, { job });
  const idleSteps = createIdleSteps({ clock, log }, { describeStep: () => null });
  const record = () => idleSteps.record(step as unknown as StepRecord, 'advice');
  record();
  clock.advance(2_100);
  idleSteps.logLongest();
  t.deepEqual(lines, []);
  other.tasks = [];
  record();
  clock.advance(2_100);
  idleSteps.logLongest();
  t.deepEqual(lines, [{ step: 'a.0.0', waited: 2_100, reason: 'advice', advice: null, others: 0 }]);
  task.phase = 'done';
  idleSteps.logLongest();
  t.is(lines.length, 1);
});
