import { createFailure, Err, loadStateChart, Ok } from '@chicorybend/common';
import type { Failure, Log, Result } from '@chicorybend/common';

/** State of the daemon, from `charts/daemon.json`. */
export type DaemonState = 'starting' | 'serving' | 'draining' | 'stopped';

/** State machine of the daemon, from starting to stopped. */
export interface DaemonLifecycle {
  state(): DaemonState;
  /**
   * Moves to the next state.
   *
   * @throws InvariantError if the state chart has no transition for the event in the present state
   */
  advance(event: 'JOINED' | 'TERMINATE' | 'DRAINED' | 'DEADLINE'): void;
  /** @returns success while serving; otherwise the failure `not-ready` or `draining` */
  readiness(): Result<void, Failure>;
}

const chart = loadStateChart<DaemonState>('daemon');

/**
 * Creates the state machine of a daemon in its initial state. Each change of state is logged.
 */
export function createDaemonLifecycle(log: Log): DaemonLifecycle {
  let state = chart.initial;
  return {
    state: () => state,
    advance(event) {
      state = chart.advance(state, event);
      log.info('daemon state changed', { state });
    },
    readiness() {
      if (state === 'serving') return Ok(undefined);
      return Err(createFailure(state === 'starting' ? 'not-ready' : 'draining'));
    },
  };
}
