import { sleep } from '@chicorybend/common';
import test from 'ava';

import { waitUntil } from '../utils/waitUntil.js';
import { callScheduler, clock, createPeerCell, START_LIMIT_MILLISECONDS } from './peerCell.js';

test('a VM that learns of the end of a term only from the former owner refuses calls as not run, and is not ready', async (t) => {
  t.timeout(30_000);
  const { store, start } = createPeerCell(t);
  const owner = await start('owner');
  t.true(await waitUntil(owner.isReady, START_LIMIT_MILLISECONDS));
  const standby = await start('standby');
  t.true(await waitUntil(standby.isReady, START_LIMIT_MILLISECONDS));
  store.faultsOf('standby').outage = 'silent';
  await owner.handOver();
  const answer = await callScheduler(standby, 700);
  t.is(answer.kind, 'failed');
  if (answer.kind === 'failed') t.is(answer.failure.run, 'not-run');
  t.false(standby.isReady());
});

test('a VM that connects to an owner whose claim has not been answered stays with it', async (t) => {
  t.timeout(30_000);
  const { store, start } = createPeerCell(t);
  const faults = store.faultsOf('owner');
  faults.lostAnswerFraction = 1;
  const owner = await start('owner');
  const isClaimed = () => store.get('chicorybend/owner') !== null;
  t.true(await waitUntil(isClaimed, START_LIMIT_MILLISECONDS));
  Object.assign(faults, { lostAnswerFraction: 0, outage: 'silent' });
  const standby = await start('standby');
  t.true(await waitUntil(standby.isReady, START_LIMIT_MILLISECONDS));
  const answer = callScheduler(standby, 2_500);
  await sleep(clock, 200);
  t.false(owner.isReady());
  faults.outage = null;
  t.is((await answer).kind, 'accepted');
  t.true(owner.isReady());
  t.true(standby.isReady());
});

test('a lost owner is followed by a VM as strong as it, and by a weaker one if there is none', async (t) => {
  t.timeout(30_000);
  const { store, start, ownerName } = createPeerCell(t);
  const owner = await start('owner');
  t.true(await waitUntil(owner.isReady, START_LIMIT_MILLISECONDS));
  const others = await Promise.all([
    start('slow-link', { processors: 1, linkMegabitsPerSecond: 10 }),
    start('few-processors', { processors: 0.6, linkMegabitsPerSecond: 100 }),
    start('equal'),
  ]);
  t.true(await waitUntil(() => others.every(({ isReady }) => isReady()), START_LIMIT_MILLISECONDS));
  await sleep(clock, 200);
  // Without an order of claims, the others are faster.
  store.faultsOf('equal').latencyMilliseconds = 30;
  owner.stop();
  t.true(await waitUntil(() => ownerName() === null, START_LIMIT_MILLISECONDS));
  t.true(await waitUntil(() => ownerName() !== null, START_LIMIT_MILLISECONDS));
  t.is(ownerName(), 'equal');
  others[2].stop();
  t.true(await waitUntil(() => ownerName() === null, START_LIMIT_MILLISECONDS));
  t.true(await waitUntil(() => ownerName() !== null, 1_000));
  t.is(ownerName(), 'few-processors');
});
