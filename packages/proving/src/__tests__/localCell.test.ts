import { existsSync, rmSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { fileURLToPath } from 'node:url';

import { listenOnStablePort } from '@chicorybend/standins';
import test from 'ava';

import { createWorkCaller, readExample, startLocalCell, waitUntil } from '../index.js';
import type { LocalCell, LocalDaemon } from '../index.js';

const PROGRAM = fileURLToPath(new URL('./stubDaemon.js', import.meta.url));
const LIMIT_MILLISECONDS = 20_000;

function startCell(): Promise<LocalCell> {
  const { plan } = readExample('coldline');
  return startLocalCell({ plan: { ...plan, daemons: plan.daemons.slice(0, 3) }, program: PROGRAM });
}

function daemonAt(cell: LocalCell, index: number): LocalDaemon {
  const daemon = cell.daemons[index];
  if (!daemon) throw new Error(`no daemon ${index}`);
  return daemon;
}

function isAlive(processId: number): boolean {
  try {
    process.kill(processId, 0);
    return true;
  } catch {
    return false;
  }
}

/** Connects to a daemon's peer port as another daemon does: from the caller's own address, through the relay. */
function callPeer(caller: LocalDaemon, target: LocalDaemon) {
  let received = '';
  const socket: Socket = connect({
    host: target.host,
    port: target.peerRelay.port,
    localAddress: caller.host,
  });
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  return { socket, received: () => received };
}

test.serial('daemon processes can be killed, paused, resumed, stopped and restarted', async (t) => {
  const cell = await startCell();
  const [first, second, third] = [0, 1, 2].map((index) => daemonAt(cell, index));
  if (!first || !second || !third) throw new Error('three daemons are needed');
  await first.kill();
  t.is(first.exits()[0]?.signal, 'SIGKILL');
  t.false(await first.isReady());
  first.start();
  t.true(await first.waitReady(LIMIT_MILLISECONDS));
  second.pause();
  t.false(await second.isReady());
  second.resume();
  t.true(await second.waitReady(LIMIT_MILLISECONDS));
  t.deepEqual(await third.terminate(LIMIT_MILLISECONDS), { code: 0, signal: null });
  const processIds = [first, second].map((daemon) => daemon.processId() ?? 0);
  t.true(processIds.every(isAlive));
  second.pause();
  await cell.close();
  t.false(processIds.some(isAlive), 'a daemon process is still running after the cell was closed');
});

test.serial(
  'a link fault between two daemons does not affect links to other daemons',
  async (t) => {
    const cell = await startCell();
    const [first, second, third] = [0, 1, 2].map((index) => daemonAt(cell, index));
    if (!first || !second || !third) throw new Error('three daemons are needed');
    const undo = cell.applyLinkFault(first, second, { kind: 'silence' });
    const silent = callPeer(first, second);
    const backward = callPeer(second, first);
    const other = callPeer(third, second);
    [silent, backward, other].forEach(({ socket }) => socket.write('a'));
    t.true(await waitUntil(() => other.received() === 'a', LIMIT_MILLISECONDS));
    t.is(silent.received(), '');
    t.is(backward.received(), '');
    undo();
    t.true(await waitUntil(() => silent.received() === 'a', LIMIT_MILLISECONDS));
    t.true(await waitUntil(() => backward.received() === 'a', LIMIT_MILLISECONDS));
    await cell.close();
  },
);

test.serial('a link can fail in one direction only', async (t) => {
  const cell = await startCell();
  t.teardown(() => cell.close());
  const first = daemonAt(cell, 0);
  const second = daemonAt(cell, 1);
  cell.applyOneWayFault(first, second, { kind: 'silence' });
  // Bytes that the second daemon sends over its own connection arrive, but the answer is held back.
  const call = callPeer(second, first);
  call.socket.write('a');
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  t.is(call.received(), '');
});

test.serial(
  'a job submitted through one daemon can be awaited through another and appears in the record',
  async (t) => {
    const cell = await startCell();
    t.teardown(() => cell.close());
    const caller = createWorkCaller();
    const resources = { processors: 1, memoryBytes: 1_000, accelerators: 0 };
    const outcome = await caller.submitJob(daemonAt(cell, 2).apiAddress, {
      queue: 'certificates',
      kind: 'batch',
      tasks: 2,
      resources,
      idempotent: true,
      urgent: false,
      expectedRunMilliseconds: 100,
      payload: { runMilliseconds: 50, result: 'done', marker: 'm1' },
    });
    if (outcome.kind !== 'answered') throw new Error(JSON.stringify(outcome));
    const { jobId } = outcome.value;
    const view = await caller.waitForJob(daemonAt(cell, 1).apiAddress, jobId, LIMIT_MILLISECONDS);
    t.is(view.kind === 'answered' && view.value.state, 'succeeded');
    t.is(cell.platform.record.entriesOf('task-started').length, 2);
    t.is(cell.platform.record.entriesOf('task-started')[0]?.marker, 'm1');
    await caller.close();
  },
);

test.serial(
  'a cell whose daemons do not become ready in time is shut down and keeps its output',
  async (t) => {
    const { plan } = readExample('van-dijkhuizen');
    const program = fileURLToPath(new URL('./silentProgram.js', import.meta.url));
    const processIds: (number | null)[] = [];
    const folders: string[] = [];
    const attempt = startLocalCell({
      plan: { ...plan, daemons: plan.daemons.slice(0, 1) },
      program,
      readyLimitMilliseconds: 300,
      prepare: async (cell) => {
        processIds.push(daemonAt(cell, 0).processId());
        folders.push(cell.outputFolder);
      },
    });
    await t.throwsAsync(attempt, { message: /did not become ready/ });
    t.is(processIds.length, 1);
    t.false(processIds.some((processId) => processId !== null && isAlive(processId)));
    // After a failure the daemons' output is kept for diagnosis.
    folders.forEach((folder) => {
      t.true(existsSync(folder));
      rmSync(folder, { recursive: true });
    });
  },
);

test.serial('a daemon whose preferred port is in use listens on another one', async (t) => {
  const { plan } = readExample('coldline');
  const occupier = createServer();
  const apiPort = await listenOnStablePort(occupier, { host: '127.0.0.11' });
  t.teardown(() => occupier.close());
  const cell = await startLocalCell({
    plan: { ...plan, daemons: plan.daemons.slice(0, 2) },
    program: PROGRAM,
    apiPort,
  });
  t.teardown(() => cell.close());
  t.is(daemonAt(cell, 0).host, '127.0.0.11');
  t.not(daemonAt(cell, 0).apiAddress, `http://127.0.0.11:${apiPort}`);
  t.is(daemonAt(cell, 1).apiAddress, `http://127.0.0.12:${apiPort}`);
});
