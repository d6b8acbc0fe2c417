// A worker crashes behind a short cut of its link and starts again under its id. Work that arrives right after the cut
// must not run twice.
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import {
  createConfiguration,
  jobId,
  listMachines,
  pause,
  startCell,
  waitFor,
} from '../lib/cell.mjs';
import { createRecord } from '../lib/record.mjs';
import { findTwice } from '../lib/rules.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const EPISODES = 10;
/** Jobs that arrive right after each cut. */
const JOBS = 10;
const CUT_MILLISECONDS = 700;
const EPISODE_MILLISECONDS = 5_000;

const record = createRecord(join(FOLDER, 'record.txt'));
const cell = await startCell({
  record,
  zones: ['one', 'two', 'three'],
  machines: listMachines(10, 5),
  configuration: createConfiguration({ log: {} }),
});

async function submit(id, daemon, accepted) {
  const { status } = await cell.call(daemon, 'POST', `/log/${id}`, {
    body: {
      'task-spec': JSON.stringify({ ms: 640 }),
      steps: [{ count: 6, cpu: 2_500, 'mem-mb': 1_024, 'estimated-ms': 640 }],
    },
  });
  if (status === 200) accepted.push(id);
}

async function play() {
  if (!(await cell.startDaemons())) return 2;
  await pause(3_000);
  const jobs = [];
  for (let episode = 0; episode < EPISODES; episode += 1) {
    const startedAt = record.now();
    const machine = cell.endpoints[episode % cell.endpoints.length];
    if (HAS_TROUBLE) {
      machine.cut();
      await machine.crash();
      await machine.restart();
      await pause(Math.max(0, CUT_MILLISECONDS - (record.now() - startedAt)));
      machine.heal();
    } else await pause(CUT_MILLISECONDS);
    const ids = Array.from({ length: JOBS }, (_, index) => jobId(episode * JOBS + index));
    await Promise.all(ids.map((id, index) => submit(id, cell.daemons[index % 3], jobs)));
    await pause(Math.max(0, EPISODE_MILLISECONDS - (record.now() - startedAt)));
  }
  if (jobs.length === 0) return 2;
  const states = new Map();
  await waitFor(
    async () => {
      for (const id of jobs) {
        const { body } = await cell.call(cell.daemons[0], 'GET', `/log/${id}`);
        states.set(id, body?.state);
      }
      return [...states.values()].every((state) => state === 'completed');
    },
    10_000,
    1_000,
  );
  const breaks = findTwice(record.rows);
  breaks.forEach((text) => record.add({ at: 'check', rule: 'TWICE', text }));
  process.stdout.write(`${breaks.length} breaks of TWICE\n${breaks.slice(0, 5).join('\n')}\n`);
  return breaks.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await play();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
}
await cell.stop();
process.exit(code);
