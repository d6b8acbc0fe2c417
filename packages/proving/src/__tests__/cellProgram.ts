import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import type { ExecutionContext } from 'ava';

import { waitUntil } from '../index.js';

const PROGRAM = fileURLToPath(new URL('../cell.js', import.meta.url));
const START_LIMIT_MILLISECONDS = 60_000;
const STOP_LIMIT_MILLISECONDS = 20_000;
const READY_LINE = 'the cell runs until Ctrl-C';

/** The program that `npm run cell` starts. */
export interface CellProgram {
  /** @returns its standard output so far */
  output(): string;
  /** Environment variables for the client, from the `export` lines that it printed. */
  readonly variables: Readonly<Record<string, string>>;
  /** Sends SIGINT, as Ctrl-C does; resolves to the exit code, or null if the program does not exit in time. */
  interrupt(): Promise<number | null>;
}

function hasExited(child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

function parseVariables(output: string): Record<string, string> {
  return Object.fromEntries(
    [...output.matchAll(/^export (\w+)=(.*)$/gm)].map(([, name, value]) => [name, value]),
  ) as Record<string, string>;
}

/**
 * Starts the program on free ports, because other cells may run on this machine. It is stopped when the test ends.
 *
 * @throws if the program exits early or is not ready in time
 */
export async function startCellProgram(t: ExecutionContext): Promise<CellProgram> {
  const child = spawn(process.execPath, [PROGRAM, '--api-port', '0'], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout.setEncoding('utf8').on('data', (text: string) => {
    output += text;
  });
  const interrupt = async (): Promise<number | null> => {
    child.kill('SIGINT');
    await waitUntil(() => hasExited(child), STOP_LIMIT_MILLISECONDS);
    return child.exitCode;
  };
  t.teardown(async () => {
    if (!hasExited(child)) await interrupt();
    child.kill('SIGKILL');
  });
  await waitUntil(() => output.includes(READY_LINE) || hasExited(child), START_LIMIT_MILLISECONDS);
  if (!output.includes(READY_LINE)) throw new Error(`the cell did not become ready:\n${output}`);
  return { output: () => output, variables: parseVariables(output), interrupt };
}
