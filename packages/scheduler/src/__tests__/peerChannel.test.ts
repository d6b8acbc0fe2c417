import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';

import { createSystemClock, sleep } from '@chicorybend/common';
import test from 'ava';

import { listenForPeers, openPeerChannel } from '../core/peerChannel.js';
import type { PeerChannel } from '../core/peerChannel.js';

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

test('connections of silent VMs do not pile up', async (t) => {
  const clock = createSystemClock();
  const reserved = createServer();
  await new Promise<void>((resolve) => {
    reserved.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(reserved.address() as AddressInfo).port}`;
  await new Promise((resolve) => {
    reserved.close(resolve);
  });
  const accepted: PeerChannel[] = [];
  let silent = 0;
  const listener = await listenForPeers(address, {
    clock,
    handlers: { ping: () => Promise.resolve({}) },
    messageIntervalMilliseconds: 50,
    onChannel: (channel) => accepted.push(channel),
    onSilent: () => {
      silent += 1;
    },
  });
  const active = await openPeerChannel(address, {}, clock, 1_000);
  await openPeerChannel(address, {}, clock, 1_000);
  for (let ping = 0; ping < 16; ping += 1) {
    await active!.call('ping', null, 1_000);
    await sleep(clock, 30);
  }
  t.is(silent, 1);
  t.deepEqual(
    accepted.map((channel) => channel.isOpen()),
    [true, false],
  );
  t.true(active!.isOpen());
  listener.close();
});
