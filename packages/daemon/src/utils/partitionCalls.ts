import { createFailure, Err } from '@chicorybend/common';
import type { Result } from '@chicorybend/common';

import type { PartitionDirectory } from '../types/partition.js';
import type { PeerError, PeerLink, PeerMethod } from '../types/peer.js';
import type { PeerMethods } from '../types/peerMethods.js';

/** Calls the owner of a partition. A refusal of a daemon that is not the owner counts as not sent. */
export type CallPartition = <Method extends PeerMethod>(
  partition: number,
  method: Method,
  params: PeerMethods[Method]['params'],
  deadlineMilliseconds: number,
) => Promise<Result<PeerMethods[Method]['result'], PeerError>>;

/**
 * Creates the calls to owners of partitions.
 *
 * @param link calls between daemons
 * @param directory who owns what
 * @returns function that calls an owner
 */
export function createPartitionCalls(link: PeerLink, directory: PartitionDirectory): CallPartition {
  return async (partition, method, params, deadlineMilliseconds) => {
    const owner = directory.ownerOf(partition);
    if (!owner) {
      directory.refreshOwner(partition);
      return Err({ kind: 'not-sent', reason: createFailure('no-owner', { partition }).message });
    }
    const outcome = await link.call(owner.daemonId, method, params, deadlineMilliseconds);
    if (outcome.isErr() && isNotOwner(outcome.error)) {
      directory.refreshOwner(partition);
      return Err({ kind: 'not-sent', reason: 'the partition has moved' });
    }
    return outcome;
  };
}

function isNotOwner(error: PeerError): boolean {
  return error.kind === 'refused' && error.failure.code === 'not-owner';
}
