// Workers crash and start again as new workers, three of twenty at a time. A lasting job that nobody cancels must be
// restarted each time, and must never be shown as failed.
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { createConfiguration, jobId, listMachines, pause, startCell } from '../lib/cell.mjs';
import { createRecord } from '../lib/record.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const WORKERS = 20;
/** Largest share of the workers that crash at once: 0.15 by `kinds`, 0.14 in the site file. */
const CRASHED_AT_ONCE = 3;
const DOWN_MILLISECONDS = 2_000;
const WAVE_MILLISECONDS = 6_000;
const WAVES = 5;
const JOBS = 6;

const record = createRecord(join(FOLDER, 'record.txt'));
const cell = await startCell({
  record,
  zones: ['one', 'two', 'three'],
  machines: listMachines(WORKERS, 5),
  configuration: createConfiguration({ watch: { 'target-completion-ms': 2_500 } }),
});
const [daemon] = cell.daemons;

/** @returns workers that crash in a wave: the one that runs a task of the first job now, and two others */
function chooseWorkers(wave, taskId) {
  const starts = record.rows.filter(({ event, task }) => event === 'start' && task === taskId);
  const host = cell.endpoints.findIndex(({ id }) => id === starts.at(-1)?.endpoint);
  const others = Array.from(
    { length: CRASHED_AT_ONCE - 1 },
    (_, index) => (host + (index + 1) * (wave + 2)) % WORKERS,
  );
  return [host, ...others].map((index) => cell.endpoints[index]);
}

async function crashWave(wave, taskId) {
  const workers = chooseWorkers(wave, taskId);
  await Promise.all(workers.map((worker) => worker.crash()));
  await pause(DOWN_MILLISECONDS);
  await Promise.all(workers.map((worker) => worker.restart()));
}

async function readStates(ids, failed) {
  for (const id of ids) {
    const { status, body } = await cell.call(daemon, 'GET', `/watch/${id}`);
    if (status === 200 && body.state === 'failed') failed.add(id);
  }
}

async function play() {
  if (!(await cell.startDaemons())) return 2;
  await pause(2_000);
  const ids = [];
  for (let index = 0; index < JOBS; index += 1) {
    const id = jobId(index);
    const { status } = await cell.call(daemon, 'POST', `/watch/${id}`, {
      body: {
        'task-spec': JSON.stringify({ ms: 0 }),
        steps: [
          { count: 8, cpu: 2_000, 'mem-mb': 1_024, 'estimated-ms': 320, 'long-running': true },
        ],
      },
    });
    if (status === 200) ids.push(id);
  }
  if (ids.length === 0) return 2;
  await pause(2_000);
  const failed = new Set();
  for (let wave = 0; wave < WAVES; wave += 1) {
    const startedAt = record.now();
    if (HAS_TROUBLE) await crashWave(wave, `${ids[0]}.0.0.0`);
    await pause(Math.max(0, WAVE_MILLISECONDS - (record.now() - startedAt)));
    await readStates(ids, failed);
  }
  await pause(5_000);
  await readStates(ids, failed);
  const failedEnds = record.rows.filter(({ event, how }) => event === 'end' && how === 'failed');
  const text = `${failed.size} of ${ids.length} lasting jobs are shown as failed; ends failed: ${failedEnds.length}`;
  record.add({ at: 'check', rule: 'LOST', text, jobs: [...failed] });
  process.stdout.write(`${text}\n`);
  return failed.size > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await play();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
}
await cell.stop();
process.exit(code);
