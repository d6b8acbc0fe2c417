import { createFailure, Err, loadStateChart, Ok } from '@chicorybend/common';
import type { Failure, Log, Result } from '@chicorybend/common';

/** State of the daemon, from `charts/daemon.json`. */
export type DaemonState = 'starting' | 'serving' | 'draining' | 'stopped';

/** Life cycle of the daemon. */
export interface DaemonLifecycle {
  state(): DaemonState;
  /**
   * Moves to the next state.
   *
   * @throws InvariantError if the present state does not take the event
   */
  advance(event: 'JOINED' | 'TERMINATE' | 'DRAINED' | 'DEADLINE'): void;
  /** @returns success while serving, or why the daemon is not ready */
  readiness(): Result<void, Failure>;
}

const chart = loadStateChart<DaemonState>('daemon');

/**
 * Creates the life cycle of a daemon.
 *
 * @param log log for changes of state
 * @returns the life cycle, in its initial state
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
