import { fileURLToPath, URL } from 'node:url';

import {
  BOUNDS,
  CannotRun,
  createConfiguration,
  createRoute,
  runCase,
  startCell,
} from '../lib-3/cell.mjs';
import { sleep } from '../lib-3/http.mjs';
import { startMinion } from '../lib-3/server.mjs';

const MINIONS = 3;
const CAPACITY = { cpu: 8_000, 'mem-mb': 16_384, gpu: 0 };
const KEY = 'key-1';
const FREEZE_MS = 4_000;
const FIRST_CUT_MS = 2_000;
const CUT_MS = 5_500;
/** The machine that is asked has been without disruption for longer than `contact-ms` before the cut. */
const CALM_MS = BOUNDS['contact-ms'] + 1_000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (context) => {
  const { record, hasTrouble, onEnd } = context;
  const routes = [createRoute('batches')];
  const configuration = createConfiguration(routes);
  const cell = await startCell({ record, configuration, vms: 2 });
  onEnd(() => cell.close());
  for (let index = 0; index < MINIONS; index += 1) {
    const minion = await startMinion({
      id: `i-${index}`,
      store: cell.store,
      service: 'ledger',
      zone: `zone-${'abc'[index]}`,
      labels: ['a', `r${index}`],
      capacity: CAPACITY,
    });
    onEnd(() => minion.close());
  }
  await cell.startVms();
  await sleep(2_000);

  async function awaitOwner(vm) {
    for (let attempt = 0; attempt < 60 && cell.owner() !== vm; attempt += 1) await sleep(100);
    if (cell.owner() !== vm) throw new CannotRun(`${vm.name} does not become the owner`);
  }

  const first = cell.owner();
  if (!first) throw new CannotRun('there is no owner');
  const second = cell.vms.find((vm) => vm !== first);
  // The first owner stands still, and is the owner again after the second has been cut off.
  if (hasTrouble) await cell.freezeVm(first, FREEZE_MS);
  else {
    await sleep(FREEZE_MS);
    record.write(`${second.name} is asked`);
  }
  if (hasTrouble) {
    await awaitOwner(second);
    record.write(`DISRUPTION: ${second.name} is partitioned from the store for ${FIRST_CUT_MS} ms`);
    second.proxy.cut();
    await sleep(FIRST_CUT_MS);
    second.proxy.heal();
    await awaitOwner(first);
  }
  await sleep(CALM_MS);
  if (cell.owner() !== first) throw new CannotRun('the owner has changed');

  if (hasTrouble) {
    record.write(`DISRUPTION: ${first.name} is partitioned from the store for ${CUT_MS} ms`);
    first.proxy.cut();
  }
  const cutAt = Date.now();
  routes.push(createRoute('lots'));
  cell.store.put('op/config', { ...configuration, version: configuration.version + 3, routes });
  const confirmedAt = Date.now();
  record.write('a configuration with the route /lots/ is confirmed');
  let refused = 0;
  while (Date.now() < cutAt + CUT_MS) {
    const isBound = Date.now() - confirmedAt > BOUNDS['config-apply-ms'];
    const answer = await cell.call('GET', '/lots/', { key: KEY, vm: second });
    if (isBound && answer?.status === 404) refused += 1;
    await sleep(100);
  }
  first.proxy.heal();
  record.write(`refused with 404 after config-apply-ms: ${refused}`);
  return refused > 0
    ? `CONFIG: ${second.name}, which is in touch, answered ${refused} requests for /lots/ with 404 later than config-apply-ms`
    : null;
});
