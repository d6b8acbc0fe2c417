import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import { findBadEnds, findUnexpectedFailures, readLog } from '../core/upgradeFindings.js';
import { createDaemonProcess, waitUntil } from '../index.js';
import type { JobObservation, Observations } from '../index.js';

const LIMIT_MILLISECONDS = 10_000;

function describeLine(level: string, details: unknown = {}): string {
  return JSON.stringify({ time: 'now', level, name: 'entry-1', message: 'text', details });
}

function describeRefusal(code: string): string {
  const data = { code: -32_000, data: { code, run: 'not-run', message: 'text', status: 503 } };
  return describeLine('ERROR', { message: 'text', data });
}

function observe(jobs: readonly Partial<JobObservation>[]): Observations {
  const job: JobObservation = {
    marker: 'work-1',
    team: 'harbour',
    queue: 'certificates',
    kind: 'batch',
    tasks: 1,
    isIdempotent: true,
    expectedResult: null,
    sentAt: 0,
    outcomes: [{ kind: 'answered', value: { jobId: '0-1' } }],
    finalView: null,
  };
  const observed = jobs.map((change) => ({ ...job, ...change }));
  return { requests: [], jobs: observed, limits: [], revokedKeys: [] };
}

test('a log is searched for errors, warnings and lines that are not of the log', (t) => {
  const trace = '    at main (main.js:1:1)';
  const problems = [
    describeLine('WARN'),
    describeLine('ERROR', { message: 'no route' }),
    describeLine('FATAL'),
    trace,
    describeRefusal('not-ready'),
    describeRefusal('internal-error'),
  ];
  const quiet = [describeLine('INFO'), describeLine('DEBUG')];
  const findings = readLog([...quiet, ...problems, describeRefusal('not-owner'), ''].join('\n'));
  t.deepEqual(findings, { problems, refusals: ['not-owner'] });
});

test('a call that is lost or refused for its form is found, one that is refused for load is not', (t) => {
  const failed = { kind: 'failed', status: 400, run: 'not-run', message: '' } as const;
  const invalid = { ...failed, code: 'invalid-body' } as const;
  const lost = { kind: 'lost', reason: 'reset' } as const;
  const observations = observe([
    { outcomes: [{ ...failed, code: 'over-limit' }] },
    { outcomes: [invalid, invalid] },
    { outcomes: [lost] },
  ]);
  t.deepEqual(
    findUnexpectedFailures(observations).map((line) => line.slice(line.indexOf('{'))),
    [invalid, invalid, lost].map((outcome) => JSON.stringify(outcome)),
  );
});

test('an accepted job must have succeeded or been cancelled', (t) => {
  const view = {
    jobId: '0-1',
    team: 'harbour',
    queue: 'certificates',
    kind: 'batch',
    acceptedAt: 0,
    tasks: [],
  } as const;
  const observations = observe([
    { finalView: { ...view, state: 'succeeded' } },
    { finalView: { ...view, state: 'cancelled' } },
    { finalView: { ...view, state: 'unknown' }, marker: 'work-2' },
    { finalView: null, marker: 'work-3' },
    { finalView: null, marker: 'work-4', outcomes: [] },
  ]);
  t.deepEqual(findBadEnds(observations), [
    'job work-2 ended as unknown',
    'job work-3 ended as not read',
  ]);
});

test('a process goes on with the program of its last start', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'chicorybend-programs-'));
  t.teardown(() => rmSync(folder, { recursive: true, force: true }));
  const [first, second] = ['first', 'second'].map((name) => {
    const file = join(folder, `${name}.mjs`);
    writeFileSync(file, `console.log('${name}');`);
    return file;
  });
  const output = join(folder, 'output');
  const process = createDaemonProcess(first!, [], output);
  for (const program of [undefined, second, undefined]) {
    process.start(program);
    t.true(await waitUntil(() => process.processId() === null, LIMIT_MILLISECONDS));
  }
  t.is(readFileSync(output, 'utf8'), 'first\nsecond\nsecond\n');
});
