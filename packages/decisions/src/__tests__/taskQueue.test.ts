import test from 'ava';
import fc from 'fast-check';

import type { Resources } from '@chicorybend/common';

import { createQueueOrderPolicy, createTaskQueue } from '../index.js';
import type { WorkItem, QueueOrderName, QueuePriority, TaskQueue } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const CAPACITY: Resources = { processors: 100, memoryBytes: 1_000, accelerators: 10 };
const AGING_MILLISECONDS = 1_000;
const NEVER_MILLISECONDS = Number.MAX_SAFE_INTEGER;
const TEAMS = ['alder', 'birch', 'cedar', 'durian'];
const SHARES = { alder: 1, birch: 2, cedar: 4, durian: 1 };
const PRIORITIES: readonly QueuePriority[] = ['urgent', 'normal', 'overnight'];
const ORDERS: readonly QueueOrderName[] = ['share-first', 'waiting-time-first'];
const EVERY_TEAM = (): boolean => true;

interface WorkItemOptions {
  readonly team?: string;
  readonly priority?: QueuePriority;
  readonly enqueuedAt?: number;
  readonly notBefore?: number;
  readonly resources?: Resources;
}

function createWorkItem(workId: string, options: WorkItemOptions = {}): WorkItem {
  return {
    workId,
    jobId: `job-of-${workId}`,
    team: options.team ?? 'alder',
    priority: options.priority ?? 'normal',
    resources: options.resources ?? { processors: 1, memoryBytes: 1, accelerators: 0 },
    taskCount: 1,
    enqueuedAt: options.enqueuedAt ?? 0,
    notBefore: options.notBefore ?? 0,
  };
}

function createQueue(order: QueueOrderName, agingMilliseconds = NEVER_MILLISECONDS): TaskQueue {
  const queue = createTaskQueue(createQueueOrderPolicy(order), { agingMilliseconds });
  queue.setCapacity(CAPACITY);
  queue.setShares(SHARES);
  return queue;
}

const workItemArbitrary = fc.record({
  team: fc.constantFrom(...TEAMS),
  priority: fc.constantFrom(...PRIORITIES),
  enqueuedAt: fc.nat(500),
  notBefore: fc.oneof(fc.constant(0), fc.nat(900)),
});

type Step =
  | { readonly kind: 'add'; readonly options: WorkItemOptions }
  | { readonly kind: 'take'; readonly ineligibleTeams: readonly string[]; readonly elapsed: number }
  | { readonly kind: 'remove'; readonly pick: number };

const stepsArbitrary: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('add' as const), options: workItemArbitrary }),
    fc.record({
      kind: fc.constant('take' as const),
      ineligibleTeams: fc.subarray(TEAMS, { maxLength: 2 }),
      elapsed: fc.nat(60),
    }),
    fc.record({ kind: fc.constant('remove' as const), pick: fc.nat(100) }),
  ),
  { maxLength: 120 },
);

const TOTAL_SHARES = Object.values(SHARES).reduce((sum, share) => sum + share, 0);

/** Dominant share divided by the team's fraction of all weights, recomputed from all started items. */
function computeShare(team: string, started: readonly WorkItem[]): number {
  const own = started.filter((item) => item.team === team);
  const processors = own.reduce((sum, item) => sum + item.resources.processors, 0);
  const memoryBytes = own.reduce((sum, item) => sum + item.resources.memoryBytes, 0);
  const dominant = Math.max(processors / CAPACITY.processors, memoryBytes / CAPACITY.memoryBytes);
  return (dominant * TOTAL_SHARES) / SHARES[team as keyof typeof SHARES];
}

ORDERS.forEach((order) => {
  test(`${order}: without aging, items are taken in the same order as from a naive sort`, (t) => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const queue = createQueue(order);
        const policy = createQueueOrderPolicy(order);
        const started: WorkItem[] = [];
        let waiting: WorkItem[] = [];
        let now = 500;
        steps.forEach((step, index) => {
          if (step.kind === 'add') {
            const item = createWorkItem(`work-${index}`, step.options);
            queue.add(item);
            waiting.push(item);
          } else if (step.kind === 'remove') {
            const item = waiting[step.pick % Math.max(1, waiting.length)];
            if (item && !queue.remove(item.workId)) throw new Error('queued item was not removed');
            if (item && queue.remove(item.workId)) throw new Error('item was removed twice');
            waiting = waiting.filter((other) => other !== item);
          } else {
            now += step.elapsed;
            const taken = queue.take(now, (team) => !step.ineligibleTeams.includes(team));
            const expected = listAllowedHeads(waiting, step.ineligibleTeams, now, (item) =>
              policy.rank(computeShare(item.team, started), now - item.enqueuedAt),
            );
            checkTakenItem(taken, expected);
            if (taken) {
              queue.recordStart(taken);
              started.push(taken);
              waiting = waiting.filter((other) => other !== taken);
            }
          }
          if (queue.size() !== waiting.length) throw new Error('the size differs from the model');
        });
      }),
      PROPERTY_PARAMETERS,
    );
    t.pass();
  });
});

