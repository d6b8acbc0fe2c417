import { sleep } from '@chicorybend/common';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import type { JobStatus, StepSpecification } from '@chicorybend/scheduler';
import type { EndpointFleetOptions, FleetRun } from '@chicorybend/standins';

import {
  advanceUntil,
  createJobId,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import type { SchedulerCell } from '../core/schedulerCell.js';

const JOB = createJobId(13);
const TASK = `${JOB}.0.0.0`;

async function createCell(options: Partial<EndpointFleetOptions> = {}): Promise<SchedulerCell> {
  const cell = createSchedulerCell({ durationOf: () => Infinity, ...options });
  cell.startProcess('owner-0');
  await cell.advance(300);
  return cell;
}

async function submit(
  t: ExecutionContext,
  cell: SchedulerCell,
  step: Partial<StepSpecification> = { isLongRunning: true },
): Promise<void> {
  const specification = createJobSpecification(step);
  t.is((await cell.call({ path: `/work/${JOB}`, specification })).kind, 'accepted');
}

async function statusOf(cell: SchedulerCell): Promise<JobStatus | null> {
  const answer = await cell.call({ action: 'status', path: `/work/${JOB}` });
  return answer.kind === 'status' ? answer.status : null;
}

function runsOf(cell: SchedulerCell): FleetRun[] {
  return cell.fleet.history.filter(({ taskId }) => taskId === TASK);
}

/** @returns losses in the stored state of the first task */
function storedLosses(cell: SchedulerCell): readonly unknown[][] {
  const { value } = cell.store.get(`chicorybend/job/${JOB}/state`)!;
  const { occurrences } = JSON.parse(value) as { occurrences: [number, number[], unknown[][]][] };
  return (occurrences[0]?.[2][0]?.[8] ?? []) as unknown[][];
}

async function awaitRun(
  cell: SchedulerCell,
  run: number,
  milliseconds = 30_000,
): Promise<FleetRun> {
  await advanceUntil(cell, () => runsOf(cell).length >= run, milliseconds);
  return runsOf(cell)[run - 1]!;
}

async function replaceOwner(cell: SchedulerCell, name: string): Promise<void> {
  cell.startProcess(name);
  await advanceUntil(cell, () => cell.currentTerm() !== null, 5_000);
}

for (const keepsId of [true, false]) {
  const name = keepsId ? 'the same id' : 'a new id';
  test(`a task whose runs last 60 s is not given up for crashes during changes of the owner, ${name}`, async (t) => {
    const cell = await createCell({ count: 12 });
    await submit(t, cell);
    for (let crash = 1; crash <= 6; crash += 1) {
      const run = await awaitRun(cell, crash);
      if (!run) break;
      await cell.advance(60_000);
      cell.killOwner();
      cell.fleet.crash(run.endpointId, { downMilliseconds: 2_500, keepsId });
      await replaceOwner(cell, `owner-${crash}`);
      await awaitRun(cell, crash + 1);
      t.log(crash, JSON.stringify(storedLosses(cell)));
    }
    t.is(await statusOf(cell), 'running', `${runsOf(cell).length} runs`);
  });
}

test('an endpoint that restarts after its leases have lapsed without an owner is no crash under a run', async (t) => {
  const cell = await createCell({ count: 12 });
  await submit(t, cell);
  for (let gap = 1; gap <= 6; gap += 1) {
    const run = await awaitRun(cell, gap);
    if (!run) break;
    await cell.advance(20_000);
    cell.killOwner();
    await cell.advance(9_000);
    t.is(run.kind, 'lapsed');
    cell.fleet.restart(run.endpointId);
    await replaceOwner(cell, `owner-${gap}`);
    await awaitRun(cell, gap + 1);
    t.log(gap, JSON.stringify(storedLosses(cell)));
  }
  t.is(cell.fleet.crashesUnder(TASK), 0);
  t.is(await statusOf(cell), 'running', `${runsOf(cell).length} runs`);
});

test('an endpoint that leaves as planned during a change of the owner is no crash', async (t) => {
  const cell = await createCell({ count: 12 });
  await submit(t, cell);
  for (let leave = 1; leave <= 6; leave += 1) {
    const run = await awaitRun(cell, leave);
    if (!run) break;
    await cell.advance(20_000);
    cell.killOwner();
    cell.fleet.drain(run.endpointId, 500);
    await cell.advance(500);
    cell.fleet.release(run.endpointId, 500);
    await replaceOwner(cell, `owner-${leave}`);
    await awaitRun(cell, leave + 1);
    t.log(leave, JSON.stringify(storedLosses(cell)));
  }
  t.is(await statusOf(cell), 'running', `${runsOf(cell).length} runs`);
});

test('an endpoint whose connection was reset and that is replaced only after its runs have lapsed is no crash', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => Infinity, count: 12 });
  const { hold } = cell.fleet.client;
  const resets = new Map<string, () => void>();
  Object.assign(cell.fleet.client, {
    hold: (...[target, order, timeout]: Parameters<typeof hold>) =>
      Promise.race([
        hold(target, order, timeout),
        new Promise((resolve) => {
          resets.set(target.endpointId, () => {
            resolve({ kind: 'failed', reason: 'connection reset' });
          });
        }),
      ]),
  });
  cell.startProcess('owner-0');
  await cell.advance(300);
  await submit(t, cell);
  for (let cut = 1; cut <= 4; cut += 1) {
    const run = await awaitRun(cell, cut);
    if (!run) break;
    await cell.advance(700);
    const { endpointId } = run;
    cell.fleet.faultsOf(endpointId).isCutOff = true;
    resets.get(endpointId)!();
    await advanceUntil(cell, () => runsOf(cell).length > cut, 12_000);
    t.is(run.kind, 'lapsed');
    t.log(cut, 'lapsed', JSON.stringify(storedLosses(cell)));
    cell.fleet.drain(endpointId, 2_000);
    cell.clock.setTimer(() => {
      cell.fleet.release(endpointId, 500);
      cell.fleet.faultsOf(endpointId).isCutOff = false;
    }, 3_000);
  }
  await cell.advance(15_000);
  t.log(JSON.stringify(storedLosses(cell)));
  t.is(cell.fleet.crashesUnder(TASK), 0);
  t.is(await statusOf(cell), 'running', `${runsOf(cell).length} runs`);
});

