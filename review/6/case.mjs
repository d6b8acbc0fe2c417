// A timed job whose start lies in the past, so that many of its occurrences are due at once.
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

import { pause, runCase, waitFor } from '../lib-2/deployment.mjs';

const KEY = 'key-clerk';
const OTHER_KEY = 'key-shop';
const BEFORE = 'a000000000000001';
const TIMED = 'b000000000000002';
const LATER = 'c000000000000003';
/** As often as the site's timed jobs are due. */
const INTERVAL_MS = 4_500;
const DAY_MS = 86_400_000;
/** How long ago the first occurrence was due. */
const PAST_MS = 7 * DAY_MS;
const SHORT_PAST_MS = 10 * INTERVAL_MS;
const REPETITIONS = (2 * PAST_MS) / INTERVAL_MS;

const step = (count, cpu, after = []) => ({ count, cpu, 'mem-mb': 16, 'estimated-ms': 200, after });

/** Whether the case is played with its disruption. */
const isTroubled = process.env.TROUBLE !== '0';

const options = {
  folder: dirname(fileURLToPath(import.meta.url)),
  nodes: 3,
  minions: 8,
  capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 },
  tenants: [
    {
      name: 'clerk',
      'api-keys': [KEY],
      weight: 1,
      'max-count': { cpu: 4_000, 'mem-mb': 0, gpu: 0 },
    },
    {
      name: 'shop',
      'api-keys': [OTHER_KEY],
      weight: 1,
      'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
    },
  ],
  isRunRecorded: (task) => !task.startsWith(TIMED),
};

await runCase(options, async (deployment) => {
  const { submit, runsOf, send, record, exits } = deployment;
  const stateOf = async (id, key) => (await send(0, 'GET', id, undefined, key)).body.state;
  const chain = { 'task-spec': '3000', steps: [step(2, 1_000), step(2, 1_000, [0])] };
  if ((await submit(BEFORE, chain, OTHER_KEY)).status !== 200) {
    throw new Error('the first job was not accepted');
  }
  await waitFor(() => runsOf(BEFORE).length === 2, 5_000);
  const startsAt = Date.now() - (isTroubled ? PAST_MS : SHORT_PAST_MS);
  const timed = {
    'task-spec': '200',
    steps: [step(1, 500)],
    'start-at-ms': startsAt,
    'interval-ms': INTERVAL_MS,
    repetitions: REPETITIONS,
  };
  const answer = await submit(TIMED, timed, KEY, 1);
  await pause(2_000);
  const later = await submit(LATER, { 'task-spec': '500', steps: [step(1, 1_000)] }, OTHER_KEY, 6);
  const isBeforeDone = await waitFor(
    async () => (await stateOf(BEFORE, OTHER_KEY)) === 'completed',
    20_000,
  );
  const isLaterDone = await waitFor(
    async () => (await stateOf(LATER, OTHER_KEY)) === 'completed',
    5_000,
  );
  const ended = exits.map(({ name, signal, code }) => `${name} ${signal ?? code}`).join(', ');
  record.add(`processes that ended by themselves: ${exits.length} (${ended})`);
  if (isBeforeDone && isLaterDone && exits.length === 0) return null;
  return (
    `Fault: processes ended by themselves ${exits.length} times; LOST: the timed job was answered ${answer.status} ` +
    `and had ${runsOf(TIMED).length} starts, the job accepted before it ${isBeforeDone ? 'was' : 'was not'} completed, ` +
    `a later one was answered ${later.status} and ${isLaterDone ? 'was' : 'was not'} completed`
  );
});
