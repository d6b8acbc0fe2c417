import { hashText } from '@chicorybend/common';

import type { Member } from '../types/membershipView.js';
import type { OwnerRecord } from './ownerRecord.js';

/**
 * Computes which daemon is meant to own each partition: the highest rendezvous score among daemons that still have
 * room under ceil(partitions / daemons), so that loads differ little and a change of the daemons moves few
 * partitions.
 *
 * @param partitionCount number of partitions
 * @param daemonIds daemons to assign to
 * @returns daemon of each partition; empty if there is none
 */
export function assignPartitions(
  partitionCount: number,
  daemonIds: readonly string[],
): readonly string[] {
  if (daemonIds.length === 0) return [];
  const room = Math.ceil(partitionCount / daemonIds.length);
  const counts = new Map<string, number>();
  return Array.from({ length: partitionCount }, (_, partition) => {
    const candidates = daemonIds.filter((daemonId) => (counts.get(daemonId) ?? 0) < room);
    const [chosen = ''] = candidates
      .map((daemonId) => ({ daemonId, score: hashText(`${daemonId}/partition/${partition}`) }))
      .sort((left, right) => right.score - left.score || (left.daemonId < right.daemonId ? -1 : 1))
      .map(({ daemonId }) => daemonId);
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    return chosen;
  });
}

/**
 * Tells whether nothing is left to claim or to hand over: each partition belongs to the live process that it is
 * meant for.
 *
 * @param assignment daemon of each partition
 * @param owners owner records by partition
 * @param liveMembers processes that are live
 * @returns whether all owners are as assigned
 */
export function isAsAssigned(
  assignment: readonly string[],
  owners: ReadonlyMap<number, OwnerRecord>,
  liveMembers: readonly Member[],
): boolean {
  const incarnations = new Map(
    liveMembers.map(({ daemonId, incarnation }) => [daemonId, incarnation]),
  );
  const isOwned = assignment.every((intended, partition) => {
    const owner = owners.get(partition);
    return owner?.daemonId === intended && owner.incarnation === incarnations.get(intended);
  });
  return isOwned && assignment.length > 0;
}