test('a run that has outlived the losses of its task is not followed by a verdict when it is moved', async (t) => {
  const cell = await createCell({ count: 12 });
  await submit(t, cell);
  for (let crash = 1; crash <= 2; crash += 1) {
    const run = await awaitRun(cell, crash);
    await cell.advance(700);
    cell.fleet.crash(run.endpointId, { downMilliseconds: 40_000, keepsId: false });
  }
  const run = await awaitRun(cell, 3);
  await cell.advance(60_000);
  t.is(run.endedAt, null);
  t.log(JSON.stringify(storedLosses(cell)));
  cell.fleet.drain(run.endpointId, 5_000);
  await cell.advance(5_000);
  t.is(await statusOf(cell), 'running');
});

for (const [seconds, keepsId] of [
  [3, true],
  [3, false],
  [8, false],
  [12, true],
  [25, false],
] as const) {
  const name = `${keepsId ? 'the same id' : 'a new id'}, ${seconds} s`;
  test(`a task that crashes each endpoint is given up if they fall silent and come back, ${name}`, async (t) => {
    const cell = createSchedulerCell({ durationOf: () => Infinity, count: 24, rackSize: 4 });
    const dark = new Set<string>();
    const { hold } = cell.fleet.client;
    Object.assign(cell.fleet.client, {
      // A call to a machine without power ends with its timeout.
      async hold(...[target, order, timeout]: Parameters<typeof hold>) {
        const endsAt = cell.clock.monotonicMilliseconds() + order.waitMilliseconds + timeout;
        const outcome = await hold(target, order, timeout);
        const remaining = endsAt - cell.clock.monotonicMilliseconds();
        if (dark.has(target.endpointId) && remaining > 0) await sleep(cell.clock, remaining);
        return outcome;
      },
    });
    cell.startProcess('owner-0');
    await cell.advance(300);
    await submit(t, cell);
    for (let crash = 1; crash <= 8; crash += 1) {
      const run = await awaitRun(cell, crash);
      if (!run) break;
      await cell.advance(400);
      dark.add(run.endpointId);
      const faults = cell.fleet.faultsOf(run.endpointId);
      faults.isCutOff = true;
      cell.fleet.crash(run.endpointId, { downMilliseconds: seconds * 1_000, keepsId });
      cell.clock.setTimer(() => {
        faults.isCutOff = false;
        dark.delete(run.endpointId);
      }, seconds * 1_000);
    }
    await cell.advance(15_000);
    t.log(JSON.stringify(storedLosses(cell)));
    const starts = cell.fleet.startsAfterCrashes(TASK, 3);
    t.true(starts <= 2, `${starts} starts after three crashes`);
  });
}

