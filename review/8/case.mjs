// A job that requires a label which minions have: their rack.
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { runCase, waitFor } from '../lib-2/deployment.mjs';

const KEY = 'key-clerk';
const JOB = 'a000000000000001';
/** Labels of each minion here: its kind `a`, and its rack `r-0`. */
const LABEL = process.env.TROUBLE === '0' ? 'a' : 'r-0';

const options = {
  folder: dirname(fileURLToPath(import.meta.url)),
  nodes: 2,
  minions: 4,
  capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 },
  tenants: [
    {
      name: 'clerk',
      'api-keys': [KEY],
      weight: 1,
      'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
    },
  ],
};

await runCase(options, async ({ submit, runsOf, send }) => {
  const step = { count: 2, cpu: 1_000, 'mem-mb': 256, 'estimated-ms': 500, requirements: LABEL };
  const answer = await submit(JOB, { 'task-spec': '500', steps: [step] }, KEY);
  if (answer.status !== 200) {
    throw new Error('the job was not accepted');
  }
  const isDone = async () => (await send(0, 'GET', JOB, undefined, KEY)).body.state === 'completed';
  if (await waitFor(isDone, 30_000)) {
    return null;
  }
  return `LOST: job ${JOB}, which requires the label ${LABEL}, was accepted, and ${runsOf(JOB).length} of its tasks were started in 30 s; four empty minions have this label`;
});
