/**
 * What the parts of a job partition share.
 */
import type { Clock, Counters, Log } from '@chicorybend/common';

import type { PartitionDirectory, PartitionLoadView } from '../types/partition.js';
import type { VmDirectory } from '../types/vmDirectory.js';
import type { CallPartition } from '../utils/partitionCalls.js';

import type { JobPartition } from './jobPartition.js';

/** What the parts of a job partition share. */
export interface JobPartitionContext {
  readonly partition: JobPartition;
  readonly callPartition: CallPartition;
  readonly directory: PartitionDirectory;
  readonly loadBoard: PartitionLoadView;
  readonly vmDirectory: VmDirectory;
  readonly clock: Clock;
  readonly random: () => number;
  readonly counters: Counters;
  readonly log: Log;
}

/**
 * @param context parts of the partition
 * @returns whether the partition's owner may send now
 */
export function maySend({ partition }: JobPartitionContext): boolean {
  return !partition.isClosed() && partition.lease.mayAct();
}
