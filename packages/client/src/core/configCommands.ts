import { diffDocuments, Err } from '@chicorybend/common';
import type { SectionDifference, ValueDifference } from '@chicorybend/common';
import type { CommandDef } from 'citty';

import { createCommand, createGroup } from './commandLine.js';
import type { CommandContext } from './commandLine.js';
import { applyEdit, readConfiguration } from './configurationCalls.js';
import { createFileContent, readEdit } from './configurationFile.js';
import type { ConfigurationEdit } from './configurationFile.js';
import { EXIT_CODES } from './exitCodes.js';
import { usageProblem } from './problem.js';
import { DONE, formatTime, showRows } from './session.js';
import type { CommandOutcome, Session } from './session.js';

interface HistoryResponse {
  readonly entries: readonly {
    readonly toRevision: number;
    readonly at: number;
    readonly operator: string;
    readonly action: string;
    readonly sections: readonly string[];
    readonly differences: readonly SectionDifference[];
    readonly omittedDifferences: number;
  }[];
}

interface CheckResponse {
  readonly revision: number;
  readonly differences: readonly SectionDifference[];
  readonly revokedKeys: readonly string[];
}

const FILE_ARGS = {
  file: { type: 'positional', description: 'File written by "config get"', required: true },
  'base-revision': {
    type: 'string',
    description: 'Revision that was edited, instead of the one in the file',
  },
} as const;

function formatValue(value: unknown): string {
  return value === undefined ? '-' : JSON.stringify(value);
}

function formatDifference(difference: ValueDifference): string {
  return `  ${difference.path}: ${formatValue(difference.before)} -> ${formatValue(difference.after)}`;
}

function formatDifferences(differences: readonly SectionDifference[]): string {
  if (differences.length === 0) return 'No differences.';
  return differences
    .flatMap((difference) => [
      `${difference.section} (${difference.kind})`,
      ...difference.changes.map(formatDifference),
    ])
    .join('\n');
}

async function runGet(
  session: Session,
  section: string | undefined,
  output: string | undefined,
): Promise<CommandOutcome> {
  const configuration = await readConfiguration(session);
  if (configuration.isErr()) return configuration;
  const { revision, sections } = configuration.value;
  if (section !== undefined && !Object.hasOwn(sections, section)) {
    return Err({
      exitCode: EXIT_CODES.refused,
      message: `There is no section ${section}.`,
      details: [],
      nextStep: `Choose one of ${Object.keys(sections).join(', ')}.`,
    });
  }
  const selectedSections = Object.entries(sections).filter(
    ([name]) => section === undefined || name === section,
  );
  const text = JSON.stringify(
    createFileContent(revision, Object.fromEntries(selectedSections)),
    null,
    2,
  );
  if (output === undefined) {
    session.environment.print(text);
    return DONE;
  }
  await session.environment.writeFile(output, `${text}\n`);
  session.environment.print(`Wrote revision ${revision} to ${output}.`);
  return DONE;
}

async function runWithEdit(
  session: Session,
  args: { readonly file: string; readonly 'base-revision'?: string | undefined },
  action: (edit: ConfigurationEdit) => Promise<CommandOutcome>,
): Promise<CommandOutcome> {
  const base = args['base-revision'];
  if (base !== undefined && !/^\d+$/.test(base)) {
    return Err(usageProblem('--base-revision must be a whole number.'));
  }
  const edit = await readEdit(session, args.file, base === undefined ? undefined : Number(base));
  return edit.isErr() ? edit : action(edit.value);
}

async function runCheck(session: Session, edit: ConfigurationEdit): Promise<CommandOutcome> {
  const response = await session.callAsOperator<CheckResponse>({
    method: 'POST',
    path: '/v1/configuration/check',
    body: edit,
  });
  if (response.isErr()) return response;
  const { differences, revokedKeys } = response.value;
  const revoked = revokedKeys.map((keyId) => `\nRevokes key ${keyId}.`).join('');
  session.show(response.value, `The change is valid.\n${formatDifferences(differences)}${revoked}`);
  return DONE;
}

async function runDiff(session: Session, edit: ConfigurationEdit): Promise<CommandOutcome> {
  const configuration = await readConfiguration(session);
  if (configuration.isErr()) return configuration;
  const merged = Object.entries({ ...configuration.value.sections, ...edit.sections });
  const after = Object.fromEntries(merged.filter(([, content]) => content !== null));
  const differences = diffDocuments(configuration.value.sections, after);
  session.show(differences, formatDifferences(differences));
  return DONE;
}

async function runHistory(session: Session): Promise<CommandOutcome> {
  const response = await session.callAsOperator<HistoryResponse>({
    method: 'GET',
    path: '/v1/configuration/history',
  });
  if (response.isErr()) return response;
  return showRows(
    session,
    response.value,
    ['revision', 'time', 'operator', 'action', 'sections'],
    response.value.entries.map((entry) => [
      entry.toRevision,
      formatTime(entry.at),
      entry.operator,
      entry.action,
      entry.sections.join(', '),
    ]),
  );
}

/** @returns group `config` */
export function createConfigCommands(context: CommandContext): CommandDef {
  return createGroup('config', 'Read and change the configuration', {
    get: createCommand(context, {
      name: 'get',
      description: 'Print the stored configuration',
      args: {
        section: { type: 'string', description: 'Only this section' },
        output: { type: 'string', description: 'File to write, for editing' },
      },
      examples: [
        'chicorybend config get',
        'chicorybend config get --section teams',
        'chicorybend config get --output configuration.json',
      ],
      run: (session, args) => runGet(session, args.section, args.output),
    }),
    check: createCommand(context, {
      name: 'check',
      description: 'Check a change without making it',
      args: FILE_ARGS,
      examples: ['chicorybend config check configuration.json'],
      run: (session, args) => runWithEdit(session, args, (edit) => runCheck(session, edit)),
    }),
    diff: createCommand(context, {
      name: 'diff',
      description: 'Compare a file with the stored configuration',
      args: FILE_ARGS,
      examples: ['chicorybend config diff configuration.json'],
      run: (session, args) => runWithEdit(session, args, (edit) => runDiff(session, edit)),
    }),
    apply: createCommand(context, {
      name: 'apply',
      description: 'Make a change; all of it or nothing',
      args: FILE_ARGS,
      examples: [
        'chicorybend config apply configuration.json',
        'chicorybend config apply configuration.json --json',
      ],
      run: (session, args) => runWithEdit(session, args, (edit) => applyEdit(session, edit)),
    }),
    history: createCommand(context, {
      name: 'history',
      description: 'List the last 200 changes',
      examples: ['chicorybend config history'],
      run: (session) => runHistory(session),
    }),
  });
}