interface RankedItem {
  readonly item: WorkItem;
  readonly rank: number;
}

/** All items that may be taken first according to a naive sort. */
function listAllowedHeads(
  waiting: readonly WorkItem[],
  ineligibleTeams: readonly string[],
  now: number,
  rankOf: (item: WorkItem) => number,
): readonly RankedItem[] {
  const due = waiting.filter(
    (item) => item.notBefore <= now && !ineligibleTeams.includes(item.team),
  );
  const priority = PRIORITIES.find((candidate) => due.some((item) => item.priority === candidate));
  const heads = TEAMS.flatMap((team) => {
    const queued = due.filter((item) => item.priority === priority && item.team === team);
    const oldest = Math.min(...queued.map((item) => item.enqueuedAt));
    return queued.filter((item) => item.enqueuedAt === oldest);
  }).map((item) => ({ item, rank: rankOf(item) }));
  const lowest = Math.min(...heads.map(({ rank }) => rank));
  // Sums of floating-point numbers in another order differ in the last digits.
  return heads.filter(({ rank }) => rank - lowest <= 1e-9 * Math.abs(lowest));
}

function checkTakenItem(taken: WorkItem | null, expected: readonly RankedItem[]): void {
  const isExpected = taken ? expected.some(({ item }) => item === taken) : expected.length === 0;
  if (!isExpected) {
    const names = expected.map(({ item }) => item.workId).join();
    throw new Error(`${taken?.workId ?? 'nothing'} was taken instead of ${names}`);
  }
}

test('a constant stream of urgent items does not starve overnight items beyond the aging time', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 50 }),
      fc.integer({ min: 1, max: TEAMS.length }),
      fc.constantFrom(...ORDERS),
      (stepMilliseconds, overnightTeams, order) => {
        const queue = createQueue(order, AGING_MILLISECONDS);
        const lastServed = new Map(TEAMS.slice(0, overnightTeams).map((team) => [team, 0]));
        [...lastServed.keys()].forEach((team) => {
          for (let index = 0; index < 50; index += 1) {
            queue.add(createWorkItem(`${team}-${index}`, { team, priority: 'overnight' }));
          }
        });
        // Every second take is of an overdue head, so that a head waits for two takes per overdue team.
        const bound = AGING_MILLISECONDS + 2 * overnightTeams * stepMilliseconds;
        for (let now = 0; now < 6 * AGING_MILLISECONDS; now += stepMilliseconds) {
          queue.add(createWorkItem(`urgent-${now}`, { priority: 'urgent', enqueuedAt: now }));
          const taken = queue.take(now, EVERY_TEAM)!;
          if (taken.priority === 'overnight') lastServed.set(taken.team, now);
          lastServed.forEach((servedAt, team) => {
            if (now - servedAt > bound) throw new Error(`${team} was passed over too long`);
          });
        }
      },
    ),
    { ...PROPERTY_PARAMETERS, numRuns: 30 },
  );
  t.pass();
});

test('a backlog of overdue items delays each urgent item by at most one take', (t) => {
  const queue = createQueue('share-first', AGING_MILLISECONDS);
  for (let index = 0; index < 1_000; index += 1) {
    queue.add(createWorkItem(`old-${index}`, { team: TEAMS[index % 4]!, priority: 'overnight' }));
  }
  const now = 10 * AGING_MILLISECONDS;
  for (let index = 0; index < 10; index += 1) {
    queue.add(createWorkItem(`urgent-${index}`, { priority: 'urgent', enqueuedAt: now }));
  }
  const first = Array.from({ length: 20 }, () => queue.take(now, EVERY_TEAM)!.priority);
  t.is(first.filter((priority) => priority === 'urgent').length, 10);
});

