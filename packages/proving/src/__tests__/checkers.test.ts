import test from 'ava';

import type { JobView } from '@chicorybend/common';
import type { RunEntry, TaskEndedEntry, TaskStartedEntry } from '@chicorybend/standins';

import { runChecks } from '../index.js';
import type { JobObservation, Observations, RequestObservation, Violation } from '../index.js';

const NO_OBSERVATIONS: Observations = { requests: [], jobs: [], limits: [], revokedKeys: [] };

const WORKER_UP: RunEntry = {
  type: 'worker-up',
  at: 0,
  workerId: 'w1',
  incarnation: 'i1',
  capacity: { processors: 2, memoryBytes: 100, accelerators: 0 },
};

const ENDPOINT_UP: RunEntry = {
  type: 'endpoint-up',
  at: 0,
  endpointId: 'e1',
  slots: 1,
  connections: 2,
};

function createTaskStarted(at: number, change: Partial<TaskStartedEntry> = {}): TaskStartedEntry {
  return {
    type: 'task-started',
    at,
    workerId: 'w1',
    incarnation: 'i1',
    taskId: 'a/0',
    attempt: 1,
    team: 'harbour',
    resources: { processors: 1, memoryBytes: 10, accelerators: 0 },
    jobPartition: 0,
    jobEpoch: 1,
    workerPartition: 0,
    workerEpoch: 1,
    marker: 'm1',
    ...change,
  };
}

function createTaskEnded(at: number, change: Partial<TaskEndedEntry> = {}): TaskEndedEntry {
  return {
    type: 'task-ended',
    at,
    workerId: 'w1',
    incarnation: 'i1',
    taskId: 'a/0',
    attempt: 1,
    end: 'succeeded',
    ...change,
  };
}

function createRequestEntries(
  startAt: number,
  endAt: number,
  executionId: number,
  change: { marker?: string; requestId?: string } = {},
): RunEntry[] {
  const { marker = 'm1', requestId = 'r1' } = change;
  const identity = { endpointId: 'e1', executionId, requestId };
  return [
    {
      type: 'request-started',
      at: startAt,
      ...identity,
      team: 'harbour',
      marker,
      concurrent: 1,
    },
    { type: 'request-ended', at: endAt, ...identity, outcome: 'answered' },
  ];
}

function createRequestObservation(change: Partial<RequestObservation> = {}): RequestObservation {
  return {
    marker: 'm1',
    team: 'harbour',
    queue: 'quotes',
    keyId: 'harbour-1',
    daemonId: 'entry-1',
    isIdempotent: false,
    expectedResult: 'one',
    sentAt: 0,
    endedAt: 10,
    outcomes: [{ kind: 'answered', value: { requestId: 'r1', endpointId: 'e1', result: 'one' } }],
    ...change,
  };
}

function createJobView(change: Partial<JobView> = {}): JobView {
  return {
    jobId: 'a',
    team: 'harbour',
    queue: 'sorts',
    kind: 'batch',
    state: 'succeeded',
    acceptedAt: 0,
    tasks: [{ taskId: 'a/0', state: 'succeeded', attempt: 1, workerId: 'w1', result: 'one' }],
    ...change,
  };
}

function createJobObservation(change: Partial<JobObservation> = {}): JobObservation {
  return {
    marker: 'm1',
    team: 'harbour',
    queue: 'sorts',
    kind: 'batch',
    tasks: 1,
    isIdempotent: false,
    expectedResult: 'one',
    sentAt: 0,
    outcomes: [{ kind: 'answered', value: { jobId: 'a' } }],
    finalView: createJobView(),
    ...change,
  };
}

function findViolations(
  entries: RunEntry[],
  observations: Partial<Observations> = {},
): Violation[] {
  return runChecks(entries, { ...NO_OBSERVATIONS, ...observations }).flatMap(
    (result) => result.violations,
  );
}

function findViolationKinds(
  entries: RunEntry[],
  observations: Partial<Observations> = {},
): string[] {
  return findViolations(entries, observations).map((violation) => violation.kind);
}

const REFUSED = {
  kind: 'failed',
  status: 503,
  run: 'not-run',
  code: 'overloaded',
  message: '',
} as const;
const LIMIT = { team: 'harbour', from: 0, tasks: 1, requests: 1 };

