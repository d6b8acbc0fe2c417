import { Logger } from 'tslog';

/** Levels of log lines, from most to least detailed. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** Level of log lines. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Log for changes of state. */
export type Log = Logger<unknown>;

const TSLOG_LEVELS: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/**
 * Creates the log of a process. Lines are JSON on standard output.
 *
 * @param name name of the process, on each line
 * @param level lowest level to print
 * @returns the log
 */
export function createLog(name: string, level: LogLevel): Log {
  return new Logger({
    name,
    type: 'json',
    minLevel: TSLOG_LEVELS[level],
    hideLogPositionForProduction: true,
  });
}

/**
 * Creates a log that prints nothing.
 *
 * @returns the log
 */
export function createSilentLog(): Log {
  return new Logger({ type: 'hidden' });
}
