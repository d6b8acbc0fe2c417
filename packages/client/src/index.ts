/** Command-line client for the operators of chicorybend. */

export { listExamples, runClient } from './core/client.js';
export type { ClientEnvironment } from './core/session.js';
export { EXIT_CODES } from './core/exitCodes.js';
export type { ExitCode } from './core/exitCodes.js';
