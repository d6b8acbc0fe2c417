import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';

import { listenOnStablePort } from '../utils/restartableServer.js';
import type { ListenAddress } from '../utils/restartableServer.js';
import { createRelayPipe } from './relayPipe.js';
import type { PipeCondition, RelayPipe } from './relayPipe.js';

/** Direction of bytes: from the caller to the target, or back. */
export type RelayDirection = 'to-target' | 'to-caller';

/** Which connections and directions a fault concerns. */
export interface RelaySelector {
  /** Source IP address of the caller; absent means every caller. */
  readonly caller?: string;
  /** Absent means both directions. */
  readonly direction?: RelayDirection;
}

/** A fault of a link. */
export type RelayFault =
  /** Forwards each byte later. */
  | { readonly kind: 'delay'; readonly delayMilliseconds: number }
  /** Breaks the connections and takes no new ones. Concerns both directions. */
  | { readonly kind: 'cut' }
  /** Keeps connections open, takes new ones, and forwards nothing until cleared. */
  | { readonly kind: 'silence' };

/** Place and target of a relay. */
export interface RelayOptions extends ListenAddress {
  readonly targetHost: string;
  readonly targetPort: number;
}

/** A running relay. */
export interface Relay {
  readonly host: string;
  readonly port: number;
  /**
   * Adds a fault for the selected connections, open and new ones.
   *
   * @returns function that takes this fault back and leaves others in place
   */
  addFault(selector: RelaySelector, fault: RelayFault): () => void;
  /** Takes back the faults that were applied with this selector; without one, all of them. */
  clearFaults(selector?: RelaySelector): void;
  /** Silences the selected connections that are open now, for good; new ones work. */
  silenceOpenConnections(selector?: RelaySelector): void;
  /** @returns open connections by source IP address of the caller */
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

/**
 * Starts a TCP relay that delays, cuts and silences connections by source address of their caller.
 *
 * @param options place and target
 * @returns the running relay
 */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const { host = '127.0.0.1', targetHost, targetPort } = options;
  const links = new Set<Link>();
  let rules: Rule[] = [];

  function isCut(caller: string): boolean {
    return rules.some(
      (rule) => rule.fault.kind === 'cut' && isSelected(rule.selector, caller, null),
    );
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

  function destroyLink(link: Link): void {
    links.delete(link);
    link.pipes.forEach((pipe) => pipe.close());
    link.sockets.forEach((socket) => socket.destroy());
  }

  /** An end during a silence is told to the other side when the silence ends. */
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
    if (isCut(caller)) {
      callerSocket.destroy();
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
      if (isCut(link.caller)) destroyLink(link);
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
      links.forEach(destroyLink);
      return closed;
    },
  };
}
