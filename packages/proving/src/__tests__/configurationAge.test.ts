import type { CallerRequest, ClusterConfiguration } from '@chicorybend/scheduler';
import test from 'ava';

import {
  CONFIGURATION,
  createJobSpecification,
  createSchedulerCell,
} from '../core/schedulerCell.js';
import { waitUntil } from '../utils/waitUntil.js';
import { callScheduler, clock, createPeerCell, START_LIMIT_MILLISECONDS } from './peerCell.js';

/** Time after which a change of the configuration is in effect for every call. */
const APPLY_MILLISECONDS = 2_000;
const LONG_LEASE_MILLISECONDS = 5_000;
const CALL_LIMIT_MILLISECONDS = 1_000;
const POLL_MILLISECONDS = 100;

const [QUEUE] = CONFIGURATION.queues;
const [TEAM] = CONFIGURATION.teams;
const ADDED_QUEUE = { ...QUEUE!, name: 'added', pathPrefix: '/added/' };
const PUBLIC_QUEUE = { ...QUEUE!, name: 'public', pathPrefix: '/public/', isPublic: true };

/** What an owner that does not know of a change would answer, for a call that the change is about. */
const CHANGES: Readonly<
  Record<
    string,
    {
      readonly before: Partial<ClusterConfiguration>;
      readonly after: Partial<ClusterConfiguration>;
      readonly request: Partial<CallerRequest>;
      readonly outdated: string;
    }
  >
> = {
  'an added queue as unknown': {
    before: {},
    after: { queues: [QUEUE!, ADDED_QUEUE] },
    request: { path: '/added/' },
    outdated: 'unknown-queue',
  },
  'a removed queue as known': {
    before: { queues: [QUEUE!, ADDED_QUEUE] },
    after: {},
    request: { path: '/added/' },
    outdated: 'waiting',
  },
  'a removed public queue as known': {
    before: { queues: [QUEUE!, PUBLIC_QUEUE] },
    after: {},
    request: { path: '/public/', key: '' },
    outdated: 'waiting',
  },
  'an added key as unknown': {
    before: {},
    after: { teams: [{ ...TEAM!, keys: ['key-1', 'key-2'] }] },
    request: { path: '/work/', key: 'key-2' },
    outdated: 'wrong-key',
  },
  'a removed key as known': {
    before: {},
    after: { teams: [{ ...TEAM!, keys: ['key-2'] }] },
    request: { path: '/work/' },
    outdated: 'waiting',
  },
};

// An owner keeps its lease while it cannot read the configuration, and others forward calls to it.
Object.entries(CHANGES).forEach(([name, { before, after, request, outdated }]) => {
  test(`an owner that cannot read the configuration does not treat ${name} once the change is in effect`, async (t) => {
    const cell = createSchedulerCell();
    cell.configuration = { ...CONFIGURATION, ...before };
    cell.startProcess('first');
    await cell.advance(1_000);
    const read = { action: 'status', ...request } as const;
    cell.isConfigurationSilent = true;
    cell.configuration = { ...CONFIGURATION, ...after, version: 2 };
    const { kind } = await cell.call(read);
    t.is(kind, outdated === 'waiting' ? 'waiting' : 'failed', 'before the change is in effect');
    await cell.advance(APPLY_MILLISECONDS);
    for (let elapsed = 0; elapsed < 3_000; elapsed += POLL_MILLISECONDS) {
      const answer = await cell.call(read);
      const description = answer.kind === 'failed' ? answer.failure.code : answer.kind;
      t.is(description, 'configuration-not-fresh');
      await cell.advance(POLL_MILLISECONDS);
    }
    cell.isConfigurationSilent = false;
    await cell.advance(1_000);
    const current = await cell.call(read);
    t.not(current.kind === 'failed' ? current.failure.code : current.kind, outdated);
  });
});

test('a call waits for a reading of the configuration that is late, and is then answered', async (t) => {
  const cell = createSchedulerCell();
  cell.startProcess('first');
  await cell.advance(1_000);
  cell.isConfigurationSilent = true;
  await cell.advance(APPLY_MILLISECONDS + 500);
  cell.isConfigurationSilent = false;
  const specification = createJobSpecification({ count: 1 });
  t.deepEqual(await cell.call({ specification }), { kind: 'accepted' });
});

// The monotonic clock may stand still meanwhile, so that the configuration seems as young as before.
test('an owner that was suspended reads the configuration again before it accepts a key', async (t) => {
  const cell = createSchedulerCell();
  cell.startProcess('first');
  await cell.advance(1_000);
  cell.configuration = { ...CONFIGURATION, teams: [{ ...TEAM!, keys: ['key-2'] }], version: 2 };
  cell.wallStepMilliseconds = 4_000;
  const answer = await cell.call({ action: 'status', path: '/work/' });
  t.is(answer.kind === 'failed' ? answer.failure.code : answer.kind, 'wrong-key');
});

// The same over real connections: the VM that is asked reaches the store, and the owner does not.
test('an owner that is cut off from the store does not answer for others by an outdated configuration', async (t) => {
  t.timeout(30_000);
  const cell = createPeerCell(t, { leaseMilliseconds: LONG_LEASE_MILLISECONDS });
  const owner = await cell.start('owner');
  t.true(await waitUntil(owner.isReady, START_LIMIT_MILLISECONDS));
  const standby = await cell.start('standby');
  t.true(await waitUntil(standby.isReady, START_LIMIT_MILLISECONDS));
  cell.store.faultsOf('owner').outage = 'silent';
  cell.configuration = { ...CONFIGURATION, queues: [QUEUE!, ADDED_QUEUE], version: 2 };
  const changedAt = clock.monotonicMilliseconds();
  const outdated: number[] = [];
  const isServed = async () => {
    const sentAt = clock.monotonicMilliseconds();
    const answer = await callScheduler(standby, CALL_LIMIT_MILLISECONDS, {
      action: 'status',
      path: '/added/',
    });
    const isOutdated = answer.kind === 'failed' && answer.failure.code === 'unknown-queue';
    if (isOutdated) outdated.push(sentAt - changedAt);
    return answer.kind === 'waiting';
  };
  t.true(await waitUntil(isServed, LONG_LEASE_MILLISECONDS + START_LIMIT_MILLISECONDS));
  t.true(outdated.length > 0, 'the owner was asked');
  t.deepEqual(
    outdated.filter((milliseconds) => milliseconds > APPLY_MILLISECONDS),
    [],
  );
});
