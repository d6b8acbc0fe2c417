/** Exit codes of the client, for scripts. */
export const EXIT_CODES = {
  success: 0,
  /** Refused; nothing was changed or run, or the work ended otherwise than successfully. */
  refused: 1,
  /** Wrong arguments. */
  usage: 2,
  /** It is not known whether the change was made or the work was run. */
  unknown: 3,
  /** No daemon was reached; nothing was sent, or only a question was asked. */
  unreachable: 4,
} as const;

/** Exit code of the client. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
