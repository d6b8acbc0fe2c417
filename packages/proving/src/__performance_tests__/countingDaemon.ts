/**
 * Runs the daemon and counts the bytes on its sockets. On SIGUSR2 it writes the totals so far to the traffic file of
 * this process, see {@link trafficFilePath}.
 */
import { subscribe } from 'node:diagnostics_channel';
import { renameSync, writeFileSync } from 'node:fs';
import type { Socket } from 'node:net';

import { DAEMON_PROGRAM } from '../core/daemonProcess.js';
import { trafficFilePath } from './trafficFile.js';
import type { TrafficCount } from './trafficFile.js';

const CALLERS_REMOTE = 'callers';

const openSockets = new Map<Socket, string>();
const totals = new Map<string, TrafficCount>();

function addBytes(remote: string, { bytesRead, bytesWritten }: Socket): void {
  const { sent, received } = totals.get(remote) ?? { sent: 0, received: 0 };
  totals.set(remote, { sent: sent + bytesWritten, received: received + bytesRead });
}

function track(socket: Socket, remote: string): void {
  openSockets.set(socket, remote);
  socket.once('close', () => {
    openSockets.delete(socket);
    addBytes(remote, socket);
  });
}

function trackOutgoing({ socket }: { socket: Socket }): void {
  socket.once('connect', () => track(socket, `${socket.remoteAddress}:${socket.remotePort}`));
}

function writeCounts(): void {
  const closed = new Map(totals);
  openSockets.forEach((remote, socket) => addBytes(remote, socket));
  const file = trafficFilePath(process.pid);
  writeFileSync(`${file}.new`, JSON.stringify(Object.fromEntries(totals)));
  renameSync(`${file}.new`, file);
  totals.clear();
  closed.forEach((count, remote) => totals.set(remote, count));
}

subscribe('net.client.socket', (message) => trackOutgoing(message as { socket: Socket }));
subscribe('net.server.socket', (message) =>
  track((message as { socket: Socket }).socket, CALLERS_REMOTE),
);
process.on('SIGUSR2', writeCounts);

await import(DAEMON_PROGRAM);
