import type { Punctuality } from '@chicorybend/decisions';

/**
 * Why a round did not start a task: team limit, no endpoint with room, no ticket yet, steps that come first, or no
 * quiet endpoint for its trial before that of other tasks is over.
 */
export type BlockingReason = 'limit' | 'room' | 'advice' | 'turn' | 'trial';

/** Counts the tasks that wait after a round. */
export interface WaitingTasks {
  add(queue: string, reason: BlockingReason, punctuality: Punctuality, tasks: number): void;
  /** Begins a new round. */
  clear(): void;
  isEmpty(): boolean;
  /** @returns number of tasks by `<queue>/<reason>`, and by what their job can still reach */
  describe(): {
    readonly tasks: Readonly<Record<string, number>>;
    readonly byPunctuality: Readonly<Record<Punctuality, number>>;
  };
}

/** Creates counts of a round in which no task waits. */
export function createWaitingTasks(): WaitingTasks {
  const byReason = new Map<string, number>();
  const byPunctuality: Record<Punctuality, number> = { 'on-time': 0, late: 0, overdue: 0 };

  return {
    add(queue, reason, punctuality, tasks) {
      const key = `${queue}/${reason}`;
      byReason.set(key, (byReason.get(key) ?? 0) + tasks);
      byPunctuality[punctuality] += tasks;
    },
    clear() {
      byReason.clear();
      Object.assign(byPunctuality, { 'on-time': 0, late: 0, overdue: 0 });
    },
    isEmpty: () => byReason.size === 0,
    describe: () => ({
      tasks: Object.fromEntries(byReason),
      byPunctuality: { ...byPunctuality },
    }),
  };
}
