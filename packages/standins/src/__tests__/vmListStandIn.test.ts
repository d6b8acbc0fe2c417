import test from 'ava';
import { request } from 'undici';

import type { VmListResponse, VmRecord } from '@chicorybend/common';

import { startVmListStandIn } from '../index.js';

const VM: VmRecord = {
  id: 'endpoint-1',
  role: 'endpoint',
  state: 'live',
  address: 'http://127.0.0.1:1',
  dataCentre: 'dc1',
  rack: 'rack1',
  slots: 8,
  connections: 64,
};

async function readVmList(address: string): Promise<VmListResponse> {
  const response = await request(`${address}/v1/vms`);
  return (await response.body.json()) as VmListResponse;
}

test('changes appear after the lag and in order', async (t) => {
  const list = await startVmListStandIn({ vms: [VM], lagMilliseconds: 150 });
  list.setState(VM.id, 'leaving');
  t.is((await readVmList(list.address)).vms[0]?.state, 'live');
  while ((await readVmList(list.address)).vms[0]?.state === 'live') {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  list.faults.lagMilliseconds = 0;
  list.remove(VM.id);
  t.deepEqual((await readVmList(list.address)).vms, []);
  await list.close();
});

test('a list that is down breaks the connection', async (t) => {
  const list = await startVmListStandIn({ vms: [VM] });
  list.faults.isDown = true;
  await t.throwsAsync(readVmList(list.address));
  await list.close();
});
