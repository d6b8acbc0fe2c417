import type { Failure, Result } from '@chicorybend/common';

import type { PeerMethods } from './peerMethods.js';

/** Name of a call between daemons. */
export type PeerMethod = keyof PeerMethods;

/** Why a call to a peer gave no value. */
export type PeerError =
  /** Certainly not received by the peer. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** Possibly received and processed. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** Answered by the peer with a failure. */
  | { readonly kind: 'refused'; readonly failure: Failure };

/** What a handler knows about its caller. */
export interface PeerCallContext {
  /** Daemon that made the call. */
  readonly from: string;
  /** Time that the caller still waits, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/** Handles one kind of call. */
export type PeerHandler<Method extends PeerMethod> = (
  params: PeerMethods[Method]['params'],
  context: PeerCallContext,
) => Promise<Result<PeerMethods[Method]['result'], Failure>>;

/** Calls between daemons. A call to the own daemon runs the handler directly. */
export interface PeerLink {
  /**
   * Calls a daemon.
   *
   * @param daemonId daemon to call; its address comes from the membership
   * @param method name of the call
   * @param params parameters
   * @param deadlineMilliseconds time to wait, in milliseconds
   * @returns value or error
   */
  call<Method extends PeerMethod>(
    daemonId: string,
    method: Method,
    params: PeerMethods[Method]['params'],
    deadlineMilliseconds: number,
  ): Promise<Result<PeerMethods[Method]['result'], PeerError>>;

  /**
   * Registers the handler of a call.
   *
   * @param method name of the call
   * @param handler function that answers
   */
  handle<Method extends PeerMethod>(method: Method, handler: PeerHandler<Method>): void;
}
