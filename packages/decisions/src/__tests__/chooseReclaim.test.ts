import test from 'ava';
import fc from 'fast-check';

import { chooseReclaim } from '../index.js';
import type {
  QueuePriority,
  ReclaimAction,
  ReclaimDemand,
  ReclaimInput,
  ReclaimableTask,
} from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const CAPACITY = { processors: 64, memoryBytes: 64, accelerators: 4 };
const RANK_BY_PRIORITY: Readonly<Record<QueuePriority, number>> = {
  urgent: 0,
  normal: 1,
  overnight: 2,
};
const TEAMS = ['over', 'far-over', 'under'];
const WORKERS = ['worker-0', 'worker-1', 'worker-2'];
const DIMENSIONS = ['processors', 'memoryBytes', 'accelerators'] as const;

const priorityArbitrary = fc.constantFrom<QueuePriority>('urgent', 'normal', 'overnight');

const resourcesArbitrary = fc.record({
  processors: fc.integer({ min: 1, max: 8 }),
  memoryBytes: fc.integer({ min: 1, max: 8 }),
  accelerators: fc.nat(1),
});

const taskArbitrary = fc.record({
  workerId: fc.constantFrom(...WORKERS),
  team: fc.constantFrom(...TEAMS),
  priority: priorityArbitrary,
  resources: resourcesArbitrary,
  throttleableProcessors: fc.constantFrom(0, 0, 0.5),
  unsavedMilliseconds: fc.nat(10_000),
  checkpointCostMilliseconds: fc.option(fc.nat(500)),
});

const demandArbitrary = fc.record({
  team: fc.constantFrom('under', 'other'),
  priority: priorityArbitrary,
  resources: resourcesArbitrary,
  enqueuedAt: fc.nat(100),
});

const inputArbitrary: fc.Arbitrary<ReclaimInput> = fc.record({
  demands: fc
    .array(demandArbitrary, { maxLength: 4 })
    .map((demands) => demands.map((demand, index) => ({ ...demand, workId: `demand-${index}` }))),
  tasks: fc
    .array(taskArbitrary, { maxLength: 14 })
    .map((tasks) => tasks.map((task, index) => ({ ...task, taskId: `task-${index}` }))),
  freeByWorker: fc.constant(
    Object.fromEntries(
      WORKERS.map((workerId) => [workerId, { processors: 1, memoryBytes: 1, accelerators: 0 }]),
    ),
  ),
  teams: fc.constant({
    over: { dominantShare: 0.4, fairShare: 0.2 },
    'far-over': { dominantShare: 0.6, fairShare: 0.2 },
    under: { dominantShare: 0.1, fairShare: 0.2 },
  }),
  capacity: fc.constant(CAPACITY),
});

const computeFreed = (
  action: ReclaimAction,
  task: ReclaimableTask,
  dimension: keyof typeof CAPACITY,
) => {
  if (action.kind !== 'throttle') return task.resources[dimension];
  return dimension === 'processors' ? task.throttleableProcessors : 0;
};

