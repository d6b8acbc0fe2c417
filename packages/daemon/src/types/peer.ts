import type { Failure, Result } from '@chicorybend/common';

import type { PeerMethods } from './peerMethods.js';

/** Name of a JSON-RPC method between daemons. */
export type PeerMethod = keyof PeerMethods;

/** Why a call to a peer returned no value. */
export type PeerError =
  /** The call was certainly not received by the peer. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The call may have been received and processed, but no answer arrived. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** The peer answered with a failure. */
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Sender and time limit of a received call. */
export interface PeerCallContext {
  /** Id of the daemon that made the call. */
  readonly from: string;
  /** Time for which the sender still waits for the answer, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/** Handler of one method. */
export type PeerHandler<Method extends PeerMethod> = (
  params: PeerMethods[Method]['params'],
  context: PeerCallContext,
) => Promise<Result<PeerMethods[Method]['result'], Failure>>;

/** Options of a call to a peer. */
export interface PeerCallOptions {
  /**
   * Called when the connection becomes suspect while the call waits for its answer; true ends the call as lost, so
   * that it can be repeated. By default a call waits until its deadline, because a late answer may still arrive.
   */
  readonly endIfSuspect?: () => boolean;
}

/** Sends and handles calls between daemons. A call to this daemon itself runs the handler directly. */
export interface PeerLink {
  /**
   * Calls a daemon.
   *
   * @param daemonId daemon to call; its address comes from the membership
   * @param deadlineMilliseconds time to wait for the connection and the answer, in milliseconds
   * @param callOptions see {@link PeerCallOptions}
   * @returns result of the method, or why there is none
   */
  call<Method extends PeerMethod>(
    daemonId: string,
    method: Method,
    params: PeerMethods[Method]['params'],
    deadlineMilliseconds: number,
    callOptions?: PeerCallOptions,
  ): Promise<Result<PeerMethods[Method]['result'], PeerError>>;

  /**
   * Registers the handler of a method, in place of an earlier one.
   */
  handle<Method extends PeerMethod>(method: Method, handler: PeerHandler<Method>): void;
}
