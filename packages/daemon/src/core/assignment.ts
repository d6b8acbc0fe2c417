import { hashText } from '@chicorybend/common';

/**
 * Computes the intended owner of each partition by rendezvous hashing: the daemon with the highest score among those
 * with fewer than ceil(partitions / daemons) partitions. The limit keeps the daemons evenly loaded, and the hashing
 * moves few partitions when a daemon joins or leaves.
 *
 * @param partitionCount number of partitions
 * @param daemonIds daemons that can own partitions
 * @returns daemon identity by partition number; empty if there are no daemons
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
