// A task as large as its tenant's limit, after two small jobs of that tenant have ended.
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { pause, runCase, waitFor } from '../lib-2/deployment.mjs';

const KEY = 'key-clerk';
const SMALL_A = 'a000000000000001';
const SMALL_B = 'b000000000000002';
const LARGE = 'c000000000000003';
const LIMIT = 4_000;

const step = (count, cpu) => ({ steps: [{ count, cpu, 'mem-mb': 256, 'estimated-ms': 500 }] });

/** Whether the case is played with its disruption. */
const isTroubled = process.env.TROUBLE !== '0';

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
      'max-count': { cpu: LIMIT, 'mem-mb': 0, gpu: 0 },
    },
  ],
};

await runCase(options, async (deployment) => {
  const { submit, runsOf, send } = deployment;
  const isDone = async (id) =>
    (await send(0, 'GET', id, undefined, KEY)).body.state === 'completed';
  if (isTroubled) {
    await submit(SMALL_A, { 'task-spec': '1500', ...step(3, 300) }, KEY);
    await submit(SMALL_B, { 'task-spec': '3000', ...step(3, 600) }, KEY);
    const areDone = await waitFor(async () => (await isDone(SMALL_A)) && isDone(SMALL_B), 15_000);
    if (!areDone) throw new Error('the small jobs did not end');
    await pause(1_000);
  }
  const accepted = await submit(LARGE, { 'task-spec': '1000', ...step(1, LIMIT) }, KEY);
  if (accepted.status !== 200) throw new Error('the large job was not accepted');
  const hasEnded = await waitFor(() => isDone(LARGE), 30_000);
  const starts = runsOf(LARGE).length;
  if (hasEnded) return null;
  return `LOST: job ${LARGE} was accepted, and ${starts} of its tasks were started in 30 s, while nothing of its tenant runs and all minions are empty`;
});
