import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';

import { listenOnStablePort } from '../utils/restartableServer.js';
import type { ListenAddress } from '../utils/restartableServer.js';
import { createRelayPipe } from './relayPipe.js';
import type { PipeCondition, RelayPipe } from './relayPipe.js';

/** Direction of traffic: from the caller to the target, or back. */
export type RelayDirection = 'to-target' | 'to-caller';

/** Selects the connections and directions that a fault applies to. */
export interface RelaySelector {
  /** Source IP address of the caller; all callers if absent. */
  readonly caller?: string;
  /** Both directions if absent. */
  readonly direction?: RelayDirection;
}

/** A fault of a connection. */
export type RelayFault =
  /** Forwards all bytes with a delay. */
  | { readonly kind: 'delay'; readonly delayMilliseconds: number }
  /** Destroys open and new connections. Ignores the direction of the selector. */
  | { readonly kind: 'cut' }
  /** Like `cut`, but with resets. */
  | { readonly kind: 'reset' }
  /** Keeps connections open and accepts new ones, but forwards nothing until the fault is removed. */
  | { readonly kind: 'silence' };

/** Listen address and target of a relay. */
export interface RelayOptions extends ListenAddress {
  readonly targetHost: string;
  readonly targetPort: number;
}

/** A running relay. */
export interface Relay {
  readonly host: string;
  readonly port: number;
  /**
   * Adds a fault to the selected connections, both open and new.
   *
   * @returns function that removes this fault only
   */
  addFault(selector: RelaySelector, fault: RelayFault): () => void;
  /** Removes the faults that were added with an equal selector; all faults if it is absent. */
  clearFaults(selector?: RelaySelector): void;
  /** Silences the selected open connections permanently; new connections work. */
  silenceOpenConnections(selector?: RelaySelector): void;
  /** @returns number of open connections by source IP address of the caller */
  openConnections(): ReadonlyMap<string, number>;
  close(): Promise<void>;
}

interface Rule {
  readonly selector: RelaySelector;
  readonly fault: RelayFault;
}

interface Link {
  readonly caller: string;
  readonly sockets: readonly Socket[];
  readonly pipes: RelayPipe[];
  readonly silencedDirections: Set<RelayDirection>;
}

const DIRECTIONS: readonly RelayDirection[] = ['to-target', 'to-caller'];

function isSelected(
  selector: RelaySelector,
  caller: string,
  direction: RelayDirection | null,
): boolean {
  const matchesCaller = selector.caller === undefined || selector.caller === caller;
  const matchesDirection =
    direction === null || selector.direction === undefined || selector.direction === direction;
  return matchesCaller && matchesDirection;
}

function isSameSelector(left: RelaySelector, right: RelaySelector): boolean {
  return left.caller === right.caller && left.direction === right.direction;
}

/** Starts a TCP relay that can delay, cut and silence connections, selected by the caller's source address. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const { host = '127.0.0.1', targetHost, targetPort } = options;
  const links = new Set<Link>();
  let rules: Rule[] = [];

  function cutOf(caller: string): 'cut' | 'reset' | null {
    const kinds = rules
      .filter(({ selector }) => isSelected(selector, caller, null))
      .map(({ fault }) => fault.kind);
    if (kinds.includes('reset')) return 'reset';
    return kinds.includes('cut') ? 'cut' : null;
  }

  function conditionOf(link: Link, direction: RelayDirection): PipeCondition {
    const faults = rules
      .filter((rule) => isSelected(rule.selector, link.caller, direction))
      .map((rule) => rule.fault);
    return {
      isSilent:
        link.silencedDirections.has(direction) || faults.some((fault) => fault.kind === 'silence'),
      delayMilliseconds: faults.reduce(
        (longest, fault) =>
          fault.kind === 'delay' ? Math.max(longest, fault.delayMilliseconds) : longest,
        0,
      ),
    };
  }

  function destroyLink(link: Link, isReset = false): void {
    links.delete(link);
    link.pipes.forEach((pipe) => pipe.close());
    link.sockets.forEach((socket) => (isReset ? socket.resetAndDestroy() : socket.destroy()));
  }

  /** Destroys the link once both sockets have closed or one failed; a silence delays the latter until it ends. */
  function handleSocketClose(link: Link, socket: Socket): void {
    socket.on('error', () => {});
    socket.on('close', (hadError) => {
      const isSilenced = DIRECTIONS.some((direction) => conditionOf(link, direction).isSilent);
      const areAllClosed = link.sockets.every((other) => other.destroyed);
      if (areAllClosed || (hadError && !isSilenced)) destroyLink(link);
    });
  }

  function accept(callerSocket: Socket): void {
    const caller = callerSocket.remoteAddress ?? '';
    const cut = cutOf(caller);
    if (cut) {
      callerSocket.on('error', () => {});
      if (cut === 'reset') callerSocket.resetAndDestroy();
      else callerSocket.destroy();
      return;
    }
    const targetSocket = connect({
      host: targetHost,
      port: targetPort,
      noDelay: true,
      allowHalfOpen: true,
    });
    const sockets = [callerSocket, targetSocket];
    const link: Link = { caller, sockets, pipes: [], silencedDirections: new Set() };
    callerSocket.setNoDelay(true);
    links.add(link);
    sockets.forEach((socket) => handleSocketClose(link, socket));
    link.pipes.push(
      createRelayPipe(callerSocket, targetSocket, () => conditionOf(link, 'to-target')),
      createRelayPipe(targetSocket, callerSocket, () => conditionOf(link, 'to-caller')),
    );
  }

  function applyRules(): void {
    links.forEach((link) => {
      const cut = cutOf(link.caller);
      if (cut) destroyLink(link, cut === 'reset');
      else updateLink(link);
    });
  }

  function updateLink(link: Link): void {
    link.pipes.forEach((pipe) => pipe.flush());
    const isSilenced = DIRECTIONS.some((direction) => conditionOf(link, direction).isSilent);
    const hasClosedSocket = link.sockets.some((socket) => socket.destroyed);
    if (hasClosedSocket && !isSilenced) destroyLink(link);
  }

  const server = createServer({ allowHalfOpen: true }, accept);
  const port = await listenOnStablePort(server, { ...options, host });

  return {
    host,
    port,
    addFault(selector, fault) {
      const rule = { selector, fault };
      rules = [...rules, rule];
      applyRules();
      return () => {
        rules = rules.filter((other) => other !== rule);
        applyRules();
      };
    },
    clearFaults(selector) {
      rules = selector ? rules.filter((rule) => !isSameSelector(rule.selector, selector)) : [];
      applyRules();
    },
    silenceOpenConnections(selector = {}) {
      links.forEach((link) => {
        if (!isSelected(selector, link.caller, null)) return;
        const directions = selector.direction ? [selector.direction] : DIRECTIONS;
        directions.forEach((direction) => link.silencedDirections.add(direction));
      });
    },
    openConnections() {
      const counts = new Map<string, number>();
      links.forEach((link) => counts.set(link.caller, (counts.get(link.caller) ?? 0) + 1));
      return counts;
    },
    close() {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      links.forEach((link) => destroyLink(link));
      return closed;
    },
  };
}