test('a task is started again if its endpoint starts anew with a clock that was set back', async (t) => {
  const cell = await createCell({ count: 4 });
  const { hold } = cell.fleet.client;
  let restarted = '';
  Object.assign(cell.fleet.client, {
    async hold(...[target, order, timeout]: Parameters<typeof hold>) {
      const outcome = await hold(target, order, timeout);
      const isSetBack = outcome.kind === 'answered' && target.endpointId === restarted;
      return isSetBack ? { ...outcome, bornAt: 500 } : outcome;
    },
  });
  await submit(t, cell);
  const { endpointId } = await awaitRun(cell, 1);
  await cell.advance(1_000);
  restarted = endpointId;
  cell.fleet.restart(endpointId);
  cell.fleet.list({
    ...cell.fleet.entries().find((e) => e.endpointId === endpointId)!,
    bornAt: 500,
  });
  await awaitRun(cell, 2, 30_000);
  t.is(runsOf(cell).length, 2);
});

test('a task whose starts never arrive is not given up for restarts of their endpoints', async (t) => {
  const cell = await createCell({ count: 12 });
  const { start } = cell.fleet.client;
  const targets: string[] = [];
  Object.assign(cell.fleet.client, {
    async start(...parameters: Parameters<typeof start>) {
      const { endpointId } = parameters[0];
      cell.fleet.faultsOf(endpointId).isCutOff = true;
      targets.push(endpointId);
      return start(...parameters);
    },
  });
  await submit(t, cell);
  for (let attempt = 1; attempt <= 6; attempt += 1) {
    await advanceUntil(cell, () => targets.length >= attempt, 20_000);
    if (targets.length < attempt) break;
    await cell.advance(1_500);
    cell.fleet.restart(targets.at(-1)!);
    cell.fleet.faultsOf(targets.at(-1)!).isCutOff = false;
    await advanceUntil(cell, () => targets.length > attempt, 20_000);
    t.log(attempt, JSON.stringify(storedLosses(cell)));
  }
  t.is(runsOf(cell).length, 0);
  t.not(await statusOf(cell), 'failed');
});

test('a session of an endpoint that the directory has dropped ends with its last run', async (t) => {
  const cell = await createCell({ count: 1 });
  await submit(t, cell);
  const { endpointId } = await awaitRun(cell, 1);
  await cell.advance(500);
  cell.fleet.unlist(endpointId);
  cell.killOwner();
  await replaceOwner(cell, 'owner-1');
  await cell.advance(3_000);
  t.is((await cell.call({ action: 'cancel', path: `/work/${JOB}` })).kind !== 'failed', true);
  await cell.advance(30_000);
  let holds = 0;
  const { hold } = cell.fleet.client;
  Object.assign(cell.fleet.client, {
    hold(...parameters: Parameters<typeof hold>) {
      holds += 1;
      return hold(...parameters);
    },
  });
  await cell.advance(60_000);
  t.is(holds, 0);
});