function requireTrue(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

function checkAction(action: ReclaimAction, task: ReclaimableTask, demand: ReclaimDemand): void {
  requireTrue(task.team !== 'under', 'a task of a team below its share was reclaimed');
  requireTrue(task.priority !== 'urgent', 'an urgent task was reclaimed');
  requireTrue(
    RANK_BY_PRIORITY[task.priority] >= RANK_BY_PRIORITY[demand.priority],
    'a task of a higher priority than the demand was reclaimed',
  );
  requireTrue(
    action.kind !== 'checkpoint' || task.checkpointCostMilliseconds !== null,
    'a task that cannot checkpoint was checkpointed',
  );
}

test('reclaims free enough for each demand that they serve, and take only from teams above their share', (t) => {
  fc.assert(
    fc.property(inputArbitrary, (input) => {
      const actions = chooseReclaim(input);
      const taskOf = (action: ReclaimAction): ReclaimableTask =>
        input.tasks.find(({ taskId }) => taskId === action.taskId)!;
      requireTrue(
        new Set(actions.map(({ taskId }) => taskId)).size === actions.length,
        'a task was reclaimed twice',
      );
      input.demands.forEach((demand) => {
        const ownActions = actions.filter(({ forWorkId }) => forWorkId === demand.workId);
        ownActions.forEach((action) => checkAction(action, taskOf(action), demand));
        requireTrue(
          new Set(ownActions.map(({ workerId }) => workerId)).size <= 1,
          'one demand was met on two workers',
        );
      });
      WORKERS.forEach((workerId) => {
        const workerActions = actions.filter((action) => action.workerId === workerId);
        const servedWorkIds = new Set(workerActions.map(({ forWorkId }) => forWorkId));
        DIMENSIONS.forEach((dimension) => {
          const freed = workerActions.reduce(
            (sum, action) => sum + computeFreed(action, taskOf(action), dimension),
            input.freeByWorker[workerId]![dimension],
          );
          const needed = input.demands
            .filter(({ workId }) => servedWorkIds.has(workId))
            .reduce((sum, demand) => sum + demand.resources[dimension], 0);
          requireTrue(freed + 1e-9 >= needed, `too little ${dimension} was freed`);
        });
      });
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

const TASK: ReclaimableTask = {
  taskId: 'task',
  workerId: 'worker-0',
  team: 'over',
  priority: 'normal',
  resources: { processors: 4, memoryBytes: 4, accelerators: 0 },
  throttleableProcessors: 0,
  unsavedMilliseconds: 1_000,
  checkpointCostMilliseconds: null,
};

const DEMAND: ReclaimDemand = {
  workId: 'demand',
  team: 'under',
  priority: 'normal',
  resources: { processors: 4, memoryBytes: 4, accelerators: 0 },
  enqueuedAt: 0,
};

const describeReclaim = (
  demands: readonly ReclaimDemand[],
  tasks: readonly ReclaimableTask[],
  overShare = 0.5,
) =>
  chooseReclaim({
    demands,
    tasks,
    freeByWorker: { 'worker-0': { processors: 0, memoryBytes: 0, accelerators: 0 } },
    teams: { over: { dominantShare: overShare, fairShare: 0.2 } },
    capacity: CAPACITY,
  }).map(({ kind, taskId, forWorkId }) => `${kind} ${taskId} for ${forWorkId}`);

test('the action with the least loss is used: throttle before checkpoint before stop', (t) => {
  const small = { ...DEMAND, resources: { processors: 2, memoryBytes: 0, accelerators: 0 } };
  const task = { ...TASK, throttleableProcessors: 2, checkpointCostMilliseconds: 100 };
  t.deepEqual(describeReclaim([small], [task]), ['throttle task for demand']);
  t.deepEqual(describeReclaim([DEMAND], [task]), ['checkpoint task for demand']);
  t.deepEqual(describeReclaim([DEMAND], [TASK]), ['stop task for demand']);
  t.deepEqual(
    describeReclaim(
      [DEMAND],
      [{ ...TASK, unsavedMilliseconds: 50, checkpointCostMilliseconds: 100 }],
    ),
    ['stop task for demand'],
  );
});

test('the task with the least unsaved run time is stopped', (t) => {
  const young = { ...TASK, taskId: 'young', unsavedMilliseconds: 10 };
  t.deepEqual(describeReclaim([DEMAND], [TASK, young]), ['stop young for demand']);
});

test('an urgent demand is met before an older one of lower priority', (t) => {
  const urgent = { ...DEMAND, workId: 'urgent', priority: 'urgent' as const, enqueuedAt: 9 };
  t.deepEqual(describeReclaim([DEMAND, urgent], [TASK]), ['stop task for urgent']);
});

test('a team that is at or below its share loses no task', (t) => {
  const second = { ...TASK, taskId: 'second' };
  const demands = [DEMAND, { ...DEMAND, workId: 'demand-2' }];
  t.is(describeReclaim(demands, [TASK, second], 0.5).length, 2);
  t.is(describeReclaim(demands, [TASK, second], 0.25).length, 1);
  t.is(describeReclaim(demands, [TASK, second], 0.2).length, 0);
});