test('when the items of all teams are overdue, shares still determine the order instead of age', (t) => {
  const queue = createQueue('share-first', AGING_MILLISECONDS);
  for (let index = 0; index < 2_000; index += 1) {
    queue.add(createWorkItem(`a-${index}`, { team: 'alder', enqueuedAt: 0 }));
    queue.add(createWorkItem(`c-${index}`, { team: 'cedar', enqueuedAt: 1 }));
  }
  const counts: Record<string, number> = { alder: 0, cedar: 0 };
  for (let index = 0; index < 500; index += 1) {
    const taken = queue.take(100 * AGING_MILLISECONDS + index, EVERY_TEAM)!;
    queue.recordStart(taken);
    counts[taken.team]! += 1;
  }
  t.true(Math.abs(counts.cedar! / counts.alder! - 4) < 0.1, JSON.stringify(counts));
});

test('usage of teams that always have queued items converges to their weights', (t) => {
  fc.assert(
    fc.property(
      fc.tuple(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 8 })),
      fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 2, maxLength: 2 }),
      (weights, processors) => {
        const queue = createQueue('share-first');
        queue.setShares({ alder: weights[0], birch: weights[1] });
        const used = [0, 0];
        ['alder', 'birch'].forEach((team, index) => {
          const resources = { processors: processors[index]!, memoryBytes: 1, accelerators: 0 };
          for (let task = 0; task < 600; task += 1) {
            queue.add(createWorkItem(`${team}-${task}`, { team, resources }));
          }
        });
        for (let task = 0; task < 400; task += 1) {
          const taken = queue.take(0, EVERY_TEAM)!;
          queue.recordStart(taken);
          used[taken.team === 'alder' ? 0 : 1]! += taken.resources.processors;
        }
        // The weighted usages differ by at most one task, apart from rounding.
        const difference = Math.abs(used[0]! / weights[0] - used[1]! / weights[1]);
        const largestTask = Math.max(processors[0]! / weights[0], processors[1]! / weights[1]);
        return difference <= largestTask + 1e-9;
      },
    ),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('reported usage replaces the starts recorded since the previous report', (t) => {
  const queue = createQueue('share-first');
  queue.recordStart(createWorkItem('earlier', { team: 'alder' }));
  queue.add(createWorkItem('a', { team: 'alder' }));
  queue.add(createWorkItem('b', { team: 'birch', enqueuedAt: 1 }));
  queue.setUsage({ birch: { processors: 10, memoryBytes: 10, accelerators: 0 } });
  t.is(queue.take(10, EVERY_TEAM)?.team, 'alder');
});

test('a deferred item is not taken before its time and keeps its position by age', (t) => {
  const queue = createQueue('share-first');
  queue.add(createWorkItem('young', { enqueuedAt: 5 }));
  queue.add(createWorkItem('old', { enqueuedAt: 1, notBefore: 50 }));
  queue.add(createWorkItem('younger', { enqueuedAt: 6 }));
  t.is(queue.take(10, EVERY_TEAM)?.workId, 'young');
  t.is(queue.take(50, EVERY_TEAM)?.workId, 'old');
  t.deepEqual(queue.waitingCountByTeam(), { alder: 1 });
  t.is(queue.take(50, EVERY_TEAM)?.workId, 'younger');
  t.is(queue.take(50, EVERY_TEAM), null);
  t.deepEqual(queue.waitingCountByTeam(), {});
});

test('an item added twice is queued once, with the later values', (t) => {
  const queue = createQueue('share-first');
  queue.add(createWorkItem('a'));
  queue.add(createWorkItem('a', { notBefore: 20 }));
  t.is(queue.size(), 1);
  t.is(queue.take(10, EVERY_TEAM), null);
  t.is(queue.take(20, EVERY_TEAM)?.workId, 'a');
});

test('a change of the policy also applies to items that are already queued', (t) => {
  const queue = createQueue('waiting-time-first');
  queue.setUsage({ alder: { processors: 60, memoryBytes: 0, accelerators: 0 } });
  queue.add(createWorkItem('older', { team: 'alder', enqueuedAt: 0 }));
  queue.add(createWorkItem('newer', { team: 'durian', enqueuedAt: 990 }));
  queue.setPolicy(createQueueOrderPolicy('share-first'), { agingMilliseconds: NEVER_MILLISECONDS });
  t.is(queue.take(1_000, EVERY_TEAM)?.workId, 'newer');
  queue.add(createWorkItem('newest', { team: 'durian', enqueuedAt: 1_000 }));
  queue.setPolicy(createQueueOrderPolicy('share-first'), { agingMilliseconds: 500 });
  t.is(queue.take(1_001, EVERY_TEAM)?.workId, 'older');
});
