import test from 'ava';

import {
  applyExample,
  createExampleQueues,
  createHttpCaller,
  createWorkCaller,
  readExample,
  startLocalCell,
  waitUntil,
} from '../index.js';
import type { LocalCell, LocalDaemon } from '../index.js';

const TEST_LIMIT_MILLISECONDS = 120_000;
const LIMIT_MILLISECONDS = 30_000;
const RUN_MILLISECONDS = 14_000;
const PROCESSORS = 2;
/** Workers are polled once a second, and an answer crosses two data centres. */
const MAXIMUM_REPORT_AGE_SECONDS = 1.3;
const TOLERANCE_SECONDS = 0.05;

interface UsageReport {
  readonly rows: readonly { readonly processorSeconds: number; readonly tasks: number }[];
  readonly missing: readonly { readonly partition: number; readonly reason: string }[];
}

interface UsageTotal {
  readonly seconds: number;
  readonly tasks: number;
  readonly isComplete: boolean;
}

function createUsageReader(cell: LocalCell, team: string) {
  const http = createHttpCaller();
  const get = async <Value>(daemon: LocalDaemon, path: string): Promise<Value> => {
    const outcome = await http.call<Value>({
      method: 'GET',
      address: daemon.apiAddress,
      path,
      headers: { authorization: `Bearer ${cell.operatorToken}`, 'x-operator': 'bootstrap' },
      timeoutMilliseconds: LIMIT_MILLISECONDS,
    });
    if (outcome.kind !== 'answered') throw new Error(JSON.stringify(outcome));
    return outcome.value;
  };
  return {
    async readUsage(daemon: LocalDaemon): Promise<UsageTotal> {
      const { rows, missing } = await get<UsageReport>(daemon, `/v1/usage?team=${team}`);
      const processorSeconds = rows.reduce((sum, row) => sum + row.processorSeconds, 0);
      const tasks = rows.reduce((sum, row) => sum + row.tasks, 0);
      return { seconds: processorSeconds / PROCESSORS, tasks, isComplete: missing.length === 0 };
    },
    async findOwner(partition: number): Promise<LocalDaemon> {
      const [first] = cell.daemons;
      const { rows } = await get<{ rows: { daemonId: string; partitions: number[] }[] }>(
        first!,
        '/v1/daemons',
      );
      const owner = rows.find(({ partitions }) => partitions.includes(partition));
      return cell.daemons.find(({ id }) => id === owner?.daemonId)!;
    },
    close: () => http.close(),
  };
}

/** Sums the run times in the stand-ins' record, in seconds; a run that has not ended counts up to `until`. */
function sumRecordedSeconds(cell: LocalCell, until: number): number {
  const ends = new Map(
    cell.platform.record
      .entriesOf('task-ended')
      .map(({ taskId, attempt, at }) => [`${taskId}#${attempt}`, at]),
  );
  return cell.platform.record
    .entriesOf('task-started')
    .map(
      ({ taskId, attempt, at }) => Math.min(ends.get(`${taskId}#${attempt}`) ?? until, until) - at,
    )
    .reduce((sum, milliseconds) => sum + Math.max(0, milliseconds) / 1_000, 0);
}

/**
 * Guards against a usage report that omits running work, or counts it twice after a takeover: the report is compared
 * with the workers' own records before and after the owner of the job is killed, and after the job ended. During the
 * takeover the report must still be served.
 */
test('the usage report matches the records of the workers before and after the owner is killed', async (t) => {
  t.timeout(TEST_LIMIT_MILLISECONDS);
  const example = readExample('coldline');
  const plan = { ...example.plan, daemons: example.plan.daemons.slice(0, 4) };
  const cell = await startLocalCell({
    plan,
    prepare: (started) => applyExample(started, { ...example, plan }),
  });
  const caller = createWorkCaller();
  const { queue, team, keyText } = createExampleQueues(example).durable('batch')[0]!;
  const reader = createUsageReader(cell, team);
  t.teardown(async () => {
    await Promise.all([caller.close(), reader.close()]);
    await cell.close();
  });
  const { record } = cell.platform;
  const [first] = cell.daemons;
  const submitted = await caller.submitJob(
    first!.apiAddress,
    {
      queue,
      kind: 'batch',
      tasks: 3,
      resources: { processors: PROCESSORS, memoryBytes: 1_000, accelerators: 0 },
      idempotent: false,
      urgent: false,
      expectedRunMilliseconds: RUN_MILLISECONDS,
      payload: { runMilliseconds: RUN_MILLISECONDS },
    },
    { keyText: keyText! },
  );
  if (submitted.kind !== 'answered') throw new Error(JSON.stringify(submitted));
  const { jobId } = submitted.value;
  t.true(await waitUntil(() => record.entriesOf('task-started').length === 3, LIMIT_MILLISECONDS));
  const assertAgreement = async (stage: string, daemon: LocalDaemon): Promise<void> => {
    // A report that lacks a daemon's answer is marked as incomplete, and is requested again.
    const readWithBounds = async () => {
      const least = sumRecordedSeconds(cell, record.now()) - 3 * MAXIMUM_REPORT_AGE_SECONDS;
      const reading = await reader.readUsage(daemon);
      const most = sumRecordedSeconds(cell, record.now()) + TOLERANCE_SECONDS;
      return { ...reading, least, most };
    };
    let report = await readWithBounds();
    await waitUntil(async () => {
      if (!report.isComplete) report = await readWithBounds();
      return report.isComplete;
    }, LIMIT_MILLISECONDS);
    const { seconds, tasks, isComplete, least, most } = report;
    t.true(isComplete, `${stage}: the report is still incomplete at the time limit`);
    const isAgreed = tasks === 3 && seconds >= least && seconds <= most;
    t.true(
      isAgreed,
      `${stage}: reported ${seconds} s, expected ${least} to ${most} s; ${tasks} tasks`,
    );
  };
  await waitUntil(() => sumRecordedSeconds(cell, record.now()) > 9, LIMIT_MILLISECONDS);
  await assertAgreement('while it runs', first!);

  const owner = await reader.findOwner(Number.parseInt(jobId, 10));
  const other = cell.daemons.find((daemon) => daemon !== owner)!;
  await owner.kill();
  t.true((await reader.readUsage(other)).seconds >= 0);
  const isReportComplete = async () => (await reader.readUsage(other)).isComplete;
  t.true(await waitUntil(isReportComplete, LIMIT_MILLISECONDS));
  t.is(
    record.entriesOf('task-ended').length,
    0,
    'the takeover took longer than the tasks, so they were not running after it',
  );
  await assertAgreement('after the takeover', other);

  const view = await caller.waitForJob(other.apiAddress, jobId, LIMIT_MILLISECONDS, keyText!);
  t.is(view.kind === 'answered' && view.value.state, 'succeeded');
  const { seconds, tasks } = await reader.readUsage(other);
  const actual = sumRecordedSeconds(cell, record.now());
  t.log(`reported ${seconds} s, recorded ${actual} s`);
  t.true(
    Math.abs(seconds - actual) < TOLERANCE_SECONDS,
    `reported ${seconds} s, recorded ${actual} s`,
  );
  t.is(tasks, 3);
});
