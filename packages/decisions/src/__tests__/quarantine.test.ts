import test from 'ava';
import fc from 'fast-check';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { createQuarantine } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const BACKOFF_MILLISECONDS = 1_000;
const OPTIONS = { firstBackoffMilliseconds: BACKOFF_MILLISECONDS };

test('a worker that fails everything is quarantined after three distinct jobs, not after one', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  for (let index = 0; index < 10; index += 1) {
    t.is(quarantine.recordEnd('bad', 'job-0', false, index), 'none');
  }
  t.is(quarantine.recordEnd('bad', 'job-1', false, 10), 'none');
  t.is(quarantine.recordEnd('bad', 'job-2', false, 11), 'quarantine-worker');
  t.true(quarantine.isQuarantined('bad', 12));
  t.false(quarantine.isQuarantined('other', 12));
});

test('a quarantined worker is probed after a backoff that doubles with each failed probe', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  [0, 1, 2].forEach((index) => quarantine.recordEnd('bad', `job-${index}`, false, 0));
  t.true(quarantine.isQuarantined('bad', BACKOFF_MILLISECONDS - 1));
  t.false(quarantine.isQuarantined('bad', BACKOFF_MILLISECONDS));
  quarantine.recordEnd('bad', 'probe', false, BACKOFF_MILLISECONDS);
  t.true(quarantine.isQuarantined('bad', 3 * BACKOFF_MILLISECONDS - 1));
  t.false(quarantine.isQuarantined('bad', 3 * BACKOFF_MILLISECONDS));
  quarantine.recordEnd('bad', 'probe-2', true, 3 * BACKOFF_MILLISECONDS);
  quarantine.recordEnd('bad', 'job-9', false, 3 * BACKOFF_MILLISECONDS + 1);
  t.false(quarantine.isQuarantined('bad', 3 * BACKOFF_MILLISECONDS + 2));
});

test('a start on a worker that is due for a probe quarantines it again, so that one task at most is risked', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  [0, 1, 2].forEach((index) => quarantine.recordEnd('bad', `job-${index}`, false, 0));
  t.false(quarantine.isQuarantined('bad', BACKOFF_MILLISECONDS));
  quarantine.recordStart?.('bad', BACKOFF_MILLISECONDS);
  t.true(quarantine.isQuarantined('bad', BACKOFF_MILLISECONDS + 1));
  quarantine.recordEnd('bad', 'probe', true, BACKOFF_MILLISECONDS + 2);
  t.false(quarantine.isQuarantined('bad', BACKOFF_MILLISECONDS + 2));
});

test('a probe whose end is never reported is followed by another one after the backoff', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  [0, 1, 2].forEach((index) => quarantine.recordEnd('bad', `job-${index}`, false, 0));
  quarantine.recordStart?.('bad', BACKOFF_MILLISECONDS);
  t.false(quarantine.isQuarantined('bad', 2 * BACKOFF_MILLISECONDS));
});

test('a job that fails on three distinct workers is held and its failures no longer count against workers', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  ['bad-0', 'bad-1', 'bad-2'].forEach((jobId, index) => {
    t.is(
      quarantine.recordEnd('worker-1', jobId, false, index),
      index < 2 ? 'none' : 'quarantine-worker',
    );
  });
  ['worker-2', 'worker-3'].forEach((workerId) =>
    t.is(quarantine.recordEnd(workerId, 'bad-0', false, 10), 'none'),
  );
  t.is(quarantine.recordEnd('worker-4', 'bad-0', false, 11), 'hold-job');
  t.false(quarantine.isQuarantined('worker-1', 12));
  t.is(quarantine.recordEnd('worker-5', 'bad-0', false, 13), 'hold-job');
});

test('failures on workers that fail every job do not hold healthy jobs', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  const badWorkers = ['bad-0', 'bad-1', 'bad-2', 'bad-3', 'bad-4'];
  badWorkers.forEach((workerId, round) => {
    [0, 1, 2].forEach((index) =>
      t.not(quarantine.recordEnd(workerId, `job-${round}-${index}`, false, round), 'hold-job'),
    );
  });
  badWorkers.forEach((workerId) =>
    t.not(quarantine.recordEnd(workerId, 'sound', false, 10), 'hold-job'),
  );
});

const WORKERS = 12;
const JOBS = 60;

/** Every pair of worker and job, twice, in a seeded random order. */
function shufflePairs(seed: number): readonly { worker: number; job: number }[] {
  const generator = xoroshiro128plus(seed);
  const pairs = Array.from({ length: 2 * WORKERS * JOBS }, (_, index) => ({
    worker: index % WORKERS,
    job: Math.floor(index / WORKERS) % JOBS,
  }));
  for (let index = pairs.length - 1; index > 0; index -= 1) {
    const other = uniformInt(generator, 0, index);
    [pairs[index], pairs[other]] = [pairs[other]!, pairs[index]!];
  }
  return pairs;
}

test('workers that fail every job and jobs that fail on every worker are distinguished', (t) => {
  fc.assert(
    fc.property(fc.nat(2), fc.nat(4), fc.integer(), (badWorkers, badJobs, seed) => {
      const quarantine = createQuarantine({ firstBackoffMilliseconds: 1e6 });
      const held = new Set<string>();
      const pairs = shufflePairs(seed);
      pairs.forEach(({ worker, job }, now) => {
        const isStarted =
          !held.has(`job-${job}`) && !quarantine.isQuarantined(`worker-${worker}`, now);
        const hasSucceeded = worker >= badWorkers && job >= badJobs;
        const verdict = isStarted
          ? quarantine.recordEnd(`worker-${worker}`, `job-${job}`, hasSucceeded, now)
          : 'none';
        if (verdict === 'hold-job') held.add(`job-${job}`);
      });
      for (let worker = 0; worker < WORKERS; worker += 1) {
        const actual = quarantine.isQuarantined(`worker-${worker}`, pairs.length);
        if (actual !== worker < badWorkers) throw new Error(`worker-${worker}: ${actual}`);
      }
      for (let job = 0; job < JOBS; job += 1) {
        if (held.has(`job-${job}`) !== job < badJobs) throw new Error(`job-${job} is misjudged`);
      }
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('failures outside the failure window do not count', (t) => {
  const quarantine = createQuarantine({ ...OPTIONS, failureWindowMilliseconds: 100 });
  t.is(quarantine.recordEnd('worker', 'job-0', false, 0), 'none');
  t.is(quarantine.recordEnd('worker', 'job-1', false, 50), 'none');
  t.is(quarantine.recordEnd('worker', 'job-2', false, 120), 'none');
  t.is(quarantine.recordEnd('worker', 'job-3', false, 130), 'quarantine-worker');
});

test('an operator can lift a quarantine', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  [0, 1, 2].forEach((index) => quarantine.recordEnd('bad', `job-${index}`, false, 0));
  quarantine.lift('bad');
  t.false(quarantine.isQuarantined('bad', 1));
  t.is(quarantine.recordEnd('bad', 'job-3', false, 2), 'none');
});

/** Guards against failures from before the release, which would hold the job again at its first failure. */
test('a released job is held again only after new failures on three workers', (t) => {
  const quarantine = createQuarantine(OPTIONS);
  const fail = (workerId: string) => quarantine.recordEnd(workerId, 'job', false, 0);
  ['w-0', 'w-1', 'w-2'].forEach(fail);
  t.is(fail('w-3'), 'hold-job');
  quarantine.release('job');
  t.deepEqual(['w-0', 'w-1', 'w-2'].map(fail), ['none', 'none', 'hold-job']);
});
