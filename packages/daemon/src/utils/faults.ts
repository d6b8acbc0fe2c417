import { InvariantError } from '@chicorybend/common';
import type { Log } from '@chicorybend/common';

/**
 * Creates a handler for rejected promises that nobody awaits. Expected failures are returned as values, so that a
 * rejection is a programming error: it is logged, and a violated invariant is thrown again to stop the process.
 *
 * @param log log of the daemon
 * @param text log message that says what failed
 * @returns handler for `catch`
 */
export function createFaultHandler(log: Log, text: string): (error: unknown) => void {
  return (error) => {
    log.error(text, error);
    if (error instanceof InvariantError) throw error;
  };
}
