import { InvariantError } from '@chicorybend/common';
import type { Log } from '@chicorybend/common';

/**
 * Creates a handler for rejections of background work. Outcomes are values, so that a rejection is a fault of
 * the program: it is logged, and a broken invariant goes on to stop the process.
 *
 * @param log log of the daemon
 * @param text what failed
 * @returns handler for `catch`
 */
export function createFaultHandler(log: Log, text: string): (error: unknown) => void {
  return (error) => {
    log.error(text, error);
    if (error instanceof InvariantError) throw error;
  };
}
