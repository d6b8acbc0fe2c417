import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';

import { createSystemClock } from '@chicorybend/common';
import test from 'ava';

import { openPeerChannel } from '../core/peerChannel.js';

test('a closed channel reports that it is not open at once, not only when its socket has closed', async (t) => {
  const silent = createServer((socket) => socket.on('error', () => {}));
  await new Promise<void>((resolve) => {
    silent.listen(0, '127.0.0.1', resolve);
  });
  const { port } = silent.address() as AddressInfo;
  const clock = createSystemClock();
  const channel = await openPeerChannel(`127.0.0.1:${port}`, {}, clock, 1_000);
  t.truthy(channel);
  t.deepEqual(await channel!.call('ping', null, 50), { kind: 'lost', reason: 'no answer in time' });
  channel!.close();
  t.false(channel!.isOpen());
  t.is((await channel!.call('ping', null, 50)).kind, 'lost');
  await channel!.closed;
  await setImmediate();
  silent.close();
});

test('an owner record with an address that does not exist leads to no connection and no exception', async (t) => {
  for (const address of ['127.0.0.1:65536', '127.0.0.1:x', '127.0.0.1', '']) {
    t.is(await openPeerChannel(address, {}, createSystemClock(), 200), null, address);
  }
});
