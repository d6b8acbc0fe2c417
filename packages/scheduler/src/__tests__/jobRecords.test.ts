import test from 'ava';

import {
  applyState,
  createJobRecord,
  encodeAccepted,
  encodeState,
  parseAccepted,
} from '../core/jobRecords.js';
import type { JobRecord } from '../types/jobRecord.js';

function createJob(): JobRecord {
  return createJobRecord({
    jobId: 'job',
    queue: 'work',
    team: '',
    acceptedAt: 1_000,
    admission: { queue: null, teamLimit: null },
    specification: {
      payload: '',
      schedule: null,
      steps: [
        {
          count: 1,
          resources: { processors: 1, memoryBytes: 1, accelerators: 0 },
          estimatedMilliseconds: 500,
          after: [],
          hasCheckpoints: false,
          isGang: false,
          prefersOneRack: false,
          requiredLabel: '',
          preferredRack: '',
          maximumPerEndpoint: 0,
          isSpeculative: false,
          isLongRunning: true,
          image: '',
          targetMilliseconds: 0,
          isFilling: false,
          disruptionBudget: null,
        },
      ],
    },
  });
}

function restore(state: string): JobRecord {
  const job = createJob();
  applyState(job, state, 0, 0);
  return job;
}

test('a loss that an earlier build has stored keeps its unknown age through later states', (t) => {
  const task = [0, 0, 'pending', 1, 0, -1, '', 10, [[1, 'shared', 5, 'unconfirmed', 20]]];
  const state = JSON.stringify({
    acceptedAt: 1_000,
    phase: 'open',
    endedAt: 0,
    hasStarted: true,
    occurrenceCount: 1,
    endpoints: [],
    occurrences: [[0, [0], [task], [0]]],
  });
  const first = restore(state);
  const again = restore(encodeState(first, 0, 0));
  for (const job of [first, again]) {
    const [loss] = job.occurrences.get(0)!.steps[0]!.tasks[0]!.losses;
    t.like(loss, {
      maximumAgeMilliseconds: Infinity,
      endpointId: '',
      bornAt: 0,
      epoch: 0,
      at: 1_020,
    });
  }
});

test('a run keeps the rack of its endpoint, which an earlier build has not stored', (t) => {
  const restoreRack = (endpoint: unknown[]) => {
    const task = [0, 0, 'running', 2, 0, 0, '', 10, [[1, 'shared', 5, 'crashed', 20, 0, 1, 5]]];
    const state = JSON.stringify({
      acceptedAt: 1_000,
      phase: 'open',
      endedAt: 0,
      hasStarted: true,
      occurrenceCount: 1,
      endpoints: [endpoint],
      occurrences: [[0, [0], [task], [0]]],
    });
    const again = restore(encodeState(restore(state), 0, 0));
    return again.occurrences.get(0)!.steps[0]!.tasks[0]!.endpointRack;
  };
  t.is(restoreRack(['endpoint-0', 500, '10.0.0.1:80', 'rack-0']), 'rack-0');
  t.is(restoreRack(['endpoint-0', 500, '10.0.0.1:80']), '');
});

test('the label that a step requires is stored under the name that earlier builds read', (t) => {
  const job = createJob();
  const { specification } = job;
  const steps = specification.steps.map((step) => ({ ...step, requiredLabel: 'rack-1' }));
  const text = encodeAccepted({ ...job, specification: { ...specification, steps } });
  const stored = JSON.parse(text) as { specification: { steps: Record<string, unknown>[] } };
  t.is(stored.specification.steps[0]!.requiredHardware, 'rack-1');
  t.deepEqual(parseAccepted(text).specification.steps, steps);
});

test('a later owner learns when the leases of an incarnation are over that former orders have widened', (t) => {
  const restoreRun = (widenedUntil: number | null) => {
    const job = restore(
      JSON.stringify({
        acceptedAt: 1_000,
        phase: 'open',
        endedAt: 0,
        hasStarted: true,
        occurrenceCount: 1,
        endpoints: [['i-1', 5, '10.0.0.1:80', 'r']],
        occurrences: [[0, [0], [[0, 0, 'running', 1, 0, 0, '', 10]], [0]]],
      }),
    );
    const [task] = job.occurrences.get(0)!.steps[0]!.tasks;
    t.is(task!.endpointLeasesWidenedUntil, null);
    task!.endpointLeasesWidenedUntil = widenedUntil;
    const [again] = restore(encodeState(job, 0, 4_000)).occurrences.get(0)!.steps[0]!.tasks;
    return [again!.endpointLeasesWidenedUntil, again!.formerlyRecordedAt];
  };
  t.deepEqual(restoreRun(null), [null, 4_000]);
  t.deepEqual(restoreRun(9_000), [9_000, 4_000]);
  t.deepEqual(restoreRun(3_000), [1_000, 4_000]);
});

// Forgetting them would allow a task more attempts after each release.
test('failed runs that an earlier build has counted count beside those of this build', (t) => {
  const stored = { acceptedAt: 1_000, phase: 'open', endedAt: 0, hasStarted: true };
  const occurrences = [[0, [0], [[0, 0, 'pending', 3, 2, -1, '', 10, []]], [0]]];
  const job = restore(
    JSON.stringify({ ...stored, occurrenceCount: 1, endpoints: [], occurrences }),
  );
  const taskOf = (record: JobRecord) => record.occurrences.get(0)!.steps[0]!.tasks[0]!;
  taskOf(job).failedRuns.push(3);
  const next = restore(encodeState(job, 0, 0));
  t.is(taskOf(next).failedRuns.length, 3);
  t.true(taskOf(next).failedRuns.includes(3));
  t.is(taskOf(next).outstandingStart, null);
});
