import { Logger } from 'tslog';

/** Log levels, from most to least verbose. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

/** Structured log of a process, for changes of its state. */
export type Log = Logger<unknown>;

/** One line of the log. */
export interface LogLine {
  /** Time of the line in ISO 8601. */
  readonly time: string;
  readonly level: string;
  /** Name of the process. */
  readonly name: string;
  readonly message: string;
  /** Context of the message, for example ids and epochs. */
  readonly details?: unknown;
}

const TSLOG_LEVELS: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Copies an error into a plain object: its own properties are not enumerable and would be missing in JSON. */
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
 * @param level lowest level that is written
 */
export function createLog(name: string, level: LogLevel): Log {
  return new Logger<unknown>({
    name,
    type: 'json',
    minLevel: TSLOG_LEVELS[level],
    hideLogPositionForProduction: true,
    // No line carries secrets; masking would copy the details of each line.
    maskValuesOfKeys: [],
    overwrite: {
      toLogObj: createLogObject,
      transportJSON: (line) => process.stdout.write(`${JSON.stringify(line)}\n`),
      addMeta: (line, _levelId, levelName) =>
        ({ time: new Date().toISOString(), level: levelName, name, ...(line as object) }) as never,
    },
  });
}

/** Creates a log that writes nothing. */
export function createSilentLog(): Log {
  // Finding the source position of the call takes most of the time of a log call, so it is switched off.
  return new Logger({ type: 'hidden', hideLogPositionForProduction: true });
}