test('a planned leave under the same id is no crash', async (t) => {
  for (let shift = 0; shift < 600; shift += 60) {
    const cell = await createCell({ count: 4, durationOf: () => 60_000 });
    await submit(t, cell, { estimatedMilliseconds: 60_000 });
    const { endpointId } = await awaitRun(cell, 1);
    await cell.advance(2_000 + shift);
    cell.fleet.drain(endpointId, 700);
    await cell.advance(700);
    cell.fleet.crash(endpointId, { downMilliseconds: 500, keepsId: true });
    await awaitRun(cell, 2);
    await cell.advance(100);
    t.deepEqual(storedLosses(cell), [], `shift ${shift}`);
  }
});

for (const spread of [0, 150]) {
  test(`long-running tasks begin again soon after a third of the endpoints is cut off, ${spread} ms apart`, async (t) => {
    const cell = createSchedulerCell({
      count: 24,
      rackSize: 4,
      durationOf: ({ taskId }) => (taskId.startsWith('00000000000001') ? Infinity : 200),
    });
    cell.startProcess('owner-0');
    await cell.advance(300);
    const short = createJobSpecification({ count: 4, maximumPerEndpoint: 1 });
    let next = 0x10000;
    const busy = async (milliseconds: number) => {
      const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
      while (cell.clock.monotonicMilliseconds() < endsAt) {
        await cell.call({ path: `/work/${createJobId(next)}`, specification: short });
        next += 1;
        await cell.advance(40);
      }
    };
    await busy(2_000);
    const specification = createJobSpecification({
      count: 8,
      isLongRunning: true,
      maximumPerEndpoint: 1,
    });
    for (let job = 0; job < 8; job += 1) {
      await cell.call({ path: `/work/${createJobId(0x100 + job)}`, specification });
    }
    await cell.advance(200);
    const isLasting = ({ taskId }: FleetRun) => taskId.startsWith('00000000000001');
    for (let index = 0; index < 8; index += 1) {
      cell.fleet.faultsOf(`endpoint-${3 * index}`).isCutOff = true;
      await busy(spread);
    }
    await busy(25_000);
    const lasting = cell.fleet.history.filter(isLasting);
    const gaps = lasting
      .filter(({ endedAt }) => endedAt !== null)
      .map((run) => {
        const later = lasting.find((other) => other.taskId === run.taskId && other.run > run.run);
        return Math.round((later?.startedAt ?? Infinity) - run.endedAt!);
      })
      .sort((left, right) => right - left);
    t.log(gaps.length, gaps.slice(0, 10).join(', '));
    t.log(gaps.filter((gap) => gap > 3_000).length, 'over 3 s');
    t.true(gaps.length > 5);
    t.true(gaps[0]! <= 4_000, `${gaps[0]} ms`);
    t.deepEqual(cell.fleet.violations(), []);
  });
}

test('a hold that failed long before says nothing about a later crash', async (t) => {
  const cell = createSchedulerCell({ durationOf: () => Infinity, count: 4 });
  const { hold } = cell.fleet.client;
  const resets = new Map<string, () => void>();
  Object.assign(cell.fleet.client, {
    hold: (...[target, order, timeout]: Parameters<typeof hold>) =>
      Promise.race([
        hold(target, order, timeout),
        new Promise((resolve) => {
          resets.set(target.endpointId, () => {
            resolve({ kind: 'failed', reason: 'connection reset' });
          });
        }),
      ]),
  });
  cell.startProcess('owner-0');
  await cell.advance(300);
  await submit(t, cell);
  const { endpointId } = await awaitRun(cell, 1);
  await cell.advance(5_200);
  resets.get(endpointId)!();
  await cell.advance(20_000);
  t.is(runsOf(cell).length, 1);
  Object.assign(cell.fleet.client, { hold });
  await cell.advance(2_000);
  // The hold in flight gets no answer before the new incarnation does.
  cell.fleet.faultsOf(endpointId).isCutOff = true;
  await cell.advance(100);
  cell.fleet.restart(endpointId);
  cell.fleet.faultsOf(endpointId).isCutOff = false;
  await awaitRun(cell, 2);
  await cell.advance(100);
  t.deepEqual(
    storedLosses(cell).map((loss) => loss[3]),
    ['crashed'],
  );
});

