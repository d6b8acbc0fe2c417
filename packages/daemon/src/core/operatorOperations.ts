/**
 * Operations of operators on daemons, workers and jobs.
 */
import { createFailure, Err, partitionOf } from '@chicorybend/common';
import type { Clock, Failure, JobView, Result } from '@chicorybend/common';

import type { AuditAction, OperatorIdentity } from '../types/configurationRecords.js';
import type { MembershipView } from '../types/membershipView.js';
import type { PartitionDirectory } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import type { WorkerView } from '../types/peerMethods.js';
import type { ConfigurationService } from './configurationService.js';
import { createPeerFailure } from '../utils/peerFailures.js';
import { createOwnerCaller } from './ownerCall.js';

const DRAIN_CALL_TIMEOUT_MILLISECONDS = 2_000;
/** Long enough for a handover of the partition; after a takeover the operator must repeat the operation. */
const OWNER_CALL_TIMEOUT_MILLISECONDS = 3_000;
/** Permission to change this section includes the operations on daemons, workers and jobs. */
const OPERATION_SECTION = 'cell';

export interface OperatorOperationsOptions {
  readonly clock: Clock;
  readonly configuration: Pick<ConfigurationService, 'record'>;
  readonly link: PeerLink;
  readonly membership: Pick<MembershipView, 'record'>;
  readonly directory: PartitionDirectory;
}

/** Operations of operators. Each is recorded before it is performed, so that none is missing from the audit trail. */
export interface OperatorOperations {
  drainDaemon(
    operator: OperatorIdentity,
    daemonId: string,
  ): Promise<Result<{ daemonId: string; state: string }, Failure>>;
  /** Lifts the quarantine of a worker. */
  liftQuarantine(
    operator: OperatorIdentity,
    workerId: string,
  ): Promise<Result<WorkerView, Failure>>;
  /** Releases a held job, so that it continues. */
  releaseJob(operator: OperatorIdentity, jobId: string): Promise<Result<JobView, Failure>>;
}

export function createOperatorOperations(options: OperatorOperationsOptions): OperatorOperations {
  const { clock, configuration, link, membership, directory } = options;
  const callOwner = createOwnerCaller(options);

  function record(
    operator: OperatorIdentity,
    action: AuditAction,
    subject: string,
  ): Promise<Result<void, Failure>> {
    return configuration.record({ operator, action, subject, section: OPERATION_SECTION });
  }

  return {
    async drainDaemon(operator, daemonId) {
      const isMember = membership.record()?.members.some((member) => member.daemonId === daemonId);
      if (!isMember) return Err(createFailure('unknown-daemon', { daemonId }));
      const recorded = await record(operator, 'daemon.drain', daemonId);
      if (recorded.isErr()) return recorded;
      const answer = await link.call(daemonId, 'daemon.drain', {}, DRAIN_CALL_TIMEOUT_MILLISECONDS);
      return answer
        .map(() => ({ daemonId, state: 'draining' }))
        .mapErr((error) => createPeerFailure(daemonId, error));
    },
    async liftQuarantine(operator, workerId) {
      const recorded = await record(operator, 'worker.lift', workerId);
      if (recorded.isErr()) return recorded;
      const partition = partitionOf(workerId, directory.partitionCount);
      const params = { workerPartition: partition, workerId };
      const deadlineAt = clock.monotonicMilliseconds() + OWNER_CALL_TIMEOUT_MILLISECONDS;
      return callOwner({ partition, method: 'worker.lift', params, deadlineAt });
    },
    async releaseJob(operator, jobId) {
      const partition = /^\d{1,4}-/.test(jobId) ? Number.parseInt(jobId, 10) : Infinity;
      if (partition >= directory.partitionCount) {
        return Err(createFailure('unknown-job', { jobId }));
      }
      const recorded = await record(operator, 'job.release', jobId);
      if (recorded.isErr()) return recorded;
      const deadlineAt = clock.monotonicMilliseconds() + OWNER_CALL_TIMEOUT_MILLISECONDS;
      return callOwner({ partition, method: 'job.release', params: { jobId }, deadlineAt });
    },
  };
}
