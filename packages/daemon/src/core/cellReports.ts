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

/** Time for one daemon's part of a report, in milliseconds. */
const REPORT_TIMEOUT_MILLISECONDS = 2_000;

/** A partition that is not, or not wholly, part of a report. */
export interface MissingPartition {
  readonly partition: number;
  readonly reason: string;
}

/** Rows of all partitions that answered. */
export interface PartitionReport<Row> {
  readonly rows: readonly Row[];
  readonly missing: readonly MissingPartition[];
}

/** A daemon as it describes itself, or why it did not answer. */
export type DaemonReport =
  | DaemonView
  | {
      readonly daemonId: string;
      readonly state: 'unreachable';
      readonly dataCentre: string;
      readonly apiAddress: string;
      readonly reason: string;
    };

/** Which rows of usage an operator wants. */
export interface UsageFilter {
  readonly team?: string | undefined;
  /** Wall-clock times in milliseconds since the Unix epoch; `to` is not included. */
  readonly from?: number | undefined;
  readonly to?: number | undefined;
}

/** Reports collected from all daemons. */
export interface CellReports {
  daemons(): Promise<readonly DaemonReport[]>;
  workers(): Promise<PartitionReport<WorkerView>>;
  jobs(team: string | null): Promise<PartitionReport<JobView>>;
  usage(filter: UsageFilter): Promise<PartitionReport<UsageRow>>;
}

/** What the reports are collected with. */
export interface CellReportsOptions {
  readonly link: PeerLink;
  readonly membership: Pick<MembershipView, 'record'>;
  readonly directory: PartitionDirectory;
}

type PartitionMethod = 'worker.list' | 'job.list' | 'usage.report';

/** Answer of one partition, or why there is none. */
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
    rows: answers.flatMap((part) => ('answer' in part ? rowsOf(part.answer) : [])),
    missing: answers.flatMap((part) =>
      'failure' in part ? [{ partition: part.partition, reason: part.failure.message }] : [],
    ),
  };
}

function reportUnmeasuredRuns(part: PartitionAnswer<PartitionUsage>): readonly MissingPartition[] {
  if ('failure' in part || part.answer.unmeasured === 0) return [];
  const { message } = createFailure('usage-incomplete', { count: part.answer.unmeasured });
  return [{ partition: part.partition, reason: message }];
}

/**
 * Creates the reports over all daemons.
 *
 * @param options link, membership and partitions
 * @returns the reports
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
