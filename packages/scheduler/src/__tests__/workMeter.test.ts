import { createManualClock } from '@chicorybend/common';
import test from 'ava';

import { createSchedulerMetrics } from '../core/schedulerMetrics.js';
import { createWorkMeter } from '../core/workMeter.js';

test('work within other work counts for its own part only, also if it throws', (t) => {
  const clock = createManualClock();
  let active = 100;
  const meter = createWorkMeter(clock, () => active);
  meter.measure('rounds', () => {
    clock.advance(3);
    t.throws(() =>
      meter.measure('advice', () => {
        clock.advance(4);
        throw new Error('expected');
      }),
    );
    clock.advance(5);
  });
  meter.measure('lists', () => clock.advance(2));
  clock.advance(6);
  active += 14;
  const reading = meter.read();
  t.deepEqual(
    { ...reading, parts: Object.fromEntries(reading.parts) },
    { elapsed: 20, active: 14, parts: { rounds: 8, advice: 4, lists: 2 } },
  );
  t.deepEqual([...meter.read().parts], []);
});

test('the metrics page shows the work of all terms by part', (t) => {
  const metrics = createSchedulerMetrics();
  metrics.addWork({ elapsed: 20, active: 14, parts: new Map([['rounds', 8]]) });
  metrics.addWork({ elapsed: 20, active: 1, parts: new Map([['rounds', 2]]) });
  const page = metrics.expose();
  t.regex(page, /^chicorybend_work_milliseconds_total\{part="rounds"\} 10$/m);
  t.regex(page, /^chicorybend_work_milliseconds_total\{part="starts"\} 0$/m);
  t.regex(page, /^chicorybend_active_milliseconds_total 15$/m);
});
