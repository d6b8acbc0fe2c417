// Jobs that were done and shown as completed are forgotten after `status_s`. The process that forgets them is killed
// right after one of its writes to the store. None of the jobs may run again.
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
const STATUS_SECONDS = 90;
/** Jobs of one client that come at once, and are forgotten at once. */
const JOBS = 200;
const KILLS = 1;
/** The write after which the process is killed removes at least this many keys: it is in the middle of forgetting. */
const MANY_KEYS = 29;

const record = createRecord(join(FOLDER, 'record.txt'));
let cell = null;
let kills = 0;

/** Kills the process that has just written to the store under a condition, once it forgets jobs. */
function killWriter({ body, answer }) {
  const isForgetting = body.remove.length >= MANY_KEYS && answer.status === 200;
  if (!HAS_TROUBLE || !isForgetting || kills >= KILLS) return false;
  kills += 1;
  const owner = JSON.parse(cell.store.read('chicorybend/owner')).address.split(':')[0];
  const writer = cell.daemons.find(({ front }) => front.startsWith(`${owner}:`));
  record.add({
    at: 'store',
    event: 'the writer is killed',
    node: writer.name,
    removed: body.remove.length,
  });
  void writer.kill();
  return false;
}

cell = await startCell({
  record,
  zones: ['one', 'two', 'three'],
  machines: listMachines(10, 5),
  configuration: createConfiguration({ log: {} }),
  storeOptions: { losesAnswer: killWriter },
  bounds: { status: STATUS_SECONDS },
});

async function submit(id, daemon) {
  const { status } = await cell.call(daemon, 'POST', `/log/${id}`, {
    body: {
      'task-spec': JSON.stringify({ ms: 500 }),
      steps: [{ count: 1, cpu: 500, 'mem-mb': 256, 'estimated-ms': 500 }],
    },
  });
  return status === 200;
}

async function play() {
  if (!(await cell.startDaemons())) return 2;
  await pause(1_500);
  const ids = Array.from({ length: JOBS }, (_, index) => jobId(index));
  const accepted = await Promise.all(ids.map((id, index) => submit(id, cell.daemons[index % 3])));
  if (!accepted.every(Boolean)) return 2;
  const areCompleted = await waitFor(
    async () => {
      const answers = await Promise.all(
        ids.map((id) => cell.call(cell.daemons[0], 'GET', `/log/${id}`)),
      );
      return answers.every(({ body }) => body?.state === 'completed');
    },
    8_000,
    1_000,
  );
  if (!areCompleted) return 2;
  const completedAt = record.now();
  record.add({ at: 'client', event: 'all jobs are shown as completed' });
  await pause(STATUS_SECONDS * 1_000 - 1_000);
  const isForgotten = () => cell.store.keys('chicorybend/job/').length === 0;
  await waitFor(() => (HAS_TROUBLE ? kills > 0 : isForgotten()), 6_000);
  if (HAS_TROUBLE && kills === 0) return 2;
  // The processes that are left take over and carry on.
  await pause(8_000);
  const late = record.rows.filter(({ event, ms }) => event === 'start' && ms > completedAt + 1_000);
  const breaks = [
    ...new Set([
      ...findTwice(record.rows),
      ...late.map(
        ({ task, ms }) => `${ms} ms: ${task} starts after its job was shown as completed`,
      ),
    ]),
  ];
  breaks.forEach((text) => record.add({ at: 'check', rule: 'TWICE', text }));
  process.stdout.write(`${breaks.length} breaks of TWICE\n${breaks.slice(0, 6).join('\n')}\n`);
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
