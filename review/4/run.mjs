// A large gang waits for more room than the lasting tasks leave. Batch jobs of another queue, for which there is room,
// must be started all the same.
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { createConfiguration, jobId, listMachines, pause, startCell } from '../lib/cell.mjs';
import { createRecord } from '../lib/record.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const WORKERS = 10;
const BATCH_JOBS = 6;
/** `finish_s` after the last request the jobs are asked for. */
const FINISH_MILLISECONDS = 14_000;
const IDLE_MILLISECONDS = 3_000;

const record = createRecord(join(FOLDER, 'record.txt'));
const cell = await startCell({
  record,
  zones: ['one', 'two', 'three'],
  machines: listMachines(WORKERS, 5),
  configuration: createConfiguration({
    watch: { priority: 0 },
    rebuild: { priority: 1 },
    batch: { priority: 2 },
  }),
});

async function submit(queue, number, ms, step) {
  const { status } = await cell.call(
    cell.daemons[number % 3],
    'POST',
    `/${queue}/${jobId(number)}`,
    {
      body: { 'task-spec': JSON.stringify({ ms }), steps: [step] },
    },
  );
  return status === 200;
}

/** @returns processors, in thousandths, of the runs that are at work */
function usedProcessors(cpuOf) {
  const ends = new Set(
    record.rows.filter(({ event }) => event === 'end').map(({ task, run }) => `${task} ${run}`),
  );
  return record.rows
    .filter(({ event, task, run }) => event === 'start' && !ends.has(`${task} ${run}`))
    .reduce((sum, { task }) => sum + cpuOf(task), 0);
}

async function play() {
  if (!(await cell.startDaemons())) return 2;
  await pause(2_000);
  // A lasting service: two tasks of 16 cores.
  const isLasting = await submit('watch', 1, 0, {
    count: 2,
    cpu: 16_000,
    'mem-mb': 25_000,
    'estimated-ms': 320,
    'long-running': true,
  });
  await pause(2_000);
  // A gang of 20 tasks of 16 cores: it fits on the ten workers of 32 cores, but not beside the service.
  if (HAS_TROUBLE) {
    const isAccepted = await submit('rebuild', 2, 3_800, {
      count: 20,
      cpu: 16_000,
      'mem-mb': 11_000,
      'estimated-ms': 3_800,
      gang: true,
    });
    if (!isAccepted) return 2;
  }
  await pause(1_000);
  const ids = [];
  for (let index = 0; index < BATCH_JOBS; index += 1) {
    const isAccepted = await submit('batch', 10 + index, 2_000, {
      count: 4,
      cpu: 5_500,
      'mem-mb': 11_000,
      'estimated-ms': 2_000,
    });
    if (isAccepted) ids.push(jobId(10 + index));
    await pause(500);
  }
  if (!isLasting || ids.length < BATCH_JOBS) return 2;
  await pause(FINISH_MILLISECONDS);
  const states = [];
  for (const id of ids) {
    const { status, body } = await cell.call(cell.daemons[0], 'GET', `/batch/${id}`);
    states.push(body?.state ?? status);
  }
  const now = record.now();
  const started = record.rows.filter(({ event }) => event === 'start');
  const stuck = ids.filter(
    (id, index) =>
      states[index] !== 'completed' &&
      !started.some(({ task, ms }) => task.startsWith(id) && ms > now - IDLE_MILLISECONDS - 2_000),
  );
  const used = usedProcessors((task) => (task.startsWith(jobId(1)) ? 16_000 : 5_500));
  const capacity = WORKERS * 32_000;
  const check = { stuck, states, used, capacity };
  record.add({ at: 'check', rule: 'LOST', ...check });
  process.stdout.write(`${JSON.stringify(check)}\n`);
  // The excuses of the rule: there is capacity for a task twice over, and under half of it is in use.
  const isExcused = used >= capacity / 2 || capacity - used < 2 * 5_500;
  return stuck.length > 0 && !isExcused ? 1 : 0;
}

let code = 2;
try {
  code = await play();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
}
await cell.stop();
process.exit(code);
