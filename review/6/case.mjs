// All scheduler processes lose power for longer than the leases of what runs, which then has to be started again.
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';

import { pause, runCase, waitFor } from '../lib-2/deployment.mjs';

const KEY = 'key-clerk';
/** As wide as the site's widest steps. */
const TASKS_OF_JOB = 96;
const JOBS = 312;
/** Jobs that are handed in at the same time. */
const JOBS_AT_ONCE = 4;
const TASKS = JOBS * TASKS_OF_JOB;
/** As long as the site's longest entry, `herd_kill` with `power` for 9.5 s. */
const DARK_MS = 9_500;
const WATCH_MS = 45_000;
const SAMPLE_MS = 1_000;
/** A task that lasts is due again this long after its last run, and late after the idle time. */
const RESTART_MS = 6_000;
const IDLE_MS = 3_000;

const jobId = (index) => `a${String(index).padStart(15, '0')}`;
const step = {
  count: TASKS_OF_JOB,
  cpu: 30,
  'mem-mb': 16,
  'estimated-ms': 500,
  'long-running': true,
};

const options = {
  folder: dirname(fileURLToPath(import.meta.url)),
  nodes: 3,
  minions: 32,
  capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 },
  tenants: [
    {
      name: 'clerk',
      'api-keys': [KEY],
      weight: 1,
      'max-count': { cpu: 0, 'mem-mb': 0, gpu: 0 },
    },
  ],
  isRunRecorded: () => false,
};

await runCase(options, async (deployment, isTroubled) => {
  const { submit, running, record, store, runs, powerOff } = deployment;
  const ids = Array.from({ length: JOBS }, (_, index) => jobId(index));
  for (let first = 0; first < JOBS; first += JOBS_AT_ONCE) {
    const group = ids.slice(first, first + JOBS_AT_ONCE);
    const answers = await Promise.all(
      group.map((id) => submit(id, { 'task-spec': 'Infinity', steps: [step] }, KEY)),
    );
    if (answers.some(({ status }) => status !== 200)) {
      throw new Error('a job was not accepted');
    }
    await waitFor(() => running() >= (first + group.length) * TASKS_OF_JOB, 2_000);
  }
  if (!(await waitFor(() => running() === TASKS, 10_000))) {
    throw new Error(`only ${running()} tasks were started before the disruption`);
  }
  record.add(`all ${TASKS} tasks run, term ${await store.read('chicorybend/epoch')}`);
  if (isTroubled) {
    await powerOff(DARK_MS);
    await pause(DARK_MS - 1_000);
  }
  for (let time = 0; time < WATCH_MS; time += SAMPLE_MS) {
    await pause(SAMPLE_MS);
    record.add(
      `${(time + SAMPLE_MS) / 1_000} s after the return: ${running()} tasks run, ` +
        `term ${await store.read('chicorybend/epoch')}`,
    );
  }
  const now = performance.now();
  const lastEnds = new Map();
  runs.forEach(({ task, endedAt }) => {
    lastEnds.set(task, Math.max(lastEnds.get(task) ?? 0, endedAt ?? Infinity));
  });
  const lost = [...lastEnds.values()].filter((endedAt) => now - endedAt > RESTART_MS + IDLE_MS);
  const openUntil = new Map();
  let repeated = 0;
  runs.forEach(({ task, startedAt, endedAt }) => {
    if (startedAt < (openUntil.get(task) ?? 0)) {
      repeated += 1;
    }
    openUntil.set(task, Math.max(openUntil.get(task) ?? 0, endedAt ?? Infinity));
  });
  record.add(`runs that began while another one of their task was going on: ${repeated}`);
  record.add(`without a run for over ${RESTART_MS + IDLE_MS} ms in the end: ${lost.length}`);
  if (lost.length === 0) {
    return null;
  }
  return (
    `LOST: ${lost.length} of ${TASKS} lasting tasks have had no run for over ${RESTART_MS + IDLE_MS} ms, ` +
    `${WATCH_MS} ms after the return of the processes, on sound minions with room for all of them`
  );
});
