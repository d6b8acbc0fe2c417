import { Err } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';
import type { CommandDef } from 'citty';

import { createCommand, createGroup } from './commandLine.js';
import type { CommandContext } from './commandLine.js';
import { usageProblem } from './problem.js';
import { DONE, formatTime, showRows } from './session.js';
import type { CommandOutcome, Session } from './session.js';

/** Rows of all partitions that could be read, and the partitions that could not be read in full. */
export interface PartitionReport<Row> {
  readonly rows: readonly Row[];
  readonly missing: readonly { readonly partition: number; readonly reason: string }[];
}

interface WorkerRow {
  readonly workerId: string;
  readonly partition: number;
  readonly state: string;
  readonly capacity: Resources;
  readonly free: Resources;
  readonly runningTasks: number;
}

interface DaemonRow {
  readonly daemonId: string;
  readonly state: string;
  readonly dataCentre: string;
  readonly apiAddress: string;
  readonly partitions?: readonly number[];
  readonly configurationRevision?: number;
  readonly isFresh?: boolean;
}

interface AuditRow {
  readonly sequence: number;
  readonly at: number;
  readonly operator: string;
  readonly action: string;
  readonly subject: string | null;
  readonly fromRevision: number;
  readonly toRevision: number;
  readonly sections: readonly string[];
}

const BYTES_PER_GIBIBYTE = 1_073_741_824;

/** Prints a warning for each partition that is not in the report or only in part. */
export function warnOfMissingPartitions(session: Session, report: PartitionReport<unknown>): void {
  report.missing.forEach(({ partition, reason }) =>
    session.environment.printError(
      `Partition ${partition} is missing from the report, or part of it: ${reason}`,
    ),
  );
}

/**
 * Prints the rows of all partitions and warns of partitions that are missing.
 *
 * @param toCells converts a row to its table cells
 */
export function showReport<Row>(
  session: Session,
  report: PartitionReport<Row>,
  columnTitles: readonly string[],
  toCells: (row: Row) => readonly (string | number)[],
): CommandOutcome {
  warnOfMissingPartitions(session, report);
  return showRows(session, report, columnTitles, report.rows.map(toCells));
}

function formatResources(resources: Resources): string {
  const { processors, memoryBytes, accelerators } = resources;
  const gibibytes = Math.round((memoryBytes / BYTES_PER_GIBIBYTE) * 100) / 100;
  return `${processors} cores, ${gibibytes} GiB, ${accelerators} accelerators`;
}

async function liftQuarantine(session: Session, workerId: string): Promise<CommandOutcome> {
  const response = await session.callAsOperator<WorkerRow>({
    method: 'POST',
    path: `/v1/workers/${encodeURIComponent(workerId)}/lift`,
  });
  if (response.isErr()) return response;
  session.show(
    response.value,
    `The quarantine of worker ${workerId} is lifted. Its state is ${response.value.state}.`,
  );
  return DONE;
}

/** @returns group `workers` */
export function createWorkerCommands(context: CommandContext): CommandDef {
  return createGroup('workers', 'Workers', {
    lift: createCommand(context, {
      name: 'lift',
      description: 'Lift the quarantine of a worker; remove its cause first',
      args: { id: { type: 'positional', description: 'Worker id', required: true } },
      examples: ['chicorybend workers lift worker-01'],
      run: (session, args) => liftQuarantine(session, args.id),
    }),
    list: createCommand(context, {
      name: 'list',
      description: 'List the workers',
      examples: ['chicorybend workers list'],
      async run(session) {
        const response = await session.callAsOperator<PartitionReport<WorkerRow>>({
          method: 'GET',
          path: '/v1/workers',
        });
        if (response.isErr()) return response;
        return showReport(
          session,
          response.value,
          ['worker', 'partition', 'state', 'capacity', 'free', 'tasks'],
          (row) => [
            row.workerId,
            row.partition,
            row.state,
            formatResources(row.capacity),
            formatResources(row.free),
            row.runningTasks,
          ],
        );
      },
    }),
  });
}

async function listDaemons(session: Session): Promise<CommandOutcome> {
  const response = await session.callAsOperator<{ rows: readonly DaemonRow[] }>({
    method: 'GET',
    path: '/v1/daemons',
  });
  if (response.isErr()) return response;
  const rows = response.value.rows.map((row) => [
    row.daemonId,
    row.state,
    row.dataCentre,
    row.apiAddress,
    row.partitions?.join(' ') ?? '-',
    row.configurationRevision ?? '-',
    row.isFresh === undefined ? '-' : String(row.isFresh),
  ]);
  return showRows(
    session,
    response.value,
    ['daemon', 'state', 'data centre', 'address', 'partitions', 'revision', 'fresh'],
    rows,
  );
}

async function drainDaemon(session: Session, daemonId: string): Promise<CommandOutcome> {
  const response = await session.callAsOperator({
    method: 'POST',
    path: `/v1/daemons/${encodeURIComponent(daemonId)}/drain`,
  });
  if (response.isErr()) return response;
  session.show(
    response.value,
    `Daemon ${daemonId} is draining. "chicorybend daemons list" shows it.`,
  );
  return DONE;
}

/** @returns group `daemons` */
export function createDaemonCommands(context: CommandContext): CommandDef {
  return createGroup('daemons', 'Daemons', {
    list: createCommand(context, {
      name: 'list',
      description: 'List the daemons of the cell',
      examples: ['chicorybend daemons list'],
      run: listDaemons,
    }),
    drain: createCommand(context, {
      name: 'drain',
      description: 'Stop a daemon without interrupting a request',
      args: { id: { type: 'positional', description: 'Daemon id', required: true } },
      examples: ['chicorybend daemons drain entry-1'],
      run: (session, args) => drainDaemon(session, args.id),
    }),
  });
}

async function showAudit(session: Session, limit: string): Promise<CommandOutcome> {
  if (!/^[1-9]\d*$/.test(limit)) return Err(usageProblem('--limit must be a whole number.'));
  const response = await session.callAsOperator<{ entries: readonly AuditRow[] }>({
    method: 'GET',
    path: `/v1/audit?limit=${limit}`,
  });
  if (response.isErr()) return response;
  const rows = response.value.entries.map((entry) => [
    entry.sequence,
    formatTime(entry.at),
    entry.operator,
    entry.action,
    entry.subject ?? '-',
    `${entry.fromRevision} -> ${entry.toRevision}`,
    entry.sections.join(', '),
  ]);
  return showRows(
    session,
    response.value,
    ['number', 'time', 'operator', 'action', 'subject', 'revision', 'sections'],
    rows,
  );
}

/** @returns command `audit` */
export function createAuditCommand(context: CommandContext): CommandDef {
  return createCommand(context, {
    name: 'audit',
    description: 'What operators did, newest first',
    args: { limit: { type: 'string', description: 'Number of entries', default: '100' } },
    examples: ['chicorybend audit', 'chicorybend audit --limit 10 --json'],
    run: (session, args) => showAudit(session, args.limit),
  });
}
