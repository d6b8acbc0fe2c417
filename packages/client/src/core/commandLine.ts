import { defineCommand } from 'citty';
import type { ArgsDef, CommandDef, ParsedArgs } from 'citty';

import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import type { Problem } from './problem.js';
import { usageProblem } from './problem.js';
import { createSession } from './session.js';
import type { ClientEnvironment, CommandOutcome, Session } from './session.js';

/** Flags that every command accepts. */
const COMMON_ARGS = {
  address: { type: 'string', description: 'Address of a daemon (CHICORYBEND_ADDRESS)' },
  token: { type: 'string', description: "Operator's token (CHICORYBEND_TOKEN)" },
  operator: { type: 'string', description: "Operator's name (CHICORYBEND_OPERATOR)" },
  key: { type: 'string', description: 'Key of a team (CHICORYBEND_KEY)' },
  json: { type: 'boolean', description: 'Print JSON for programs' },
} as const satisfies ArgsDef;

/** Environment of a client run and receiver of its exit code. */
export interface CommandContext {
  readonly environment: ClientEnvironment;
  setExitCode(exitCode: ExitCode): void;
}

/** Name, arguments, examples and implementation of a command. */
export interface CommandSpecification<Args extends ArgsDef> {
  readonly name: string;
  readonly alias?: string;
  readonly description: string;
  readonly args?: Args;
  /** Command lines shown in the help text; a test runs each of them. */
  readonly examples: readonly string[];
  run(session: Session, args: ParsedArgs<Args>): Promise<CommandOutcome>;
}

const examplesByCommand = new WeakMap<object, readonly string[]>();

/** Returns the example command lines of a command; empty for a group of commands. */
export function examplesOf(command: object): readonly string[] {
  return examplesByCommand.get(command) ?? [];
}

/** Prints a problem with its details and next step to the error output. */
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
  const positionalCount = Object.values(known).filter((arg) => arg.type === 'positional').length;
  const extra = (args._ as readonly string[])[positionalCount];
  return extra === undefined ? undefined : `Unexpected argument ${extra}.`;
}

/** Creates a command that rejects unknown flags and surplus arguments before it runs, with exit code 2. */
export function createCommand<const Args extends ArgsDef>(
  context: CommandContext,
  specification: CommandSpecification<Args>,
): CommandDef {
  const args = { ...specification.args, ...COMMON_ARGS };
  const command = defineCommand({
    meta: {
      name: specification.name,
      description: specification.description,
      ...(specification.alias === undefined ? {} : { alias: specification.alias }),
    },
    args,
    async run(invocation) {
      const argumentError = describeUnexpectedArgument(invocation.args, args);
      const session = createSession(context.environment, invocation.args);
      const outcome: CommandOutcome | null =
        argumentError === undefined
          ? await specification.run(session, invocation.args as unknown as ParsedArgs<Args>)
          : null;
      const problem = outcome?.isErr() ? outcome.error : usageProblem(argumentError ?? '');
      if (outcome?.isOk()) {
        context.setExitCode(outcome.value);
      } else {
        printProblem(context.environment, problem);
        context.setExitCode(problem.exitCode);
      }
    },
  }) as CommandDef;
  examplesByCommand.set(command, specification.examples);
  return command;
}

/**
 * Creates a group of commands.
 *
 * @param description summary of the group for the help text
 * @param commands commands by name
 */
export function createGroup(
  name: string,
  description: string,
  commands: Readonly<Record<string, CommandDef>>,
): CommandDef {
  return defineCommand({ meta: { name, description }, subCommands: { ...commands } });
}

/** Section of the help text that lists the exit codes. */
export const EXIT_CODE_HELP = [
  'EXIT CODES',
  '',
  `  ${EXIT_CODES.success}  success`,
  `  ${EXIT_CODES.refused}  refused; nothing was changed or run, or the work ended unsuccessfully`,
  `  ${EXIT_CODES.usage}  wrong arguments`,
  `  ${EXIT_CODES.unknown}  it is not known whether the change was made or the work was run`,
  `  ${EXIT_CODES.unreachable}  no daemon was reached`,
].join('\n');
