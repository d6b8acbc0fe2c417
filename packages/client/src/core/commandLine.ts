import { defineCommand } from 'citty';
import type { ArgsDef, CommandDef, ParsedArgs } from 'citty';

import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import type { Problem } from './problem.js';
import { usageProblem } from './problem.js';
import { createSession } from './session.js';
import type { ClientEnvironment, CommandOutcome, Session } from './session.js';

/** Flags of every command. */
const COMMON_ARGS = {
  address: { type: 'string', description: 'Address of a daemon (CHICORYBEND_ADDRESS)' },
  token: { type: 'string', description: "Operator's token (CHICORYBEND_TOKEN)" },
  operator: { type: 'string', description: "Operator's name (CHICORYBEND_OPERATOR)" },
  key: { type: 'string', description: 'Key of a team (CHICORYBEND_KEY)' },
  json: { type: 'boolean', description: 'Print JSON for programs' },
} as const satisfies ArgsDef;

/** What the commands are made with. */
export interface CommandContext {
  readonly environment: ClientEnvironment;
  /** Takes the exit code of the command that ran. */
  setExitCode(exitCode: ExitCode): void;
}

/** A command as its module describes it. */
export interface CommandSpecification<Args extends ArgsDef> {
  readonly name: string;
  readonly alias?: string;
  readonly description: string;
  readonly args?: Args;
  /** Command lines that work as printed. */
  readonly examples: readonly string[];
  run(session: Session, args: ParsedArgs<Args>): Promise<CommandOutcome>;
}

const examplesByCommand = new WeakMap<object, readonly string[]>();

/**
 * Lists the examples of a command.
 *
 * @param command command
 * @returns command lines
 */
export function examplesOf(command: object): readonly string[] {
  return examplesByCommand.get(command) ?? [];
}

/**
 * Prints a problem and its next step.
 *
 * @param environment output
 * @param problem what went wrong
 */
export function printProblem(environment: ClientEnvironment, problem: Problem): void {
  const details = problem.details.map((detail) => `  ${detail.path}: ${detail.reason}`);
  environment.printError([problem.message, ...details, `Next: ${problem.nextStep}`].join('\n'));
}

function toCamelCase(name: string): string {
  return name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
}

function describeUnexpectedArgument(
  args: Readonly<Record<string, unknown>>,
  known: ArgsDef,
): string | undefined {
  const names = new Set(Object.keys(known).flatMap((name) => [name, toCamelCase(name)]));
  const unknownFlag = Object.keys(args).find((name) => name !== '_' && !names.has(name));
  if (unknownFlag !== undefined) return `There is no flag --${unknownFlag}.`;
  const places = Object.values(known).filter((arg) => arg.type === 'positional').length;
  const extra = (args._ as readonly string[])[places];
  return extra === undefined ? undefined : `Unexpected argument ${extra}.`;
}

/**
 * Creates a command.
 *
 * @param context environment and exit code
 * @param description the command
 * @returns command for the command line
 */
export function createCommand<const Args extends ArgsDef>(
  context: CommandContext,
  description: CommandSpecification<Args>,
): CommandDef {
  const args = { ...description.args, ...COMMON_ARGS };
  const command = defineCommand({
    meta: {
      name: description.name,
      description: description.description,
      ...(description.alias === undefined ? {} : { alias: description.alias }),
    },
    args,
    async run(call) {
      const unexpected = describeUnexpectedArgument(call.args, args);
      const session = createSession(context.environment, call.args);
      const outcome: CommandOutcome | null =
        unexpected === undefined
          ? await description.run(session, call.args as unknown as ParsedArgs<Args>)
          : null;
      const problem = outcome?.isErr() ? outcome.error : usageProblem(unexpected ?? '');
      if (outcome?.isOk()) {
        context.setExitCode(outcome.value);
      } else {
        printProblem(context.environment, problem);
        context.setExitCode(problem.exitCode);
      }
    },
  }) as CommandDef;
  examplesByCommand.set(command, description.examples);
  return command;
}

/**
 * Creates a group of commands.
 *
 * @param name name of the group
 * @param description what the commands are about
 * @param commands commands by name
 * @returns command for the command line
 */
export function createGroup(
  name: string,
  description: string,
  commands: Readonly<Record<string, CommandDef>>,
): CommandDef {
  return defineCommand({ meta: { name, description }, subCommands: { ...commands } });
}

/** Exit codes, for the help text. */
export const EXIT_CODE_HELP = [
  'EXIT CODES',
  '',
  `  ${EXIT_CODES.success}  success`,
  `  ${EXIT_CODES.refused}  refused; nothing was changed or run, or the work ended unsuccessfully`,
  `  ${EXIT_CODES.usage}  wrong arguments`,
  `  ${EXIT_CODES.unknown}  it is not known whether the change was made or the work was run`,
  `  ${EXIT_CODES.unreachable}  no daemon was reached`,
].join('\n');
