import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

import { createConfiguration, createRoute, runCase, startCell } from '../lib-3/cell.mjs';
import { sleep } from '../lib-3/http.mjs';
import { startMinion } from '../lib-3/server.mjs';

const MINIONS = 4;
const CAPACITY = { cpu: 8_000, 'mem-mb': 16_384, gpu: 0 };
const ID = '00000000000000e1';
const JOB = `/batches/${ID}`;
const KEY = 'key-1';
const MAXIMUM_ATTEMPTS = 2;
/** The first run that executes fails by its own fault after this time; all others succeed. */
const FAIL_MS = 1_000;
const RUN_MS = 3_000;
/** A process that was killed is back after this time. */
const DOWN_MS = 1_000;
const SECOND_KILL_MS = 500;
const OBSERVED_MS = 25_000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (context) => {
  const { record, hasTrouble, onEnd } = context;
  let cell = null;
  let kills = 0;

  function killOwner() {
    const owner = cell.owner();
    kills += 1;
    if (owner) cell.killVm(owner, DOWN_MS);
  }

  /** The first owner is killed when the store has executed the write that records the placement of the task. */
  function onWritten(keys) {
    const isState = keys.some((key) => key.includes(ID) && key.endsWith('state'));
    if (hasTrouble && kills === 0 && isState) killOwner();
  }

  cell = await startCell({
    record,
    configuration: createConfiguration([
      createRoute('batches', { 'max-attempts': MAXIMUM_ATTEMPTS }),
    ]),
    onWritten,
  });
  onEnd(() => cell.close());
  const runs = [];
  for (let index = 0; index < MINIONS; index += 1) {
    const minion = await startMinion({
      id: `i-${index}`,
      store: cell.store,
      service: 'ledger',
      zone: `zone-${'abc'[index % 3]}`,
      labels: ['a', `r${Math.floor(index / 2)}`],
      capacity: CAPACITY,
      onRun(run, { id, fail }) {
        record.write(`run ${run.task} ${run.run} at ${id()}: ${run.how ?? 'starts'}`);
        if (run.how) return;
        runs.push(run);
        if (runs.length > 1) return;
        setTimeout(() => {
          fail(run);
          // The state of the job is stored by then, and the task waits to be started again.
          if (hasTrouble) setTimeout(killOwner, SECOND_KILL_MS);
        }, FAIL_MS);
      },
    });
    onEnd(() => minion.close());
  }
  await cell.startVms();
  await sleep(2_000);

  await cell.submit(
    JOB,
    {
      'task-spec': JSON.stringify({ cpu: 1_000, runMs: RUN_MS }),
      steps: [{ count: 1, cpu: 1_000, 'mem-mb': 512, 'estimated-ms': RUN_MS }],
    },
    KEY,
  );
  const observedFrom = Date.now();
  let state = '';
  while (Date.now() < observedFrom + OBSERVED_MS) {
    state = await cell.stateOf(JOB, KEY);
    if (state === 'completed' || state === 'failed') break;
    await sleep(1_000);
  }
  const failed = runs.filter(({ how }) => how === 'failed').length;
  record.write(
    `state ${state}; of ${runs.length} runs ${failed} ended failed; max-attempts is ${MAXIMUM_ATTEMPTS}; kills ${kills}`,
  );
  return state === 'failed' && failed < MAXIMUM_ATTEMPTS
    ? `LOST: ${JOB} is shown as failed after ${failed} failed run, with max-attempts ${MAXIMUM_ATTEMPTS}`
    : null;
});
