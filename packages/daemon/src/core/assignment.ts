import { hashText } from '@chicorybend/common';

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
  const maximumPerDaemon = Math.ceil(partitionCount / daemonIds.length);
  const counts = new Map<string, number>();
  return Array.from({ length: partitionCount }, (_, partition) => {
    const candidates = daemonIds.filter(
      (daemonId) => (counts.get(daemonId) ?? 0) < maximumPerDaemon,
    );
    const [chosen = ''] = candidates
      .map((daemonId) => ({ daemonId, score: hashText(`${daemonId}/partition/${partition}`) }))
      .sort((left, right) => right.score - left.score || (left.daemonId < right.daemonId ? -1 : 1))
      .map(({ daemonId }) => daemonId);
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    return chosen;
  });
}