for (const isBusy of [false, true]) {
  const name = isBusy ? 'beside short tasks' : 'in an idle fleet';
  test(`many long-running suspects by silence begin again within 3 s of their lapse, ${name}`, async (t) => {
    const cell = createSchedulerCell({
      count: 24,
      rackSize: 24,
      durationOf: ({ taskId }) => (taskId.startsWith('00000000000001') ? Infinity : 200),
    });
    cell.startProcess('owner-0');
    await cell.advance(300);
    const isLasting = ({ taskId }: FleetRun) => taskId.startsWith('00000000000001');
    const short = createJobSpecification({ count: 4, maximumPerEndpoint: 1 });
    let next = 0x10000;
    const pass = async (milliseconds: number) => {
      const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
      while (cell.clock.monotonicMilliseconds() < endsAt) {
        if (isBusy) await cell.call({ path: `/work/${createJobId(next)}`, specification: short });
        next += 1;
        await cell.advance(40);
      }
    };
    await pass(1_000);
    const lasting = createJobSpecification({ isLongRunning: true });
    let jobs = 0;
    const cut = new Set<string>();
    for (let index = 0; index < 8; index += 1) {
      for (let count = 0; count < 6; count += 1) {
        await cell.call({ path: `/work/${createJobId(0x100 + jobs)}`, specification: lasting });
        jobs += 1;
      }
      await cell.advance(100);
      const hosts = cell.fleet.history.filter(isLasting).map(({ endpointId }) => endpointId);
      const host = hosts.reverse().find((endpointId) => !cut.has(endpointId))!;
      cut.add(host);
      cell.fleet.faultsOf(host).isCutOff = true;
      await pass(700);
    }
    await pass(30_000);
    const runs = cell.fleet.history.filter(isLasting);
    const gaps = runs
      .filter(({ endedAt }) => endedAt !== null)
      .map((run) => {
        const later = runs.find((other) => other.taskId === run.taskId && other.run > run.run);
        return Math.round((later?.startedAt ?? Infinity) - run.endedAt!);
      })
      .sort((left, right) => right - left);
    t.log(gaps.length, gaps.slice(0, 16).join(', '));
    t.true(gaps.length > 8);
    t.true(gaps[0]! <= 3_000, `${gaps[0]} ms`);
  });
}

test('a task is not given up because its endpoints leave as planned and start again under their ids', async (t) => {
  const cell = await createCell({ count: 4, durationOf: () => 60_000 });
  await submit(t, cell, { estimatedMilliseconds: 60_000 });
  for (let leave = 1; leave <= 5; leave += 1) {
    const run = await awaitRun(cell, leave);
    if (!run) break;
    await cell.advance(1_000);
    cell.fleet.drain(run.endpointId, 700);
    await cell.advance(700);
    cell.fleet.crash(run.endpointId, { downMilliseconds: 500, keepsId: true });
    await awaitRun(cell, leave + 1);
    t.log(leave, JSON.stringify(storedLosses(cell)));
  }
  t.not(await statusOf(cell), 'failed');
});

test('a session of an endpoint that the directory has dropped ends also without a takeover', async (t) => {
  const cell = await createCell({ count: 1 });
  await submit(t, cell);
  const { endpointId } = await awaitRun(cell, 1);
  await cell.advance(500);
  cell.fleet.unlist(endpointId);
  await cell.advance(3_000);
  await cell.call({ action: 'cancel', path: `/work/${JOB}` });
  await cell.advance(30_000);
  let holds = 0;
  const { hold } = cell.fleet.client;
  Object.assign(cell.fleet.client, {
    hold(...parameters: Parameters<typeof hold>) {
      holds += 1;
      return hold(...parameters);
    },
  });
  await cell.advance(60_000);
  t.is(holds, 0);
});

