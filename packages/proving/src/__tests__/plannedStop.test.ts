import { createSystemClock, sleep } from '@chicorybend/common';
import type { JobRequest } from '@chicorybend/common';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import {
  applyExample,
  createOperatorCaller,
  createWorkCaller,
  readExample,
  startLocalCell,
  waitUntil,
} from '../index.js';
import type { DaemonRow, LocalCell, LocalDaemon } from '../index.js';

const DRAIN_DEADLINE_MILLISECONDS = 6_000;
/** The drain deadline, plus time to leave the cell and to exit. */
const STOP_LIMIT_MILLISECONDS = DRAIN_DEADLINE_MILLISECONDS + 2_000;
const SETTLE_LIMIT_MILLISECONDS = 30_000;
const example = readExample('coldline');
const TEAM_KEY = example.keys.teams['certificate-office'] ?? '';
const clock = createSystemClock();

async function startCell(t: ExecutionContext, daemons: number): Promise<LocalCell> {
  const cell = await startLocalCell({
    plan: { ...example.plan, daemons: example.plan.daemons.slice(0, daemons) },
    extraArguments: ['--drain-deadline-milliseconds', String(DRAIN_DEADLINE_MILLISECONDS)],
    prepare: (started) => applyExample(started, example),
  });
  t.teardown(() => cell.close());
  return cell;
}

function daemonAt(cell: LocalCell, index: number): LocalDaemon {
  const daemon = cell.daemons[index];
  if (!daemon) throw new Error(`no daemon ${index}`);
  return daemon;
}

const job: JobRequest = {
  queue: 'certificates',
  kind: 'batch',
  tasks: 1,
  resources: { processors: 1, memoryBytes: 1, accelerators: 0 },
  idempotent: false,
  urgent: false,
  expectedRunMilliseconds: 100,
  payload: { runMilliseconds: 100, result: 'done' },
};

async function listDaemons(cell: LocalCell, target: LocalDaemon): Promise<readonly DaemonRow[]> {
  const operator = createOperatorCaller('bootstrap', cell.operatorToken);
  const outcome = await operator.listDaemons(target.apiAddress);
  await operator.close();
  return outcome.kind === 'answered' ? outcome.value.rows : [];
}

/** Without this wait, a stopped daemon might own no partitions and have nothing to hand over. */
function waitForEvenPartitions(cell: LocalCell): Promise<boolean> {
  const share = cell.plan.partitions / cell.daemons.length;
  return waitUntil(async () => {
    const rows = await listDaemons(cell, daemonAt(cell, 0));
    return rows.length > 0 && rows.every(({ partitions }) => partitions?.length === share);
  }, SETTLE_LIMIT_MILLISECONDS);
}

test.serial('a planned stop during a store outage exits with 1 by its deadline', async (t) => {
  const cell = await startCell(t, 3);
  const caller = createWorkCaller();
  t.teardown(() => caller.close());
  t.true(await waitForEvenPartitions(cell));
  const [stopped, ...others] = cell.daemons;
  cell.platform.store.faults.isDown = true;
  // Leaves uncommitted records in the journals of all daemons.
  const submissions = Array.from({ length: 30 }, () =>
    caller.submitJob(others[0]?.apiAddress ?? '', job, { keyText: TEAM_KEY }),
  );
  await sleep(clock, 500);
  const startedAt = clock.monotonicMilliseconds();
  const exit = await stopped?.terminate(STOP_LIMIT_MILLISECONDS);
  t.log(`ended after ${Math.round(clock.monotonicMilliseconds() - startedAt)} ms`);
  t.deepEqual(exit, { code: 1, signal: null });
  await Promise.all(submissions);
});

test.serial(
  'a planned stop of the last daemon loses no accepted job and exits with 0',
  async (t) => {
    const cell = await startCell(t, 1);
    const daemon = daemonAt(cell, 0);
    const caller = createWorkCaller();
    t.teardown(() => caller.close());
    const accepted = await caller.submitJob(daemon.apiAddress, job, { keyText: TEAM_KEY });
    t.is(accepted.kind, 'answered');
    const interactive = caller.submitRequest(
      daemon.apiAddress,
      {
        queue: 'bench-entries',
        idempotent: true,
        deadlineMilliseconds: 4_000,
        payload: { serviceMilliseconds: 2_000, result: 'served' },
      },
      { keyText: example.keys.teams['hsinchu-bench'] ?? '' },
    );
    await sleep(clock, 100);
    const exit = await daemon.terminate(STOP_LIMIT_MILLISECONDS);
    t.deepEqual(exit, { code: 0, signal: null });
    t.is((await interactive).kind, 'answered');
    daemon.start();
    t.true(await daemon.waitReady(SETTLE_LIMIT_MILLISECONDS));
    if (accepted.kind !== 'answered') return;
    const view = await caller.waitForJob(daemon.apiAddress, accepted.value.jobId, 9_000, TEAM_KEY);
    t.is(view.kind === 'answered' && view.value.state, 'succeeded');
  },
);

test.serial('a daemon that has left the cell is no longer listed', async (t) => {
  const cell = await startCell(t, 3);
  t.true(await waitForEvenPartitions(cell));
  const [first, second, stopped] = cell.daemons;
  if (!first || !second || !stopped) throw new Error('three daemons are needed');
  t.deepEqual(await stopped.terminate(STOP_LIMIT_MILLISECONDS), { code: 0, signal: null });
  for (const target of [first, second]) {
    const rows = await listDaemons(cell, target);
    t.deepEqual(
      rows.map(({ daemonId, state }) => `${daemonId} ${state}`),
      ['entry-1 serving', 'entry-2 serving'],
    );
  }
});
