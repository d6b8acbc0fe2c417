// A job with many tasks, whose state outgrows the largest value of the store.
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { pause, runCase, waitFor } from '../lib-2/deployment.mjs';

const KEY = 'key-clerk';
const OTHER_KEY = 'key-shop';
const CHAIN = 'a000000000000001';
const LARGE = 'b000000000000002';
const LATER = 'c000000000000003';
const TASKS_OF_STEP = process.env.TROUBLE === '0' ? 200 : 10_000;
const STEPS = 3;

const step = (count, cpu, after = []) => ({
  count,
  cpu,
  'mem-mb': 16,
  'estimated-ms': 1_000,
  after,
});

const options = {
  folder: dirname(fileURLToPath(import.meta.url)),
  nodes: 3,
  minions: 32,
  capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 },
  tenants: [
    { name: 'clerk', 'api-keys': [KEY], weight: 1, 'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 } },
    {
      name: 'shop',
      'api-keys': [OTHER_KEY],
      weight: 1,
      'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
    },
  ],
  isRunRecorded: (task) => !task.startsWith(LARGE),
};

await runCase(options, async (deployment) => {
  const { submit, runsOf, send, store, record, exits } = deployment;
  const stateOf = async (id, key) => (await send(0, 'GET', id, undefined, key)).body.state;
  const chain = { 'task-spec': '4000', steps: [step(2, 1_000), step(2, 1_000, [0])] };
  if ((await submit(CHAIN, chain, OTHER_KEY)).status !== 200) {
    throw new Error('the first job was not accepted');
  }
  await waitFor(() => runsOf(CHAIN).length === 2, 5_000);
  const large = {
    'task-spec': '1000',
    steps: Array.from({ length: STEPS }, () => step(TASKS_OF_STEP, 30)),
  };
  if ((await submit(LARGE, large, KEY)).status !== 200) {
    throw new Error('the large job was not accepted');
  }
  await pause(1_000);
  const later = await submit(LATER, { 'task-spec': '500', steps: [step(1, 1_000)] }, OTHER_KEY);
  const isChainDone = await waitFor(
    async () => (await stateOf(CHAIN, OTHER_KEY)) === 'completed',
    25_000,
  );
  const isLaterDone = await waitFor(
    async () => (await stateOf(LATER, OTHER_KEY)) === 'completed',
    5_000,
  );
  const isLargeDone = await waitFor(
    async () => (await stateOf(LARGE, KEY)) === 'completed',
    20_000,
  );
  const counts = await store.counts();
  record.add(
    `writes ${counts.writes}, refused for a value over the limit ${counts.oversizedWrites}, ` +
      `largest value ${counts.largestValue}, starts of the large job ${runsOf(LARGE).length}, ` +
      `processes that ended by themselves ${exits.length}`,
  );
  if (isChainDone && isLaterDone && isLargeDone) return null;
  const count = (id) => runsOf(id).length;
  return (
    `LOST: the job of 2 + 2 tasks that was accepted before the large one had ${count(CHAIN)} starts and ` +
    `${isChainDone ? 'was' : 'was not'} completed, the large one had ${count(LARGE)} of ` +
    `${STEPS * TASKS_OF_STEP} starts, a later one was answered ${later.status} and ${isLaterDone ? 'was' : 'was not'} completed`
  );
});
