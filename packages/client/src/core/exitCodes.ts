/** Exit codes of the client, for scripts. */
export const EXIT_CODES = {
  success: 0,
  /** The command was refused and nothing was changed or run, or the job did not succeed. */
  refused: 1,
  /** Wrong arguments. */
  usage: 2,
  /** It is not known whether the change was made, or the job or request was run. */
  unknown: 3,
  /** No daemon was reached, or a read got no response; nothing was changed. */
  unreachable: 4,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