test('a correct run has no violations', (t) => {
  const entries = [
    WORKER_UP,
    ENDPOINT_UP,
    createTaskStarted(1),
    createTaskEnded(2),
    createTaskStarted(2, { taskId: 'b/0', marker: 'm3' }),
    createTaskEnded(3, { taskId: 'b/0' }),
    ...createRequestEntries(1, 2, 1, { marker: 'm2' }),
  ];
  const observations = {
    jobs: [createJobObservation()],
    requests: [createRequestObservation({ marker: 'm2' })],
    limits: [LIMIT],
  };
  t.deepEqual(findViolations(entries, observations), []);
});

test('an overcommitted worker is reported once for each resource dimension', (t) => {
  const big = { processors: 1.5, memoryBytes: 60, accelerators: 0 };
  const entries = [
    WORKER_UP,
    createTaskStarted(1, { resources: big }),
    createTaskStarted(2, { taskId: 'b/0', resources: big }),
  ];
  t.deepEqual(findViolations(entries), [
    {
      kind: 'worker-overcommitted',
      workerId: 'w1',
      at: 2,
      dimension: 'processors',
      used: 3,
      capacity: 2,
    },
    {
      kind: 'worker-overcommitted',
      workerId: 'w1',
      at: 2,
      dimension: 'memoryBytes',
      used: 120,
      capacity: 100,
    },
  ]);
});

test('a task end that is recorded late frees its resources from its own timestamp', (t) => {
  const big = { processors: 2, memoryBytes: 10, accelerators: 0 };
  const entries = [
    WORKER_UP,
    createTaskStarted(1, { resources: big }),
    createTaskStarted(6, { taskId: 'b/0', resources: big }),
    createTaskEnded(5, { end: 'lease-lapsed' }),
  ];
  t.deepEqual(findViolations(entries), []);
});

test('a task that runs on two workers at the same time is reported', (t) => {
  const entries = [
    WORKER_UP,
    createTaskStarted(1),
    createTaskStarted(2, { workerId: 'w2', attempt: 2 }),
    createTaskEnded(3),
  ];
  t.deepEqual(findViolations(entries), [
    {
      kind: 'task-overlap',
      taskId: 'a/0',
      at: 2,
      executions: [
        { workerId: 'w1', attempt: 1 },
        { workerId: 'w2', attempt: 2 },
      ],
    },
  ]);
});

test('an attempt that is started again after its end is reported', (t) => {
  const entries = [
    WORKER_UP,
    createTaskStarted(1),
    createTaskEnded(2),
    createTaskStarted(3, { workerId: 'w2' }),
  ];
  t.deepEqual(findViolationKinds(entries), ['attempt-repeated']);
});

test('a repeated non-idempotent task is reported, unless it resumes from a checkpoint', (t) => {
  const repeatedRun = [
    WORKER_UP,
    createTaskStarted(1),
    createTaskEnded(2, { end: 'lease-lapsed' }),
    createTaskStarted(3, { attempt: 2 }),
  ];
  const jobs = [
    createJobObservation({ finalView: createJobView({ state: 'unknown', tasks: [] }), tasks: 0 }),
  ];
  t.true(findViolationKinds(repeatedRun, { jobs }).includes('non-idempotent-task-repeated'));
  const resumedRun = [
    WORKER_UP,
    createTaskStarted(1),
    createTaskEnded(2, { end: 'checkpointed' }),
    createTaskStarted(3, { attempt: 2 }),
    createTaskEnded(4, { attempt: 2 }),
  ];
  t.deepEqual(findViolationKinds(resumedRun, { jobs: [createJobObservation()] }), []);
});

test('a service whose lease lapsed may be started again', (t) => {
  const entries = [
    WORKER_UP,
    createTaskStarted(1),
    createTaskEnded(2, { end: 'lease-lapsed' }),
    createTaskStarted(3, { attempt: 2 }),
    createTaskEnded(4, { attempt: 2, end: 'stopped' }),
  ];
  const tasks = [{ taskId: 'a/0', state: 'cancelled', attempt: 2, workerId: null }] as const;
  const finalView = createJobView({ kind: 'service', state: 'cancelled', tasks });
  t.deepEqual(
    findViolationKinds(entries, { jobs: [createJobObservation({ kind: 'service', finalView })] }),
    [],
  );
});

