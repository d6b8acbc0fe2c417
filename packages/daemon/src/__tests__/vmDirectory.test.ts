import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createLocalCounters, createSystemClock } from '@chicorybend/common';
import type { VmRecord } from '@chicorybend/common';
import { startVmListStandIn } from '@chicorybend/standins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { createVmDirectory } from '../core/vmDirectory.js';
import { waitUntil } from './interactiveStubs.js';

const VM: VmRecord = {
  id: 'worker-1',
  role: 'worker',
  state: 'live',
  address: 'http://127.0.0.1:1',
  dataCentre: 'one',
  rack: 'rack-1',
};

async function startDirectory(t: ExecutionContext, address: string) {
  const counters = createLocalCounters();
  const clock = createSystemClock();
  const directory = createVmDirectory({ address, selfId: 'entry-1', clock, counters });
  await directory.start();
  t.teardown(() => directory.stop());
  return { directory, counters };
}

test('a change of the list is reported once, after readings without a change', async (t) => {
  const list = await startVmListStandIn({ vms: [VM] });
  t.teardown(() => list.close());
  const { directory } = await startDirectory(t, list.address);
  let changes = 0;
  directory.onChange(() => {
    changes += 1;
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 1_500);
  });
  t.is(changes, 0);
  list.setState(VM.id, 'leaving');
  await waitUntil(() => directory.workers()[0]?.state === 'leaving');
  t.is(changes, 1);
});

// Guards against reading the whole list each time, and against keeping the entity tag of a truncated answer, which
// would hide the list until its next change.
test('an unchanged list is requested with its entity tag, and a truncated one is requested again in full', async (t) => {
  const tags: (string | undefined)[] = [];
  const bodies = ['{"vms":[', JSON.stringify({ vms: [VM] })];
  const server = createServer((request, response) => {
    const tag = request.headers['if-none-match'];
    tags.push(tag);
    response.setHeader('etag', '"1"');
    if (tag === '"1"') response.writeHead(304).end();
    else response.end(bodies.shift());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const { directory, counters } = await startDirectory(t, `http://127.0.0.1:${port}`);
  await waitUntil(() => tags.length >= 3);
  t.deepEqual(tags.slice(0, 3), [undefined, undefined, '"1"']);
  t.is(directory.workers().length, 1);
  t.is(counters.read('vm-list.unavailable'), 1);
});
