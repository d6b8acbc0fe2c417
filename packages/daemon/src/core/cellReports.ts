import { createFailure } from '@chicorybend/common';
import type { Failure, JobView } from '@chicorybend/common';

import type { MembershipView } from '../types/membershipView.js';
import type { PartitionDirectory } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import type {
  DaemonView,
  PartitionUsage,
  PeerMethods,
  UsageRow,
  WorkerView,
} from '../types/peerMethods.js';
import { createPeerFailure } from '../utils/peerFailures.js';

/** Time limit for the answer of one daemon or partition to a report, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 2_000;

/** A partition whose rows are missing from a report or incomplete, with the reason. */
export interface MissingPartition {
  readonly partition: number;
  readonly reason: string;
}

/** Rows of all partitions that answered, and the partitions that are missing or incomplete. */
export interface PartitionReport<Row> {
  readonly rows: readonly Row[];
  readonly missing: readonly MissingPartition[];
}

/** State of a daemon as it reports it, or why it did not answer. */
export type DaemonReport =
  | DaemonView
  | {
      readonly daemonId: string;
      readonly state: 'unreachable';
      readonly dataCentre: string;
      readonly apiAddress: string;
      readonly reason: string;
    };

/** Selects the rows of a usage report. */
export interface UsageFilter {
  readonly team?: string | undefined;
  /** Wall-clock times in milliseconds since the Unix epoch; `from` is inclusive, `to` exclusive. */
  readonly from?: number | undefined;
  readonly to?: number | undefined;
}

/** Reports for operators, collected from all daemons and partitions of the cell. */
export interface CellReports {
  daemons(): Promise<readonly DaemonReport[]>;
  workers(): Promise<PartitionReport<WorkerView>>;
  jobs(team: string | null): Promise<PartitionReport<JobView>>;
  usage(filter: UsageFilter): Promise<PartitionReport<UsageRow>>;
}

export interface CellReportsOptions {
  readonly link: PeerLink;
  readonly membership: Pick<MembershipView, 'record'>;
  readonly directory: PartitionDirectory;
}

type PartitionMethod = 'worker.list' | 'job.list' | 'usage.report';

/** Answer of one partition, or the failure of the call. */
type PartitionAnswer<Answer> =
  | { readonly partition: number; readonly answer: Answer }
  | { readonly partition: number; readonly failure: Failure };

function mergeUsage(rows: readonly UsageRow[]): readonly UsageRow[] {
  const merged = new Map<string, UsageRow>();
  rows.forEach((row) => {
    const key = `${row.team}/${row.queue}/${row.hour}`;
    const sum = merged.get(key);
    merged.set(key, {
      team: row.team,
      queue: row.queue,
      hour: row.hour,
      processorSeconds: (sum?.processorSeconds ?? 0) + row.processorSeconds,
      memoryByteSeconds: (sum?.memoryByteSeconds ?? 0) + row.memoryByteSeconds,
      acceleratorSeconds: (sum?.acceleratorSeconds ?? 0) + row.acceleratorSeconds,
      tasks: (sum?.tasks ?? 0) + row.tasks,
    });
  });
  return [...merged.values()].sort(
    (left, right) =>
      left.hour - right.hour ||
      left.team.localeCompare(right.team) ||
      left.queue.localeCompare(right.queue),
  );
}

function matchesFilter(row: UsageRow, filter: UsageFilter): boolean {
  const matchesTeam = filter.team === undefined || row.team === filter.team;
  return matchesTeam && row.hour >= (filter.from ?? 0) && row.hour < (filter.to ?? Infinity);
}

function combineAnswers<Answer, Row>(
  answers: readonly PartitionAnswer<Answer>[],
  rowsOf: (answer: Answer) => readonly Row[],
): PartitionReport<Row> {
  return {
    rows: answers.flatMap((entry) => ('answer' in entry ? rowsOf(entry.answer) : [])),
    missing: answers.flatMap((entry) =>
      'failure' in entry ? [{ partition: entry.partition, reason: entry.failure.message }] : [],
    ),
  };
}

function reportUnmeasuredRuns(entry: PartitionAnswer<PartitionUsage>): readonly MissingPartition[] {
  if ('failure' in entry || entry.answer.unmeasured === 0) return [];
  const { message } = createFailure('usage-incomplete', { count: entry.answer.unmeasured });
  return [{ partition: entry.partition, reason: message }];
}

/**
 * Creates the reports. A daemon or partition that does not answer within the time limit is named in the report
 * and does not fail it.
 */
export function createCellReports(options: CellReportsOptions): CellReports {
  const { link, membership, directory } = options;

  async function readPartition<Method extends PartitionMethod>(
    partition: number,
    method: Method,
    params: PeerMethods[Method]['params'],
  ): Promise<PartitionAnswer<PeerMethods[Method]['result']>> {
    const owner = directory.ownerOf(partition);
    if (!owner) return { partition, failure: createFailure('no-owner', { partition }) };
    const answer = await link.call(owner.daemonId, method, params, REPORT_TIMEOUT_MILLISECONDS);
    if (answer.isOk()) return { partition, answer: answer.value };
    const failure = createPeerFailure(owner.daemonId, answer.error);
    if (failure.code === 'not-owner') directory.refreshOwner(partition);
    return { partition, failure };
  }

  async function readAllPartitions<Method extends PartitionMethod>(
    method: Method,
    paramsOf: (partition: number) => PeerMethods[Method]['params'],
  ): Promise<readonly PartitionAnswer<PeerMethods[Method]['result']>[]> {
    const partitions = Array.from({ length: directory.partitionCount }, (_, index) => index);
    return Promise.all(
      partitions.map((partition) => readPartition(partition, method, paramsOf(partition))),
    );
  }

  return {
    daemons() {
      const members = membership.record()?.members ?? [];
      return Promise.all(
        members.map(async (member): Promise<DaemonReport> => {
          const { daemonId, dataCentre, apiAddress } = member;
          const answer = await link.call(daemonId, 'daemon.read', {}, REPORT_TIMEOUT_MILLISECONDS);
          if (answer.isOk()) return answer.value;
          const reason = createPeerFailure(daemonId, answer.error).message;
          return { daemonId, state: 'unreachable', dataCentre, apiAddress, reason };
        }),
      );
    },
    async workers() {
      const answers = await readAllPartitions('worker.list', (partition) => ({ partition }));
      return combineAnswers(answers, (rows) => rows);
    },
    async jobs(team) {
      const answers = await readAllPartitions('job.list', (partition) => ({ partition, team }));
      return combineAnswers(answers, (rows) => rows);
    },
    async usage(filter) {
      const answers = await readAllPartitions('usage.report', (partition) => ({ partition }));
      const report = combineAnswers(answers, ({ rows }) => rows);
      return {
        rows: mergeUsage(report.rows.filter((row) => matchesFilter(row, filter))),
        missing: [...report.missing, ...answers.flatMap(reportUnmeasuredRuns)],
      };
    },
  };
}
