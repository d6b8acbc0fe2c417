import { fileURLToPath, URL } from 'node:url';

import { BOUNDS, createConfiguration, createRoute, runCase, startCell } from '../lib-3/cell.mjs';
import { sleep } from '../lib-3/http.mjs';
import { startMinion } from '../lib-3/server.mjs';

const MINIONS = 8;
const CAPACITY = { cpu: 8_000, 'mem-mb': 16_384, gpu: 0 };
const WATCH = '/watches/00000000000000a1';
const BATCH = '/batches/00000000000000b1';
const KEY = 'key-1';
/** The rule allows this long without a run although there is room. */
const IDLE_MS = 3_000;
/** How long the job is watched after the end of the traffic. */
const OBSERVED_MS = 45_000;

function isOf(path, { task }) {
  return task.startsWith(path.split('/').at(-1));
}

/** @returns whether a minion has twice the room that a task of the batch takes */
function hasRoomTwice(minion) {
  if (!minion.isUp()) return false;
  const used = minion.running().filter(({ spec }) => !spec.fills);
  const cpu = used.reduce((sum, { spec }) => sum + spec.cpu, 0);
  const memory = minion.running().reduce((sum, { spec }) => sum + spec.memMb, 0);
  return cpu + 2_000 <= CAPACITY.cpu && memory + 2 * 512 <= CAPACITY['mem-mb'];
}

function usedShare(minions) {
  const up = minions.filter((minion) => minion.isUp());
  const used = up
    .flatMap((minion) => minion.running())
    .filter(({ spec }) => !spec.fills)
    .reduce((sum, { spec }) => sum + spec.cpu, 0);
  return used / (up.length * CAPACITY.cpu);
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (context) => {
  const { record, hasTrouble, onEnd } = context;
  const configuration = createConfiguration([
    createRoute('watches', { priority: 1 }),
    createRoute('batches'),
  ]);
  const cell = await startCell({ record, configuration });
  onEnd(() => cell.close());
  const minions = [];
  for (let index = 0; index < MINIONS; index += 1) {
    const minion = await startMinion({
      id: `i-${index}`,
      store: cell.store,
      service: 'ledger',
      zone: `zone-${'abc'[index % 3]}`,
      labels: ['a', `r${Math.floor(index / 4)}`],
      capacity: CAPACITY,
      onRun({ task, run, how }, { id }) {
        record.write(`run ${task} ${run} at ${id()}: ${how ?? 'starts'}`);
      },
    });
    onEnd(() => minion.close());
    minions.push(minion);
  }
  await cell.startVms();
  await sleep(2_000);

  const watch = { cpu: 1_000, memMb: 1_024, tailMs: 20 };
  await cell.submit(
    WATCH,
    {
      'task-spec': JSON.stringify(watch),
      steps: [
        {
          count: MINIONS - 1,
          cpu: watch.cpu,
          'mem-mb': watch.memMb,
          'long-running': true,
          'max-per-server': 1,
          image: 'watch',
          'target-ms': 100,
          'may-miss': 1,
        },
      ],
    },
    KEY,
  );
  await sleep(3_000);
  const batch = { cpu: 1_000, memMb: 512, runMs: 8_000, fills: true };
  await cell.submit(
    BATCH,
    {
      'task-spec': JSON.stringify(batch),
      steps: [
        {
          count: 1,
          cpu: batch.cpu,
          'mem-mb': batch.memMb,
          'estimated-ms': 8_000,
          image: 'batch',
          fills: true,
        },
      ],
    },
    KEY,
  );
  await sleep(3_000);
  if (hasTrouble) {
    const host = minions.find((minion) => minion.running().some((run) => isOf(BATCH, run)));
    record.write(`DISRUPTION: minion ${host?.id()} is lost for good`);
    host?.crash();
  }
  const trafficEndedAt = Date.now();
  const checkedFrom = trafficEndedAt + BOUNDS.finish_s * 1_000;
  let idleSince = null;
  let longestIdle = 0;
  let state = '';
  let askedAt = 0;
  while (Date.now() < trafficEndedAt + OBSERVED_MS) {
    const now = Date.now();
    if (now - askedAt > 2_000) {
      state = await cell.stateOf(BATCH, KEY);
      askedAt = now;
    }
    if (state === 'completed') break;
    const isRunning = minions.some((minion) => minion.running().some((run) => isOf(BATCH, run)));
    const isOwed = minions.filter(hasRoomTwice).length > 0 && usedShare(minions) < 0.5;
    if (now < checkedFrom || isRunning || !isOwed) idleSince = null;
    else {
      idleSince ??= now;
      longestIdle = Math.max(longestIdle, now - idleSince);
    }
    await sleep(100);
  }
  const roomy = minions.filter(hasRoomTwice).length;
  record.write(
    `state ${state}; ${roomy} minions have room for its task twice over, ` +
      `${Math.round(100 * usedShare(minions))}% of the processors are in use; longest time without a run ` +
      `after finish_s: ${longestIdle} ms`,
  );
  return longestIdle >= IDLE_MS
    ? `LOST: ${BATCH} is ${state} and had nothing running for ${longestIdle} ms after finish_s`
    : null;
});