test('a submission that created two jobs is reported', (t) => {
  const entries = [
    WORKER_UP,
    createTaskStarted(1),
    createTaskEnded(2),
    createTaskStarted(3, { taskId: 'b/0' }),
  ];
  t.deepEqual(findViolations(entries, { jobs: [createJobObservation()] }), [
    { kind: 'job-duplicated', marker: 'm1', tasks: 1, started: 2 },
  ]);
});

test('a non-idempotent request that runs twice is reported', (t) => {
  const entries = [ENDPOINT_UP, ...createRequestEntries(1, 2, 1), ...createRequestEntries(3, 4, 2)];
  t.deepEqual(findViolations(entries, { requests: [createRequestObservation()] }), [
    { kind: 'non-idempotent-request-repeated', marker: 'm1', executions: 2 },
  ]);
  t.deepEqual(
    findViolations(entries, { requests: [createRequestObservation({ isIdempotent: true })] }),
    [],
  );
});

test('an answer that carries the result of another request is reported', (t) => {
  const entries = [ENDPOINT_UP, ...createRequestEntries(1, 2, 1)];
  const requests = [createRequestObservation({ expectedResult: 'two' })];
  t.deepEqual(findViolationKinds(entries, { requests }), ['wrong-answer']);
});

test('an answer that names an endpoint which did not run the request is reported', (t) => {
  const entries = [ENDPOINT_UP, ...createRequestEntries(1, 2, 1, { requestId: 'r9' })];
  t.deepEqual(findViolationKinds(entries, { requests: [createRequestObservation()] }), [
    'wrong-answer',
  ]);
});

test('a job with a wrong result or a missing task is reported', (t) => {
  const entries = [WORKER_UP, createTaskStarted(1), createTaskEnded(2)];
  t.deepEqual(
    findViolationKinds(entries, { jobs: [createJobObservation({ expectedResult: 'two' })] }),
    ['wrong-answer'],
  );
  t.deepEqual(findViolationKinds(entries, { jobs: [createJobObservation({ tasks: 2 })] }), [
    'wrong-answer',
  ]);
});

test('a request or job that ran although the caller was told that it did not run is reported', (t) => {
  const entries = [
    WORKER_UP,
    ENDPOINT_UP,
    createTaskStarted(1, { marker: 'm2' }),
    createTaskEnded(2),
    ...createRequestEntries(1, 2, 1),
  ];
  const requests = [createRequestObservation({ outcomes: [REFUSED] })];
  const jobs = [createJobObservation({ marker: 'm2', outcomes: [REFUSED], finalView: null })];
  t.deepEqual(findViolations(entries, { requests, jobs }), [
    { kind: 'ran-despite-refusal', marker: 'm1', code: 'overloaded', executions: 1 },
    { kind: 'ran-despite-refusal', marker: 'm2', code: 'overloaded', executions: 1 },
  ]);
});

test('a refusal after a lost answer does not imply that the first call did not run', (t) => {
  const entries = [ENDPOINT_UP, ...createRequestEntries(1, 2, 1)];
  const requests = [
    createRequestObservation({ outcomes: [{ kind: 'lost', reason: 'reset' }, REFUSED] }),
  ];
  t.deepEqual(findViolations(entries, { requests }), []);
});

test('an accepted job that does not end, or whose reported success did not happen, is reported', (t) => {
  const entries = [WORKER_UP, createTaskStarted(1), createTaskEnded(2, { end: 'failed' })];
  t.deepEqual(findViolationKinds(entries, { jobs: [createJobObservation()] }), [
    'accepted-job-lost',
  ]);
  const running = createJobObservation({ finalView: createJobView({ state: 'running' }) });
  t.true(findViolationKinds(entries, { jobs: [running] }).includes('accepted-job-lost'));
  t.deepEqual(findViolationKinds(entries, { jobs: [createJobObservation({ finalView: null })] }), [
    'accepted-job-lost',
  ]);
});

