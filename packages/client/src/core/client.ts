import { readFileSync } from 'node:fs';

import { defineCommand, renderUsage, runCommand } from 'citty';
import type { CommandDef } from 'citty';

import { EXIT_CODE_HELP, examplesOf, printProblem } from './commandLine.js';
import type { CommandContext } from './commandLine.js';
import { createConfigCommands } from './configCommands.js';
import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { usageProblem } from './problem.js';
import {
  createAuditCommand,
  createDaemonCommands,
  createWorkerCommands,
} from './reportCommands.js';
import type { ClientEnvironment } from './session.js';
import { createKeyCommands, createQueueCommands, createTeamCommands } from './teamCommands.js';
import { createUsageCommand } from './usageCommand.js';
import { createJobCommands, createRequestCommands } from './workloadCommands.js';

const PROGRAM = 'chicorybend';
const HELP_FLAGS = new Set(['--help', '-h']);
const VERSION_FLAGS = new Set(['--version', '-v']);
const PACKAGE_MANIFEST_URL = new URL('../../package.json', import.meta.url);
// eslint-disable-next-line no-control-regex -- citty colours its output with ANSI escape codes
const ANSI_COLOUR_CODES = /\u001B\[\d+m/g;

function readVersion(): string {
  const { version } = JSON.parse(readFileSync(PACKAGE_MANIFEST_URL, 'utf8')) as { version: string };
  return version;
}

function createRootCommand(context: CommandContext): CommandDef {
  return defineCommand({
    meta: { name: PROGRAM, description: 'Operate a chicorybend cell' },
    subCommands: {
      config: createConfigCommands(context),
      teams: createTeamCommands(context),
      keys: createKeyCommands(context),
      queues: createQueueCommands(context),
      jobs: createJobCommands(context),
      requests: createRequestCommands(context),
      workers: createWorkerCommands(context),
      daemons: createDaemonCommands(context),
      usage: createUsageCommand(context),
      audit: createAuditCommand(context),
    },
  });
}

function subCommandsOf(command: CommandDef): Readonly<Record<string, CommandDef>> {
  return (command.subCommands ?? {}) as Readonly<Record<string, CommandDef>>;
}

function hasAlias(command: CommandDef, name: string): boolean {
  const { alias } = (command.meta ?? {}) as { alias?: string };
  return alias === name;
}

/** Finds the innermost command named by the arguments, and the names or aliases on the path to it. */
function findCommand(root: CommandDef, names: readonly string[]): [CommandDef, string[]] {
  let command = root;
  const path: string[] = [];
  for (const name of names) {
    const commands = subCommandsOf(command);
    const next = Object.hasOwn(commands, name)
      ? commands[name]
      : Object.values(commands).find((candidate) => hasAlias(candidate, name));
    if (!next) break;
    command = next;
    path.push(name);
  }
  return [command, path];
}

async function renderHelp(command: CommandDef, path: readonly string[]): Promise<string> {
  const parent = { meta: { name: [PROGRAM, ...path.slice(0, -1)].join(' ') } };
  const usage = await renderUsage(command, path.length > 0 ? parent : undefined);
  const examples = examplesOf(command);
  const exampleHelp =
    examples.length > 0 ? ['EXAMPLES', '', ...examples.map((line) => `  ${line}`), ''] : [];
  return [usage.replace(ANSI_COLOUR_CODES, '').trimEnd(), '', ...exampleHelp, EXIT_CODE_HELP].join(
    '\n',
  );
}

/** Lists the example command lines of all commands, for tests of the help texts. */
export function listExamples(): readonly string[] {
  const collect = (command: CommandDef): readonly string[] => [
    ...examplesOf(command),
    ...Object.values(subCommandsOf(command)).flatMap(collect),
  ];
  return collect(
    createRootCommand({ environment: {} as ClientEnvironment, setExitCode: () => undefined }),
  );
}

/**
 * Runs the command given by the arguments.
 *
 * @param argv arguments after the program's name
 */
export async function runClient(
  argv: readonly string[],
  environment: ClientEnvironment,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.success;
  const root = createRootCommand({
    environment,
    setExitCode(code) {
      exitCode = code;
    },
  });
  const [command, path] = findCommand(root, argv);
  if (argv.length === 0 || argv.some((argument) => HELP_FLAGS.has(argument))) {
    environment.print(await renderHelp(command, path));
    return argv.length === 0 ? EXIT_CODES.usage : EXIT_CODES.success;
  }
  if (argv.length === 1 && VERSION_FLAGS.has(argv[0] ?? '')) {
    environment.print(`${PROGRAM} ${readVersion()}`);
    return EXIT_CODES.success;
  }
  try {
    await runCommand(root, { rawArgs: [...argv] });
  } catch (error) {
    const message =
      error instanceof Error ? error.message.replace(ANSI_COLOUR_CODES, '') : String(error);
    const help = [PROGRAM, ...path, '--help'].join(' ');
    printProblem(environment, usageProblem(`${message.replace(/\.$/, '')}.`, `Run "${help}".`));
    return EXIT_CODES.usage;
  }
  return exitCode;
}