test('a third of the endpoints cut off twice keeps no long-running task waiting beside short ones', async (t) => {
  const cell = createSchedulerCell({
    count: 24,
    rackSize: 24,
    durationOf: ({ taskId }) => (taskId.startsWith('00000000000001') ? Infinity : 200),
  });
  cell.startProcess('owner-0');
  await cell.advance(300);
  const isLasting = ({ taskId }: FleetRun) => taskId.startsWith('00000000000001');
  const short = createJobSpecification({ count: 12, maximumPerEndpoint: 1 });
  let next = 0x10000;
  const pass = async (milliseconds: number) => {
    const endsAt = cell.clock.monotonicMilliseconds() + milliseconds;
    while (cell.clock.monotonicMilliseconds() < endsAt) {
      await cell.call({ path: `/work/${createJobId(next)}`, specification: short });
      next += 1;
      await cell.advance(40);
    }
  };
  for (let job = 0; job < 48; job += 1) {
    const specification = createJobSpecification({ isLongRunning: true });
    await cell.call({ path: `/work/${createJobId(0x100 + job)}`, specification });
  }
  await pass(3_000);
  for (let wave = 0; wave < 3; wave += 1) {
    const hosts = [
      ...new Set(
        cell.fleet.history
          .filter((run) => isLasting(run) && run.endedAt === null)
          .map(({ endpointId }) => endpointId),
      ),
    ].filter((endpointId) => !cell.fleet.faultsOf(endpointId).isCutOff);
    for (const endpointId of hosts.slice(0, 6)) {
      const faults = cell.fleet.faultsOf(endpointId);
      faults.isCutOff = true;
      cell.clock.setTimer(() => {
        faults.isCutOff = false;
      }, 20_000);
      await pass(400);
    }
    await pass(9_000);
  }
  await pass(15_000);
  const runs = cell.fleet.history.filter(isLasting);
  const gaps = runs
    .filter(({ endedAt }) => endedAt !== null)
    .map((run) => {
      const later = runs.find((other) => other.taskId === run.taskId && other.run > run.run);
      return Math.round((later?.startedAt ?? Infinity) - run.endedAt!);
    })
    .sort((left, right) => right - left);
  t.log(gaps.length, gaps.slice(0, 16).join(', '));
  t.true(gaps[0]! <= 3_000, `${gaps[0]} ms`);
});

test('unlisted endpoints of different racks are not taken for one rack after a change of the owner', async (t) => {
  const cell = await createCell({ count: 8, rackSize: 2 });
  await submit(t, cell, { isLongRunning: true, count: 8, maximumPerEndpoint: 1 });
  await cell.advance(500);
  cell.killOwner();
  const lost = ['endpoint-0', 'endpoint-2'];
  lost.forEach((endpointId) => {
    cell.fleet.crash(endpointId, { downMilliseconds: 9_000, keepsId: false });
  });
  await cell.advance(5_000);
  await replaceOwner(cell, 'owner-1');
  await cell.advance(12_000);
  const { value } = cell.store.get(`chicorybend/job/${JOB}/state`)!;
  const { occurrences } = JSON.parse(value) as { occurrences: [number, number[], unknown[][]][] };
  const losses = occurrences[0]![2].flatMap((task) => (task[8] ?? []) as unknown[][]);
  t.log(JSON.stringify(losses));
  t.is(losses.length, 2);
  t.false(losses.some((loss) => loss[1] === 'common'));
});

test('an endpoint that left as planned soon after a start, without an owner, is no crash', async (t) => {
  const cell = await createCell({ count: 4 });
  await submit(t, cell);
  const { endpointId } = await awaitRun(cell, 1);
  cell.killOwner();
  cell.fleet.drain(endpointId, 500);
  await cell.advance(500);
  cell.fleet.release(endpointId, 500);
  await replaceOwner(cell, 'owner-1');
  await awaitRun(cell, 2);
  t.deepEqual(storedLosses(cell), []);
});
