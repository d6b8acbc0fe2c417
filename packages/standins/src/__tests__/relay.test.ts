import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import test from 'ava';

import { startRelay } from '../index.js';
import type { Relay } from '../index.js';

interface Caller {
  readonly socket: Socket;
  received(): string;
  isClosed(): boolean;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

async function startEchoServer(): Promise<{
  server: Server;
  port: number;
  received: () => string;
}> {
  let received = '';
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      received += bytes.toString();
      socket.write(bytes);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port, received: () => received };
}

async function connectCaller(relay: Relay, localAddress: string): Promise<Caller> {
  let received = '';
  let isClosed = false;
  const socket = connect({ host: relay.host, port: relay.port, localAddress });
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
  });
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  return { socket, received: () => received, isClosed: () => isClosed };
}

test('a reset affects open and new connections until it is removed', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const caller = await connectCaller(relay, '127.0.0.11');
  caller.socket.write('a');
  await waitFor(() => caller.received() === 'a');
  const reason = once(caller.socket, 'error');
  const remove = relay.addFault({}, { kind: 'reset' });
  t.is(((await reason) as NodeJS.ErrnoException[])[0]?.code, 'ECONNRESET');
  const refused = connect({ host: relay.host, port: relay.port });
  refused.on('error', () => {});
  await waitFor(() => refused.closed);
  remove();
  const reconnected = await connectCaller(relay, '127.0.0.11');
  reconnected.socket.write('b');
  await waitFor(() => reconnected.received() === 'b');
  reconnected.socket.destroy();
  await relay.close();
  echo.server.close();
});

test('a cut affects the selected caller only, and new connections work after it is cleared', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const first = await connectCaller(relay, '127.0.0.11');
  const second = await connectCaller(relay, '127.0.0.12');
  first.socket.write('a');
  await waitFor(() => first.received() === 'a');
  relay.addFault({ caller: '127.0.0.11' }, { kind: 'cut' });
  await waitFor(() => first.isClosed());
  const refused = await connectCaller(relay, '127.0.0.11');
  await waitFor(() => refused.isClosed());
  second.socket.write('b');
  await waitFor(() => second.received() === 'b');
  relay.clearFaults({ caller: '127.0.0.11' });
  const reconnected = await connectCaller(relay, '127.0.0.11');
  reconnected.socket.write('c');
  await waitFor(() => reconnected.received() === 'c');
  t.false(second.isClosed());
  await relay.close();
  echo.server.close();
});

test('a silence keeps connections open, and the buffered bytes arrive when it ends', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const caller = await connectCaller(relay, '127.0.0.11');
  relay.addFault({}, { kind: 'silence' });
  caller.socket.write('a');
  await pause(100);
  t.is(echo.received(), '');
  t.false(caller.isClosed());
  relay.clearFaults();
  await waitFor(() => caller.received() === 'a');
  await relay.close();
  echo.server.close();
});

test('a silence in one direction does not affect the other direction', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const caller = await connectCaller(relay, '127.0.0.11');
  relay.addFault({ direction: 'to-caller' }, { kind: 'silence' });
  caller.socket.write('a');
  await waitFor(() => echo.received() === 'a');
  await pause(50);
  t.is(caller.received(), '');
  await relay.close();
  echo.server.close();
});

test('silenced open connections stay silent while new ones work', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const silencedCaller = await connectCaller(relay, '127.0.0.11');
  silencedCaller.socket.write('a');
  await waitFor(() => silencedCaller.received() === 'a');
  relay.silenceOpenConnections();
  silencedCaller.socket.write('b');
  const newCaller = await connectCaller(relay, '127.0.0.11');
  newCaller.socket.write('c');
  await waitFor(() => newCaller.received() === 'c');
  t.is(silencedCaller.received(), 'a');
  t.false(silencedCaller.isClosed());
  await relay.close();
  echo.server.close();
});

test('a delay preserves the byte order and is not shorter than configured', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const caller = await connectCaller(relay, '127.0.0.11');
  relay.addFault({}, { kind: 'delay', delayMilliseconds: 40 });
  const sentAt = performance.now();
  for (const letter of 'abcdef') {
    caller.socket.write(letter);
    await pause(2);
  }
  await waitFor(() => caller.received().length === 6);
  t.is(caller.received(), 'abcdef');
  t.true(performance.now() - sentAt >= 80);
  await relay.close();
  echo.server.close();
});

test('a connection that the caller closes is closed to the target too, so that a dead peer is detected', async (t) => {
  const echo = await startEchoServer();
  const relay = await startRelay({ targetHost: '127.0.0.1', targetPort: echo.port });
  const caller = await connectCaller(relay, '127.0.0.11');
  caller.socket.write('a');
  await waitFor(() => caller.received() === 'a');
  caller.socket.destroy();
  await waitFor(() => relay.openConnections().size === 0);
  t.pass();
  await relay.close();
  echo.server.close();
});