test('a team that exceeds its limit on tasks or requests is reported', (t) => {
  const tasks = [WORKER_UP, createTaskStarted(1), createTaskStarted(2, { taskId: 'b/0' })];
  t.deepEqual(findViolations(tasks, { limits: [LIMIT] }), [
    { kind: 'team-over-limit', team: 'harbour', dimension: 'tasks', at: 2, running: 2, limit: 1 },
  ]);
  const requests = [
    { ...ENDPOINT_UP, slots: 8 },
    ...createRequestEntries(1, 5, 1),
    ...createRequestEntries(2, 4, 2, { requestId: 'r2' }),
  ];
  t.deepEqual(findViolationKinds(requests, { limits: [LIMIT] }), ['team-over-limit']);
});

test('a lowered limit applies to starts only after the time allowed for it to take effect everywhere', (t) => {
  const limits = [
    { ...LIMIT, tasks: 2 },
    { ...LIMIT, from: 10_000, tasks: 1 },
  ];
  const early = [WORKER_UP, createTaskStarted(1), createTaskStarted(16_000, { taskId: 'b/0' })];
  t.deepEqual(findViolationKinds(early, { limits }), []);
  const late = [WORKER_UP, createTaskStarted(1), createTaskStarted(17_000, { taskId: 'b/0' })];
  t.deepEqual(findViolationKinds(late, { limits }), ['team-over-limit']);
});

test('an endpoint that runs more requests than it has slots is reported', (t) => {
  const entries = [
    ENDPOINT_UP,
    ...createRequestEntries(1, 5, 1),
    ...createRequestEntries(2, 4, 2, { requestId: 'r2' }),
  ];
  t.deepEqual(findViolations(entries), [
    { kind: 'endpoint-slots-exceeded', endpointId: 'e1', at: 2, running: 2, slots: 1 },
  ]);
});

test('an endpoint with more open connections than it accepts is reported', (t) => {
  const entries: RunEntry[] = [
    ENDPOINT_UP,
    { type: 'connections', at: 1, endpointId: 'e1', open: 2 },
    { type: 'connections', at: 2, endpointId: 'e1', open: 3 },
  ];
  t.deepEqual(findViolations(entries), [
    { kind: 'endpoint-connections-exceeded', endpointId: 'e1', at: 2, open: 3, connections: 2 },
  ]);
});

test('work that starts on a VM more than five seconds after it began to leave is reported', (t) => {
  const entries: RunEntry[] = [
    WORKER_UP,
    ENDPOINT_UP,
    { type: 'vm-listed', at: 1_000, vmId: 'w1', state: 'leaving' },
    { type: 'vm-listed', at: 1_000, vmId: 'e1', state: 'leaving' },
    { type: 'vm-listed', at: 2_000, vmId: 'e1', state: 'absent' },
    createTaskStarted(6_000),
    createTaskEnded(6_000),
    createTaskStarted(6_001, { taskId: 'b/0' }),
    ...createRequestEntries(6_002, 6_003, 1),
    { type: 'vm-listed', at: 7_000, vmId: 'e1', state: 'live' },
    ...createRequestEntries(8_000, 8_001, 2),
  ];
  t.deepEqual(findViolations(entries), [
    { kind: 'leaving-vm-used', vmId: 'w1', at: 6_001, leavingMilliseconds: 5_001 },
    { kind: 'leaving-vm-used', vmId: 'e1', at: 6_002, leavingMilliseconds: 5_002 },
  ]);
});

test('a request sent more than seven seconds after its key was revoked is reported if it runs', (t) => {
  const entries = [ENDPOINT_UP, ...createRequestEntries(1, 2, 1)];
  const revokedKeys = [{ keyId: 'harbour-1', revokedAt: 1_000 }];
  const early = [createRequestObservation({ sentAt: 8_000 })];
  t.deepEqual(findViolationKinds(entries, { requests: early, revokedKeys }), []);
  const late = [createRequestObservation({ sentAt: 8_001 })];
  t.deepEqual(findViolationKinds(entries, { requests: late, revokedKeys }), ['revoked-key-served']);
  const refused = [{ ...REFUSED, code: 'revoked-key' } as const];
  const refusedRequest = [
    createRequestObservation({ sentAt: 8_001, outcomes: refused, marker: 'm2' }),
  ];
  t.deepEqual(findViolationKinds(entries, { requests: refusedRequest, revokedKeys }), []);
});
