import { TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock, Counters } from '@chicorybend/common';
import { JSONRPCClient } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { WebSocket } from 'ws';

import type { PeerCallOptions } from '../types/peer.js';

/** Interval of the liveness checks, in milliseconds; a connection without inbound traffic for this long is pinged. */
export const LINK_PING_INTERVAL_MILLISECONDS = 500;
/** A connection without inbound traffic for longer than this is suspect, in milliseconds. */
export const LINK_SUSPECT_AFTER_MILLISECONDS = 1_500;
/** Time for which a suspect connection stays open for late answers, in milliseconds. */
const SUSPECT_CLOSE_DELAY_MILLISECONDS = 5_000;
const HANDSHAKE_TIMEOUT_MILLISECONDS = 1_000;

export interface PeerConnectionOptions {
  /** `<address>:<port>` of the peer. */
  readonly peerAddress: string;
  /** Local IP address to connect from. */
  readonly localAddress: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** Outcome of one exchange on a connection. */
export type ExchangeOutcome =
  | { readonly kind: 'answered'; readonly response: JSONRPCResponse }
  | { readonly kind: 'not-sent'; readonly reason: string }
  | { readonly kind: 'lost'; readonly reason: string };

/** One WebSocket connection that carries calls to a peer. */
export interface PeerConnection {
  /** Resolves when the connection is open or could not be opened. */
  readonly connectionAttempt: Promise<void>;
  /** @returns whether new calls may use the connection: it is open and not suspect */
  isUsable(): boolean;
  /** @returns whether the connection is still being opened */
  isOpening(): boolean;
  /** Sends a call and waits for its answer, at most `deadlineMilliseconds`. */
  exchange(
    method: string,
    params: unknown,
    deadlineMilliseconds: number,
    callOptions: PeerCallOptions,
  ): Promise<ExchangeOutcome>;
  close(): void;
}

let nextCallId = 0;

/**
 * Starts to open a connection to a peer.
 *
 * @returns the connection, which opens in the background
 */
export function openPeerConnection(options: PeerConnectionOptions): PeerConnection {
  const { clock, counters } = options;
  const socket = new WebSocket(`ws://${options.peerAddress}`, {
    headers: { ...options.headers },
    localAddress: options.localAddress,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
    perMessageDeflate: false,
  });
  const client = new JSONRPCClient((payload) => {
    socket.send(JSON.stringify(payload));
  });
  let lastInboundAt = clock.monotonicMilliseconds();
  let isSuspect = false;
  let hasFailed = false;
  let cancelPing = () => {};
  /** Called when the connection becomes suspect, for the calls that wait for an answer. */
  const suspicionListeners = new Set<() => void>();

  function recordInboundTraffic(): void {
    lastInboundAt = clock.monotonicMilliseconds();
  }

  function markSuspect(): void {
    isSuspect = true;
    counters.increment('peer.connections.suspect');
    suspicionListeners.forEach((listener) => listener());
    clock.setTimer(() => socket.terminate(), SUSPECT_CLOSE_DELAY_MILLISECONDS);
  }

  function checkLiveness(): void {
    if (socket.readyState !== WebSocket.OPEN || isSuspect) return;
    if (clock.monotonicMilliseconds() - lastInboundAt > LINK_SUSPECT_AFTER_MILLISECONDS) {
      markSuspect();
      return;
    }
    // The answers to heartbeats count as inbound traffic, so that a ping is rarely needed.
    const isIdle = clock.monotonicMilliseconds() - lastInboundAt > LINK_PING_INTERVAL_MILLISECONDS;
    if (isIdle) socket.ping();
    cancelPing = clock.setTimer(checkLiveness, LINK_PING_INTERVAL_MILLISECONDS);
  }

  const connectionAttempt = new Promise<void>((resolve) => {
    socket.on('open', () => {
      recordInboundTraffic();
      checkLiveness();
      resolve();
    });
    socket.on('close', () => {
      hasFailed = true;
      cancelPing();
      client.rejectAllPendingRequests('connection closed');
      resolve();
    });
    socket.on('error', () => {
      hasFailed = true;
      resolve();
    });
  });
  socket.on('pong', recordInboundTraffic);
  socket.on('message', (data: Buffer) => {
    recordInboundTraffic();
    client.receive(JSON.parse(data.toString()) as JSONRPCResponse);
  });

  function isUsable(): boolean {
    return socket.readyState === WebSocket.OPEN && !isSuspect;
  }

  /** Resolves when the connection becomes suspect and the call is to end then. */
  function awaitSuspicion({ endIfSuspect }: PeerCallOptions) {
    let listener = () => {};
    const suspicion = new Promise<ExchangeOutcome>((resolve) => {
      listener = () => {
        if (endIfSuspect?.()) resolve({ kind: 'lost', reason: 'the connection is suspect' });
      };
    });
    suspicionListeners.add(listener);
    return { suspicion, stop: () => suspicionListeners.delete(listener) };
  }

  async function exchange(
    method: string,
    params: unknown,
    deadlineMilliseconds: number,
    callOptions: PeerCallOptions,
  ): Promise<ExchangeOutcome> {
    if (!isUsable()) return { kind: 'not-sent', reason: 'connection is not usable' };
    nextCallId += 1;
    let hasEnded = false;
    const pending = Promise.resolve(
      client.requestAdvanced({ jsonrpc: '2.0', id: nextCallId, method, params }),
    ).then(
      (response): ExchangeOutcome => {
        if (hasEnded) counters.increment('peer.answers.late');
        return { kind: 'answered', response };
      },
      (error: unknown): ExchangeOutcome => ({ kind: 'lost', reason: String(error) }),
    );
    const { suspicion, stop } = awaitSuspicion(callOptions);
    const first = Promise.race([pending, suspicion]);
    const outcome = await withTimeout(clock, first, deadlineMilliseconds);
    stop();
    hasEnded = true;
    if (outcome !== TIMED_OUT) return outcome;
    return { kind: 'lost', reason: `no answer within ${Math.round(deadlineMilliseconds)} ms` };
  }

  return {
    connectionAttempt,
    isUsable,
    isOpening: () => socket.readyState === WebSocket.CONNECTING && !hasFailed,
    exchange,
    close() {
      cancelPing();
      socket.terminate();
    },
  };
}
