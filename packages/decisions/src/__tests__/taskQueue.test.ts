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

/** Dominant share over the team's part of all weights, recomputed from all starts. */
function computeShare(team: string, started: readonly WorkItem[]): number {
  const own = started.filter((work) => work.team === team);
  const processors = own.reduce((sum, work) => sum + work.resources.processors, 0);
  const memoryBytes = own.reduce((sum, work) => sum + work.resources.memoryBytes, 0);
  const dominant = Math.max(processors / CAPACITY.processors, memoryBytes / CAPACITY.memoryBytes);
  return (dominant * TOTAL_SHARES) / SHARES[team as keyof typeof SHARES];
}

ORDERS.forEach((order) => {
  test(`${order}: work leaves in the order of a naive sort, without aging`, (t) => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const queue = createQueue(order);
        const policy = createQueueOrderPolicy(order);
        const started: WorkItem[] = [];
        let waiting: WorkItem[] = [];
        let now = 500;
        steps.forEach((step, index) => {
          if (step.kind === 'add') {
            const work = createWorkItem(`work-${index}`, step.options);
            queue.add(work);
            waiting.push(work);
          } else if (step.kind === 'remove') {
            const work = waiting[step.pick % Math.max(1, waiting.length)];
            if (work && !queue.remove(work.workId)) throw new Error('known work was not removed');
            if (work && queue.remove(work.workId)) throw new Error('work was removed twice');
            waiting = waiting.filter((other) => other !== work);
          } else {
            now += step.elapsed;
            const taken = queue.take(now, (team) => !step.ineligibleTeams.includes(team));
            const expected = listAllowedHeads(waiting, step.ineligibleTeams, now, (work) =>
              policy.rank(computeShare(work.team, started), now - work.enqueuedAt),
            );
            checkTakenItem(taken, expected);
            if (taken) {
              queue.recordStart(taken);
              started.push(taken);
              waiting = waiting.filter((other) => other !== taken);
            }
          }
          if (queue.size() !== waiting.length) throw new Error('the size is wrong');
        });
      }),
      PROPERTY_PARAMETERS,
    );
    t.pass();
  });
});

interface RankedItem {
  readonly work: WorkItem;
  readonly rank: number;
}

/** All pieces of work that a naive sort allows to go first. */
function listAllowedHeads(
  waiting: readonly WorkItem[],
  barred: readonly string[],
  now: number,
  rankOf: (work: WorkItem) => number,
): readonly RankedItem[] {
  const due = waiting.filter((work) => work.notBefore <= now && !barred.includes(work.team));
  const priority = PRIORITIES.find((candidate) => due.some((work) => work.priority === candidate));
  const heads = TEAMS.flatMap((team) => {
    const line = due.filter((work) => work.priority === priority && work.team === team);
    const oldest = Math.min(...line.map((work) => work.enqueuedAt));
    return line.filter((work) => work.enqueuedAt === oldest);
  }).map((work) => ({ work, rank: rankOf(work) }));
  const lowest = Math.min(...heads.map(({ rank }) => rank));
  // Sums in another order differ in the last digits.
  return heads.filter(({ rank }) => rank - lowest <= 1e-9 * Math.abs(lowest));
}

function checkTakenItem(taken: WorkItem | null, expected: readonly RankedItem[]): void {
  const isExpected = taken ? expected.some(({ work }) => work === taken) : expected.length === 0;
  if (!isExpected) {
    const names = expected.map(({ work }) => work.workId).join();
    throw new Error(`${taken?.workId ?? 'nothing'} was taken instead of ${names}`);
  }
}

test('a flood of urgent work cannot starve overnight work past the aging bound', (t) => {
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
        // Each overdue head waits for at most the other overdue heads, every second take is theirs.
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

test('a backlog of overdue work does not hold urgent work back by more than one take each', (t) => {
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

test('with aged work everywhere the shares still decide, instead of plain age', (t) => {
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

test('shares of teams that always have work converge to their weights', (t) => {
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
        // The difference of the weighted shares never exceeds one task, but for rounding.
        const difference = Math.abs(used[0]! / weights[0] - used[1]! / weights[1]);
        const largestTask = Math.max(processors[0]! / weights[0], processors[1]! / weights[1]);
        return difference <= largestTask + 1e-9;
      },
    ),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('reported usage replaces the starts that were counted since the last report', (t) => {
  const queue = createQueue('share-first');
  queue.recordStart(createWorkItem('earlier', { team: 'alder' }));
  queue.add(createWorkItem('a', { team: 'alder' }));
  queue.add(createWorkItem('b', { team: 'birch', enqueuedAt: 1 }));
  queue.setUsage({ birch: { processors: 10, memoryBytes: 10, accelerators: 0 } });
  t.is(queue.take(10, EVERY_TEAM)?.team, 'alder');
});

test('work is not tried again before its time and keeps its place by age', (t) => {
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

test('the same work added twice is queued once', (t) => {
  const queue = createQueue('share-first');
  queue.add(createWorkItem('a'));
  queue.add(createWorkItem('a', { notBefore: 20 }));
  t.is(queue.size(), 1);
  t.is(queue.take(10, EVERY_TEAM), null);
  t.is(queue.take(20, EVERY_TEAM)?.workId, 'a');
});

test('a policy set later orders the work that is queued already', (t) => {
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
