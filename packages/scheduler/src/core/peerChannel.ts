import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import { TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock } from '@chicorybend/common';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';

/** Maximum length of a message, in characters; a longer one closes the connection. */
const MAXIMUM_MESSAGE_LENGTH = 4 * 1024 * 1024;

/** A connection of a peer is closed after this many checks in a row between which nothing was received. */
const MAXIMUM_SILENT_CHECKS = 5;

/** Methods that a VM offers to its peers. */
export type PeerHandlers = Readonly<Record<string, (parameters: unknown) => Promise<unknown>>>;

/** Outcome of a call to a peer. `lost`: no answer; the peer may have executed the call. */
export type PeerOutcome =
  | { readonly kind: 'answered'; readonly result: unknown }
  | { readonly kind: 'lost'; readonly reason: string };

/** Bidirectional JSON-RPC connection between two VMs. */
export interface PeerChannel {
  call(method: string, parameters: unknown, timeoutMilliseconds: number): Promise<PeerOutcome>;
  /** `<address>:<port>` of the other end of the connection. */
  readonly remoteAddress: string;
  /** @returns number of messages received so far */
  messagesReceived(): number;
  /** Resolves when the connection has ended. */
  readonly closed: Promise<void>;
  isOpen(): boolean;
  close(): void;
}

function createChannel(socket: Socket, handlers: PeerHandlers, clock: Clock): PeerChannel {
  const server = new JSONRPCServer({ errorListener: () => {} });
  Object.entries(handlers).forEach(([method, handler]) => server.addMethod(method, handler));
  const endpoint = new JSONRPCServerAndClient(
    server,
    new JSONRPCClient((message: unknown) => {
      if (socket.destroyed) return Promise.reject(new Error('the connection has ended'));
      socket.write(`${JSON.stringify(message)}\n`);
      return Promise.resolve();
    }),
    { errorListener: () => {} },
  );
  const remoteAddress = `${socket.remoteAddress}:${socket.remotePort}`;
  let buffered = '';
  let messagesReceived = 0;
  let isOpen = true;
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => {
      isOpen = false;
      endpoint.rejectAllPendingRequests('the connection has ended');
      resolve();
    });
  });

  function receive(line: string): void {
    messagesReceived += 1;
    try {
      void endpoint.receiveAndSend(JSON.parse(line)).catch(() => socket.destroy());
    } catch {
      socket.destroy();
    }
  }

  socket.setNoDelay(true);
  socket.setEncoding('utf8');
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk: string) => {
    const lines = (buffered + chunk).split('\n');
    buffered = lines.pop() ?? '';
    lines.forEach(receive);
    if (buffered.length > MAXIMUM_MESSAGE_LENGTH) socket.destroy();
  });

  return {
    remoteAddress,
    messagesReceived: () => messagesReceived,
    closed,
    isOpen: () => isOpen,
    async call(method, parameters, timeoutMilliseconds) {
      try {
        const request = Promise.resolve(endpoint.request(method, parameters));
        const result: unknown = await withTimeout(clock, request, timeoutMilliseconds);
        if (result === TIMED_OUT) return { kind: 'lost', reason: 'no answer in time' };
        return { kind: 'answered', result };
      } catch (error) {
        return { kind: 'lost', reason: error instanceof Error ? error.message : String(error) };
      }
    },
    close() {
      isOpen = false;
      socket.destroy();
    },
  };
}

/** @returns host and port of `<address>:<port>` */
export function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** @returns socket that is being connected; null if the address is not valid, which `connect` reports by throwing */
function startConnecting(address: string): Socket | null {
  try {
    return connect(splitAddress(address));
  } catch {
    return null;
  }
}

/**
 * Connects to a peer.
 *
 * @param address `<address>:<port>` of the peer
 * @param handlers methods offered to the peer
 * @param timeoutMilliseconds timeout of the connection attempt, in milliseconds
 * @returns channel; null if no connection was established in time
 */
export async function openPeerChannel(
  address: string,
  handlers: PeerHandlers,
  clock: Clock,
  timeoutMilliseconds: number,
): Promise<PeerChannel | null> {
  const socket = startConnecting(address);
  if (!socket) return null;
  const connected = new Promise<boolean>((resolve) => {
    socket.once('connect', () => resolve(true));
    socket.once('error', () => resolve(false));
  });
  const outcome = await withTimeout(clock, connected, timeoutMilliseconds);
  if (outcome === true) return createChannel(socket, handlers, clock);
  socket.on('error', () => {});
  socket.destroy();
  return null;
}

/** Listener for connections of peers. */
export interface PeerListener {
  close(): void;
}

export interface PeerListenerOptions {
  readonly clock: Clock;
  /** Methods offered to each peer. */
  readonly handlers: PeerHandlers;
  /** Interval at which each peer sends a message at least, in milliseconds. */
  readonly messageIntervalMilliseconds: number;
  /** Called for each connection. */
  onChannel(channel: PeerChannel): void;
  /** Called before a connection is closed because its peer has been silent for several intervals. */
  onSilent(channel: PeerChannel): void;
}

/**
 * Closes a connection when its peer falls silent; a peer that has lost its power does not end it. Checks are counted
 * instead of the time, so that a process that was suspended reads what has arrived before it judges.
 */
function closeWhenSilent(
  channel: PeerChannel,
  { clock, messageIntervalMilliseconds, onSilent }: PeerListenerOptions,
): void {
  let received = 0;
  let silentChecks = 0;
  function check(): void {
    if (!channel.isOpen()) return;
    silentChecks = channel.messagesReceived() === received ? silentChecks + 1 : 0;
    received = channel.messagesReceived();
    if (silentChecks >= MAXIMUM_SILENT_CHECKS) {
      onSilent(channel);
      channel.close();
    } else clock.setTimer(check, messageIntervalMilliseconds);
  }
  clock.setTimer(check, messageIntervalMilliseconds);
}

/**
 * Listens for peers.
 *
 * @param address `<address>:<port>` to listen on
 * @returns listener, once it listens
 * @throws if the address cannot be bound
 */
export async function listenForPeers(
  address: string,
  options: PeerListenerOptions,
): Promise<PeerListener> {
  const channels = new Set<PeerChannel>();
  const server: Server = createServer((socket) => {
    const channel = createChannel(socket, options.handlers, options.clock);
    channels.add(channel);
    void channel.closed.then(() => channels.delete(channel));
    options.onChannel(channel);
    closeWhenSilent(channel, options);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(splitAddress(address), resolve);
  });
  return {
    close() {
      server.close();
      channels.forEach((channel) => channel.close());
    },
  };
}
