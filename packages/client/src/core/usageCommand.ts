import { Err, Ok } from '@chicorybend/common';
import type { Result } from '@chicorybend/common';
import type { CommandDef } from 'citty';
import { stringify } from 'csv-stringify/sync';

import { createCommand } from './commandLine.js';
import type { CommandContext } from './commandLine.js';
import { readConfiguration } from './configurationCalls.js';
import { usageProblem } from './problem.js';
import type { Problem } from './problem.js';
import { showReport, warnOfMissingPartitions } from './reportCommands.js';
import type { PartitionReport } from './reportCommands.js';
import { DONE, formatTime } from './session.js';
import type { CommandOutcome, Session } from './session.js';
import type { UsageRow } from './usageSummary.js';

const COLUMN_TITLES = [
  'hour',
  'team',
  'queue',
  'tasks',
  'processor seconds',
  'memory byte seconds',
  'accelerator seconds',
];

interface UsageArgs {
  readonly team?: string | undefined;
  readonly from?: string | undefined;
  readonly to?: string | undefined;
  readonly csv?: boolean | undefined;
  readonly format?: string | undefined;
  readonly output?: string | undefined;
}

function buildQuery(args: UsageArgs, team: string | undefined): Result<string, Problem> {
  const query = new URLSearchParams(team === undefined ? {} : { team });
  for (const name of ['from', 'to'] as const) {
    const text = args[name];
    const time = text === undefined ? 0 : Date.parse(text);
    if (Number.isNaN(time)) {
      return Err(
        usageProblem(`--${name} ${text} is not a time.`, 'Write it as 2026-03-01T00:00:00Z.'),
      );
    }
    if (text !== undefined) query.set(name, String(time));
  }
  return Ok(query.size > 0 ? `?${query.toString()}` : '');
}

async function readUsage(
  session: Session,
  args: UsageArgs,
  team: string | undefined,
): Promise<Result<PartitionReport<UsageRow>, Problem>> {
  const query = buildQuery(args, team);
  if (query.isErr()) return query;
  return session.callAsOperator<PartitionReport<UsageRow>>({
    method: 'GET',
    path: `/v1/usage${query.value}`,
  });
}

function toCells(row: UsageRow): (string | number)[] {
  return [
    formatTime(row.hour),
    row.team,
    row.queue,
    row.tasks,
    row.processorSeconds,
    row.memoryByteSeconds,
    row.acceleratorSeconds,
  ];
}

async function writeOutput(
  session: Session,
  output: string | undefined,
  text: string,
): Promise<CommandOutcome> {
  if (output === undefined) {
    session.environment.print(text.trimEnd());
    return DONE;
  }
  await session.environment.writeFile(output, text);
  session.environment.print(`Wrote ${output}.`);
  return DONE;
}

async function writeHtmlPage(session: Session, args: UsageArgs): Promise<CommandOutcome> {
  const report = await readUsage(session, args, undefined);
  if (report.isErr()) return report;
  const configuration = await readConfiguration(session);
  if (configuration.isErr()) return configuration;
  warnOfMissingPartitions(session, report.value);
  // Loaded on demand: the chart library takes longer to load than any other command takes to run.
  const { renderUsagePage } = await import('./usagePage.js');
  const { sections } = configuration.value;
  const { team, from, to } = args;
  const createdAt = Date.now();
  const page = renderUsagePage({ ...report.value, sections, team, from, to, createdAt });
  return writeOutput(session, args.output, page);
}

async function writeCsv(session: Session, args: UsageArgs): Promise<CommandOutcome> {
  const report = await readUsage(session, args, args.team);
  if (report.isErr()) return report;
  warnOfMissingPartitions(session, report.value);
  return writeOutput(
    session,
    args.output,
    stringify([COLUMN_TITLES, ...report.value.rows.map(toCells)]),
  );
}

async function showUsage(session: Session, args: UsageArgs): Promise<CommandOutcome> {
  if (args.format === 'html') return writeHtmlPage(session, args);
  if (args.format === 'csv' || args.csv) return writeCsv(session, args);
  if (args.output !== undefined) {
    return Err(usageProblem('--output needs --format csv or --format html.'));
  }
  const report = await readUsage(session, args, args.team);
  return report.isErr() ? report : showReport(session, report.value, COLUMN_TITLES, toCells);
}

/** @returns command `usage` */
export function createUsageCommand(context: CommandContext): CommandDef {
  return createCommand(context, {
    name: 'usage',
    description: 'Usage of the teams by hour and queue, including running executions',
    args: {
      team: { type: 'string', description: 'Only this team' },
      from: { type: 'string', description: 'First hour, as 2026-03-01T00:00:00Z' },
      to: { type: 'string', description: 'End, not included' },
      csv: { type: 'boolean', description: 'Same as --format csv' },
      format: {
        type: 'enum',
        options: ['table', 'csv', 'html'],
        default: 'table',
        description: 'html is a page with plots for readers outside',
      },
      output: { type: 'string', description: 'File to write, with --format csv or html' },
    },
    examples: [
      'chicorybend usage',
      'chicorybend usage --team harbour --from 2026-03-01T00:00:00Z --csv',
      'chicorybend usage --format html --output usage.html',
    ],
    run: (session, args) => showUsage(session, args),
  });
}
