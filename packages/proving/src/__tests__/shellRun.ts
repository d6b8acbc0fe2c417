import { spawn } from 'node:child_process';

import { WORKSPACE } from './readme.js';

/** Result of one shell command. */
export interface CommandRun {
  readonly command: string;
  /** Null if the command did not end before the time limit. */
  readonly exitCode: number | null;
  /** Interleaved standard output and standard error. */
  readonly output: string;
}

const END_MARKER = '::end of command::';

function toScript(commands: readonly string[]): string {
  return commands.map((command) => `${command}\nprintf '\\n${END_MARKER}%s\\n' "$?"\n`).join('');
}

function toRuns(commands: readonly string[], output: string): CommandRun[] {
  const outputs = output.split(END_MARKER);
  return commands.map((command, index) => {
    const [, ...lines] = (index === 0 ? `\n${outputs[0]}` : (outputs[index] ?? '')).split('\n');
    const exitCodeText = outputs[index + 1];
    return {
      command,
      exitCode: exitCodeText === undefined ? null : Number.parseInt(exitCodeText, 10),
      output: lines.join('\n'),
    };
  });
}

/**
 * Runs commands in sequence in one shell, in the root folder of the repository, so that they share shell variables.
 *
 * @param variables environment variables in addition to those of this process
 * @param limitMilliseconds time after which the shell and its children are killed
 * @returns the result of each command, in order
 */
export async function runInShell(
  commands: readonly string[],
  variables: Readonly<Record<string, string>>,
  limitMilliseconds: number,
): Promise<readonly CommandRun[]> {
  const shell = spawn('bash', ['-c', `exec 2>&1\n${toScript(commands)}`], {
    cwd: WORKSPACE,
    env: { ...process.env, ...variables },
    stdio: ['ignore', 'pipe', 'inherit'],
    detached: true,
  });
  let output = '';
  shell.stdout.setEncoding('utf8').on('data', (text: string) => {
    output += text;
  });
  // The shell leads its own process group, so that a hanging client is killed with it.
  const timer = setTimeout(() => {
    if (shell.pid !== undefined) process.kill(-shell.pid, 'SIGKILL');
  }, limitMilliseconds);
  await new Promise((resolve) => {
    shell.once('close', resolve);
  });
  clearTimeout(timer);
  return toRuns(commands, output);
}
