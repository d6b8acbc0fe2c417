import { Logger } from 'tslog';

/** Levels of log lines, from most to least detailed. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** Level of log lines. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Log for changes of state. */
export type Log = Logger<unknown>;

/** One line of the log. */
export interface LogLine {
  /** Time of the line in ISO 8601. */
  readonly time: string;
  readonly level: string;
  /** Name of the process. */
  readonly name: string;
  readonly message: string;
  /** What the message is about, for example ids and epochs. */
  readonly details?: unknown;
}

const TSLOG_LEVELS: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** The properties of an error are not enumerable, so that JSON would leave them out. */
function describeDetails(details: unknown): unknown {
  if (!(details instanceof Error)) return details;
  const { name, message, stack } = details;
  return { name, message, stack };
}

function createLogObject([message, details]: unknown[]): Pick<LogLine, 'message' | 'details'> {
  return { message: String(message), details: describeDetails(details) };
}

/**
 * Creates the log of a process. Lines are JSON on standard output, see {@link LogLine}.
 *
 * @param name name of the process, on each line
 * @param level lowest level to print
 * @returns the log
 */
export function createLog(name: string, level: LogLevel): Log {
  return new Logger<unknown>({
    name,
    type: 'json',
    minLevel: TSLOG_LEVELS[level],
    hideLogPositionForProduction: true,
    overwrite: {
      toLogObj: createLogObject,
      addMeta: (line, _levelId, levelName) =>
        ({ time: new Date().toISOString(), level: levelName, name, ...(line as object) }) as never,
    },
  });
}

/**
 * Creates a log that prints nothing.
 *
 * @returns the log
 */
export function createSilentLog(): Log {
  // Without the position of the caller, which takes most of the time of a line.
  return new Logger({ type: 'hidden', hideLogPositionForProduction: true });
}
