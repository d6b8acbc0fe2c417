import { fileURLToPath, URL } from 'node:url';

import { CannotRun, createConfiguration, createRoute, runCase, startCell } from '../lib-3/cell.mjs';
import { sleep } from '../lib-3/http.mjs';
import { startMinion } from '../lib-3/server.mjs';

const MINIONS = 4;
const CAPACITY = { cpu: 8_000, 'mem-mb': 16_384, gpu: 0 };
const ID = '00000000000000d1';
const JOB = `/batches/${ID}`;
const KEY = 'key-1';
/** A process that was killed is back after this time. */
const DOWN_MS = 1_000;
const OBSERVED_MS = 10_000;
const REJECTIONS = [400, 401, 403, 404, 429, 503];

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (context) => {
  const { record, hasTrouble, onEnd } = context;
  const configuration = createConfiguration([createRoute('batches')]);
  let cell = null;

  /** The owner is killed when the store has executed the write that accepts the job, and its key is taken away. */
  function strike(keys) {
    const isAccepted = keys.some((key) => key.includes(ID) && key.endsWith('specification'));
    if (!hasTrouble || !isAccepted) return;
    cell.killVm(cell.owner(), DOWN_MS);
    record.write(`DISRUPTION: a configuration takes ${KEY} away`);
    const [tenant] = configuration.tenants;
    cell.store.put('op/config', {
      ...configuration,
      version: configuration.version + 3,
      tenants: [{ ...tenant, 'api-keys': ['key-2'] }],
    });
  }

  cell = await startCell({ record, configuration, onWritten: strike });
  onEnd(() => cell.close());
  const starts = [];
  for (let index = 0; index < MINIONS; index += 1) {
    const minion = await startMinion({
      id: `i-${index}`,
      store: cell.store,
      service: 'ledger',
      zone: `zone-${'abc'[index % 3]}`,
      labels: ['a', `r${Math.floor(index / 2)}`],
      capacity: CAPACITY,
      onRun({ task, run, how }, { id }) {
        record.write(`run ${task} ${run} at ${id()}: ${how ?? 'starts'}`);
        if (!how) starts.push(task);
      },
    });
    onEnd(() => minion.close());
  }
  await cell.startVms();
  await sleep(2_000);

  const owner = cell.owner();
  const standby = cell.vms.find((vm) => vm !== owner);
  if (!owner) throw new CannotRun('there is no owner');
  record.write(`${owner.name} owns the jobs; the client calls ${standby.name}`);
  const job = {
    'task-spec': JSON.stringify({ cpu: 1_000, runMs: 1_000 }),
    steps: [{ count: 2, cpu: 1_000, 'mem-mb': 512, 'estimated-ms': 1_000 }],
  };
  const answers = [];
  // A client asks again after no response, 502 or 504, and not after a rejection.
  for (let attempt = 0; attempt < 5; attempt += 1) {
    const answer = await cell.call('POST', JOB, { key: KEY, body: job, vm: standby });
    answers.push(answer?.status ?? 0);
    if (answer && ![502, 504].includes(answer.status)) break;
    await sleep(300);
  }
  await sleep(OBSERVED_MS);
  const isRejected = answers.every((status) => REJECTIONS.includes(status));
  record.write(`answers: ${answers.join(', ')}; tasks started: ${starts.length}`);
  return isRejected && starts.length > 0
    ? `REFUSED: ${starts.length} tasks of ${JOB} started, and each attempt to hand it in was rejected (${answers})`
    : null;
});
