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
  /** @returns what it has printed so far */
  output(): string;
  /** Settings of the client that it printed as `export` lines. */
  readonly variables: Readonly<Record<string, string>>;
  /** Ends it as Ctrl-C does; null if it did not end before a limit. */
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
 * Starts the program on free ports, as other cells may run on the machine.
 *
 * @param t test; the program ends with it
 * @returns the running program
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
  if (!output.includes(READY_LINE)) throw new Error(`the cell did not start:\n${output}`);
  return { output: () => output, variables: parseVariables(output), interrupt };
}
