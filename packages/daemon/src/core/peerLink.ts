import { createFailure, Err, Ok, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock, Counters, Failure, Log, Result } from '@chicorybend/common';

import type { PeerCallOptions, PeerError, PeerLink, PeerMethod } from '../types/peer.js';
import type { PeerMethods } from '../types/peerMethods.js';
import { openPeerConnection } from './peerConnection.js';
import type { ExchangeOutcome, PeerConnection } from './peerConnection.js';
import { startPeerServer } from './peerServer.js';
import type { PeerServer, UntypedHandler } from './peerServer.js';

/** Shortest time between two attempts to open a connection to the same address, in milliseconds. */
const RECONNECT_DELAY_MILLISECONDS = 200;

export interface PeerLinkOptions {
  readonly selfId: string;
  readonly host: string;
  readonly port: number;
  readonly token: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  /** @returns `<address>:<port>` of a daemon, or null if the daemon is unknown */
  readonly resolveAddress: (daemonId: string) => string | null;
}

/** The peer link with its server for calls of other daemons. */
export interface ListeningPeerLink extends PeerLink {
  /**
   * Starts the server.
   *
   * @returns the port on which it listens
   */
  listen(): Promise<number>;
  close(): Promise<void>;
}

interface OutboundConnection {
  readonly address: string;
  readonly connection: PeerConnection;
  readonly openedAt: number;
}

function toCallResult(outcome: ExchangeOutcome): Result<unknown, PeerError> {
  if (outcome.kind !== 'answered') return Err({ kind: outcome.kind, reason: outcome.reason });
  const { error, result } = outcome.response;
  if (!error) return Ok(result as unknown);
  const failure =
    (error.data as Failure | undefined) ??
    createFailure('internal-error', { reason: error.message });
  return Err({ kind: 'refused', failure });
}

/**
 * Creates the link between daemons: JSON-RPC 2.0 over one outgoing WebSocket connection per peer. A connection
 * without inbound traffic is replaced; answers that still arrive on it after their time limit are counted and
 * dropped.
 */
export function createPeerLink(options: PeerLinkOptions): ListeningPeerLink {
  const { selfId, clock, counters } = options;
  const handlers = new Map<string, UntypedHandler>();
  const outboundConnections = new Map<string, OutboundConnection>();
  let server: PeerServer | null = null;

  function openConnection(daemonId: string, address: string): OutboundConnection {
    const previous = outboundConnections.get(daemonId);
    if (previous && previous.address !== address) previous.connection.close();
    const connection = openPeerConnection({
      peerAddress: address,
      localAddress: options.host,
      headers: { authorization: `Bearer ${options.token}`, 'x-daemon-id': selfId },
      clock,
      counters,
    });
    const entry = { address, connection, openedAt: clock.monotonicMilliseconds() };
    outboundConnections.set(daemonId, entry);
    return entry;
  }

  /** Returns the connection to a daemon. One that is closed, suspect or leads to an old address is replaced. */
  function selectConnection(daemonId: string, address: string): OutboundConnection {
    const existing = outboundConnections.get(daemonId);
    if (!existing || existing.address !== address) return openConnection(daemonId, address);
    if (existing.connection.isUsable() || existing.connection.isOpening()) return existing;
    const age = clock.monotonicMilliseconds() - existing.openedAt;
    return age >= RECONNECT_DELAY_MILLISECONDS ? openConnection(daemonId, address) : existing;
  }

  async function exchange(
    daemonId: string,
    method: string,
    params: unknown,
    deadlineMilliseconds: number,
    callOptions: PeerCallOptions,
  ): Promise<ExchangeOutcome> {
    const address = options.resolveAddress(daemonId);
    if (!address) return { kind: 'not-sent', reason: 'address of the daemon is unknown' };
    const startedAt = clock.monotonicMilliseconds();
    const { connection } = selectConnection(daemonId, address);
    const attempt = await withTimeout(clock, connection.connectionAttempt, deadlineMilliseconds);
    if (attempt === TIMED_OUT) return { kind: 'not-sent', reason: 'connection not open in time' };
    const remaining = deadlineMilliseconds - (clock.monotonicMilliseconds() - startedAt);
    if (remaining <= 0) return { kind: 'not-sent', reason: 'deadline passed before sending' };
    return connection.exchange(
      method,
      { remainingMilliseconds: Math.floor(remaining), body: params },
      remaining,
      callOptions,
    );
  }

  async function callSelf(
    method: string,
    params: unknown,
    deadlineMilliseconds: number,
  ): Promise<Result<unknown, PeerError>> {
    const handler = handlers.get(method);
    if (!handler) return Err({ kind: 'refused', failure: createFailure('not-ready') });
    const context = { from: selfId, remainingMilliseconds: deadlineMilliseconds };
    const result = await withTimeout(clock, handler(params, context), deadlineMilliseconds);
    if (result === TIMED_OUT) return Err({ kind: 'lost', reason: 'no answer within the deadline' });
    return result.mapErr((failure): PeerError => ({ kind: 'refused', failure }));
  }

  return {
    async call<Method extends PeerMethod>(
      daemonId: string,
      method: Method,
      params: PeerMethods[Method]['params'],
      deadlineMilliseconds: number,
      callOptions: PeerCallOptions = {},
    ) {
      counters.increment('peer.calls');
      const result =
        daemonId === selfId
          ? await callSelf(method, params, deadlineMilliseconds)
          : toCallResult(
              await exchange(daemonId, method, params, deadlineMilliseconds, callOptions),
            );
      return result as Result<PeerMethods[Method]['result'], PeerError>;
    },
    handle(method, handler) {
      handlers.set(method, handler as UntypedHandler);
    },
    async listen() {
      server = await startPeerServer({
        host: options.host,
        port: options.port,
        token: options.token,
        log: options.log,
        handlers,
      });
      return server.port;
    },
    async close() {
      outboundConnections.forEach(({ connection }) => connection.close());
      await server?.close();
    },
  };
}
