import { createManualClock, createSilentLog, Ok } from '@chicorybend/common';
import test from 'ava';

import { createTaskEventReporter } from '../core/taskEventReporter.js';
import type { TaskEvent } from '../index.js';

const LAPSED: TaskEvent = {
  jobPartition: 0,
  workerId: 'worker-0',
  event: { kind: 'lapsed', attempt: { taskId: '0-a/0', attempt: 1 } },
};

async function advance(clock: ReturnType<typeof createManualClock>): Promise<void> {
  for (let step = 0; step < 100; step += 1) {
    clock.advance(50);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

test('a former owner that was paused does not declare leases lapsed that its successor renews', async (t) => {
  const clock = createManualClock();
  let mayAct = false;
  let calls = 0;
  let confirmed = 0;
  const reporter = createTaskEventReporter({
    lease: {
      partition: 0,
      epoch: 1,
      journal: { append: async () => Ok(undefined) },
      mayAct: () => mayAct,
    },
    clock,
    random: () => 0,
    callPartition: async () => {
      calls += 1;
      return Ok({} as never);
    },
    log: createSilentLog(),
  });
  reporter.report(LAPSED, () => {
    confirmed += 1;
  });
  await advance(clock);
  t.is(calls, 0);
  mayAct = true;
  await advance(clock);
  t.is(calls, 1);
  t.is(confirmed, 1);
  t.is(reporter.unconfirmedCount(), 0);
});
