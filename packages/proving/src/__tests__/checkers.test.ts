import test from 'ava';

import type { JobView } from '@chicorybend/common';
import type { RunEntry, TaskEndedEntry, TaskStartedEntry } from '@chicorybend/standins';

import { runChecks } from '../index.js';
import type { JobObservation, Observations, RequestObservation, Violation } from '../index.js';

const NOTHING: Observations = { requests: [], jobs: [], limits: [], revokedKeys: [] };

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

function start(at: number, change: Partial<TaskStartedEntry> = {}): TaskStartedEntry {
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

function end(at: number, change: Partial<TaskEndedEntry> = {}): TaskEndedEntry {
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

function runRequest(
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

function observeRequest(change: Partial<RequestObservation> = {}): RequestObservation {
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

function viewJob(change: Partial<JobView> = {}): JobView {
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

function observeJob(change: Partial<JobObservation> = {}): JobObservation {
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
    finalView: viewJob(),
    ...change,
  };
}

function findAll(entries: RunEntry[], observations: Partial<Observations> = {}): Violation[] {
  return runChecks(entries, { ...NOTHING, ...observations }).flatMap((result) => result.violations);
}

function kindsOf(entries: RunEntry[], observations: Partial<Observations> = {}): string[] {
  return findAll(entries, observations).map((violation) => violation.kind);
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
    start(1),
    end(2),
    start(2, { taskId: 'b/0', marker: 'm3' }),
    end(3, { taskId: 'b/0' }),
    ...runRequest(1, 2, 1, { marker: 'm2' }),
  ];
  const observations = {
    jobs: [observeJob()],
    requests: [observeRequest({ marker: 'm2' })],
    limits: [LIMIT],
  };
  t.deepEqual(findAll(entries, observations), []);
});

test('an overcommitted worker is found in each dimension', (t) => {
  const big = { processors: 1.5, memoryBytes: 60, accelerators: 0 };
  const entries = [
    WORKER_UP,
    start(1, { resources: big }),
    start(2, { taskId: 'b/0', resources: big }),
  ];
  t.deepEqual(findAll(entries), [
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

test('an end that was recorded late counts from its own time', (t) => {
  const big = { processors: 2, memoryBytes: 10, accelerators: 0 };
  const entries = [
    WORKER_UP,
    start(1, { resources: big }),
    start(6, { taskId: 'b/0', resources: big }),
    end(5, { end: 'lease-lapsed' }),
  ];
  t.deepEqual(findAll(entries), []);
});

test('a task that runs on two workers at once is found', (t) => {
  const entries = [WORKER_UP, start(1), start(2, { workerId: 'w2', attempt: 2 }), end(3)];
  t.deepEqual(findAll(entries), [
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

test('an attempt that runs twice one after the other is found', (t) => {
  const entries = [WORKER_UP, start(1), end(2), start(3, { workerId: 'w2' })];
  t.deepEqual(kindsOf(entries), ['attempt-repeated']);
});

test('a non-idempotent task that runs again is found, a checkpointed one is not', (t) => {
  const again = [WORKER_UP, start(1), end(2, { end: 'lease-lapsed' }), start(3, { attempt: 2 })];
  const jobs = [observeJob({ finalView: viewJob({ state: 'unknown', tasks: [] }), tasks: 0 })];
  t.true(kindsOf(again, { jobs }).includes('non-idempotent-task-repeated'));
  const resumed = [
    WORKER_UP,
    start(1),
    end(2, { end: 'checkpointed' }),
    start(3, { attempt: 2 }),
    end(4, { attempt: 2 }),
  ];
  t.deepEqual(kindsOf(resumed, { jobs: [observeJob()] }), []);
});

test('a lost service may run again', (t) => {
  const entries = [
    WORKER_UP,
    start(1),
    end(2, { end: 'lease-lapsed' }),
    start(3, { attempt: 2 }),
    end(4, { attempt: 2, end: 'stopped' }),
  ];
  const tasks = [{ taskId: 'a/0', state: 'cancelled', attempt: 2, workerId: null }] as const;
  const finalView = viewJob({ kind: 'service', state: 'cancelled', tasks });
  t.deepEqual(kindsOf(entries, { jobs: [observeJob({ kind: 'service', finalView })] }), []);
});

test('a submission that became two jobs is found', (t) => {
  const entries = [WORKER_UP, start(1), end(2), start(3, { taskId: 'b/0' })];
  t.deepEqual(findAll(entries, { jobs: [observeJob()] }), [
    { kind: 'job-duplicated', marker: 'm1', tasks: 1, started: 2 },
  ]);
});

test('a non-idempotent request that runs twice is found', (t) => {
  const entries = [ENDPOINT_UP, ...runRequest(1, 2, 1), ...runRequest(3, 4, 2)];
  t.deepEqual(findAll(entries, { requests: [observeRequest()] }), [
    { kind: 'non-idempotent-request-repeated', marker: 'm1', executions: 2 },
  ]);
  t.deepEqual(findAll(entries, { requests: [observeRequest({ isIdempotent: true })] }), []);
});

test('a result of another request is found', (t) => {
  const entries = [ENDPOINT_UP, ...runRequest(1, 2, 1)];
  const requests = [observeRequest({ expectedResult: 'two' })];
  t.deepEqual(kindsOf(entries, { requests }), ['wrong-answer']);
});

test('an answer of a request that its endpoint did not execute is found', (t) => {
  const entries = [ENDPOINT_UP, ...runRequest(1, 2, 1, { requestId: 'r9' })];
  t.deepEqual(kindsOf(entries, { requests: [observeRequest()] }), ['wrong-answer']);
});

test('a job with a wrong result or a missing task is found', (t) => {
  const entries = [WORKER_UP, start(1), end(2)];
  t.deepEqual(kindsOf(entries, { jobs: [observeJob({ expectedResult: 'two' })] }), [
    'wrong-answer',
  ]);
  t.deepEqual(kindsOf(entries, { jobs: [observeJob({ tasks: 2 })] }), ['wrong-answer']);
});

test('a request or job that ran although it was refused as not run is found', (t) => {
  const entries = [
    WORKER_UP,
    ENDPOINT_UP,
    start(1, { marker: 'm2' }),
    end(2),
    ...runRequest(1, 2, 1),
  ];
  const requests = [observeRequest({ outcomes: [REFUSED] })];
  const jobs = [observeJob({ marker: 'm2', outcomes: [REFUSED], finalView: null })];
  t.deepEqual(findAll(entries, { requests, jobs }), [
    { kind: 'ran-despite-refusal', marker: 'm1', code: 'overloaded', executions: 1 },
    { kind: 'ran-despite-refusal', marker: 'm2', code: 'overloaded', executions: 1 },
  ]);
});

test('a refusal after a lost answer says nothing about the first call', (t) => {
  const entries = [ENDPOINT_UP, ...runRequest(1, 2, 1)];
  const requests = [observeRequest({ outcomes: [{ kind: 'lost', reason: 'reset' }, REFUSED] })];
  t.deepEqual(findAll(entries, { requests }), []);
});

test('an accepted job without an end, or with a success that did not happen, is found', (t) => {
  const entries = [WORKER_UP, start(1), end(2, { end: 'failed' })];
  t.deepEqual(kindsOf(entries, { jobs: [observeJob()] }), ['accepted-job-lost']);
  const running = observeJob({ finalView: viewJob({ state: 'running' }) });
  t.true(kindsOf(entries, { jobs: [running] }).includes('accepted-job-lost'));
  t.deepEqual(kindsOf(entries, { jobs: [observeJob({ finalView: null })] }), ['accepted-job-lost']);
});

test('a team over its limit of tasks or requests is found', (t) => {
  const tasks = [WORKER_UP, start(1), start(2, { taskId: 'b/0' })];
  t.deepEqual(findAll(tasks, { limits: [LIMIT] }), [
    { kind: 'team-over-limit', team: 'harbour', dimension: 'tasks', at: 2, running: 2, limit: 1 },
  ]);
  const requests = [
    { ...ENDPOINT_UP, slots: 8 },
    ...runRequest(1, 5, 1),
    ...runRequest(2, 4, 2, { requestId: 'r2' }),
  ];
  t.deepEqual(kindsOf(requests, { limits: [LIMIT] }), ['team-over-limit']);
});

test('a lowered limit holds for starts once it must be in effect everywhere', (t) => {
  const limits = [
    { ...LIMIT, tasks: 2 },
    { ...LIMIT, from: 10_000, tasks: 1 },
  ];
  const early = [WORKER_UP, start(1), start(16_000, { taskId: 'b/0' })];
  t.deepEqual(kindsOf(early, { limits }), []);
  const late = [WORKER_UP, start(1), start(17_000, { taskId: 'b/0' })];
  t.deepEqual(kindsOf(late, { limits }), ['team-over-limit']);
});

test('more requests than slots are found', (t) => {
  const entries = [
    ENDPOINT_UP,
    ...runRequest(1, 5, 1),
    ...runRequest(2, 4, 2, { requestId: 'r2' }),
  ];
  t.deepEqual(findAll(entries), [
    { kind: 'endpoint-slots-exceeded', endpointId: 'e1', at: 2, running: 2, slots: 1 },
  ]);
});

test('more connections than the endpoint accepts are found', (t) => {
  const entries: RunEntry[] = [
    ENDPOINT_UP,
    { type: 'connections', at: 1, endpointId: 'e1', open: 2 },
    { type: 'connections', at: 2, endpointId: 'e1', open: 3 },
  ];
  t.deepEqual(findAll(entries), [
    { kind: 'endpoint-connections-exceeded', endpointId: 'e1', at: 2, open: 3, connections: 2 },
  ]);
});

test('new work on a VM that left some seconds ago is found', (t) => {
  const entries: RunEntry[] = [
    WORKER_UP,
    ENDPOINT_UP,
    { type: 'vm-listed', at: 1_000, vmId: 'w1', state: 'leaving' },
    { type: 'vm-listed', at: 1_000, vmId: 'e1', state: 'leaving' },
    { type: 'vm-listed', at: 2_000, vmId: 'e1', state: 'absent' },
    start(6_000),
    end(6_000),
    start(6_001, { taskId: 'b/0' }),
    ...runRequest(6_002, 6_003, 1),
    { type: 'vm-listed', at: 7_000, vmId: 'e1', state: 'live' },
    ...runRequest(8_000, 8_001, 2),
  ];
  t.deepEqual(findAll(entries), [
    { kind: 'leaving-vm-used', vmId: 'w1', at: 6_001, leavingMilliseconds: 5_001 },
    { kind: 'leaving-vm-used', vmId: 'e1', at: 6_002, leavingMilliseconds: 5_002 },
  ]);
});

test('a request that runs under a key that was revoked some seconds ago is found', (t) => {
  const entries = [ENDPOINT_UP, ...runRequest(1, 2, 1)];
  const revokedKeys = [{ keyId: 'harbour-1', revokedAt: 1_000 }];
  const early = [observeRequest({ sentAt: 8_000 })];
  t.deepEqual(kindsOf(entries, { requests: early, revokedKeys }), []);
  const late = [observeRequest({ sentAt: 8_001 })];
  t.deepEqual(kindsOf(entries, { requests: late, revokedKeys }), ['revoked-key-served']);
  const refused = [{ ...REFUSED, code: 'revoked-key' } as const];
  const kept = [observeRequest({ sentAt: 8_001, outcomes: refused, marker: 'm2' })];
  t.deepEqual(kindsOf(entries, { requests: kept, revokedKeys }), []);
});
