import test from 'ava';

import { checkProbes, checkRefusedJobs } from '../core/configurationSoakChecks.js';
import { planProcessSoak } from '../core/processSoakPlan.js';
import type { ConfigurationProbe, ConfigurationRecord } from '../types/processSoak.js';

const CHANGED_AT = 10_000;
const RECORD: ConfigurationRecord = {
  versions: [
    { at: 0, queues: ['work'], keys: ['key-1', 'key-2'] },
    { at: CHANGED_AT, queues: ['work', 'optional'], keys: ['key-1', 'key-3'] },
  ],
  probes: [],
  vmDisturbances: new Map(),
};

function createProbe(change: Partial<ConfigurationProbe>): ConfigurationProbe {
  const sentAt = change.sentAt ?? CHANGED_AT + 2_100;
  const probe = { vm: 'vm-1', queue: 'work', key: 'key-1', status: 200 };
  return { ...probe, sentAt, answeredAt: sentAt + 10, ...change };
}

function countViolations(change: Partial<ConfigurationProbe>, record = RECORD): number {
  return checkProbes({ ...record, probes: [createProbe(change)] }).length;
}

test('answers by a version that is no longer in force are found, and others are not', (t) => {
  const early = CHANGED_AT + 1_900;
  t.is(countViolations({ queue: 'optional', status: 404 }), 1);
  t.is(countViolations({ queue: 'optional', status: 404, sentAt: early }), 0);
  t.is(countViolations({ queue: 'optional', status: 200, sentAt: early }), 0);
  t.is(countViolations({ queue: 'optional', status: 200, sentAt: CHANGED_AT - 500 }), 1);
  t.is(countViolations({ queue: 'optional', status: 503 }), 0);
  t.is(countViolations({ key: 'key-2', status: 200 }), 1);
  t.is(countViolations({ key: 'key-2', status: 401 }), 0);
  t.is(countViolations({ key: 'key-3', status: 401 }), 1);
});

test('a VM is not judged within three seconds of a disturbance', (t) => {
  const disturbedUntil = (until: number) => ({
    ...RECORD,
    vmDisturbances: new Map([['vm-1', [{ from: 0, until }]]]),
  });
  const outdated = { queue: 'optional', status: 404, sentAt: 20_000 };
  t.is(countViolations(outdated, disturbedUntil(17_500)), 0);
  t.is(countViolations(outdated, disturbedUntil(16_500)), 1);
  t.is(countViolations({ ...outdated, vm: 'vm-2' }, disturbedUntil(17_500)), 1);
});

test('a job of which each submission was rejected must not run', (t) => {
  const [job] = planProcessSoak(1, 5_000, 'configuration').jobs;
  const run = {
    taskId: `${job!.jobId}.0.0.0`,
    run: 1,
    endpointId: 'endpoint-0',
    bornAt: 1,
    fencingToken: 1,
    resources: { processors: 1, memoryBytes: 0, accelerators: 0 },
    startedAt: 10,
    endedAt: null,
    kind: null,
    acknowledgedAt: null,
  };
  const count = (submissionStatuses: number[], runs = [run]) => {
    const states = { states: [], finalState: null, cancelSentAt: null, cancelAcknowledgedAt: null };
    const record = { job: job!, submissionStatuses, acceptedAt: null, ...states };
    return checkRefusedJobs({ jobs: [record], runs }).length;
  };
  t.is(count([503, 401]), 1);
  t.is(count([502, 401]), 0);
  t.is(count([0, 401]), 0);
  t.is(count([]), 0);
  t.is(count([401], []), 0);
});
