import type { CallerAnswer, ClusterConfiguration, Scheduler } from '@chicorybend/scheduler';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { createJobId, createJobSpecification } from '../core/schedulerCell.js';
import { waitUntil } from '../utils/waitUntil.js';
import { callScheduler, createPeerCell, START_LIMIT_MILLISECONDS } from './peerCell.js';
import type { PeerCell } from './peerCell.js';

const CALL_LIMIT_MILLISECONDS = 10_000;
const TEST_LIMIT_MILLISECONDS = 30_000;
const SPECIFICATION_KEY = `chicorybend/job/${createJobId(1)}/specification`;
const STATE_KEY = `chicorybend/job/${createJobId(1)}/state`;

interface Pair {
  readonly cell: PeerCell;
  readonly owner: Scheduler;
  readonly standby: Scheduler;
}

async function startPair(t: ExecutionContext): Promise<Pair> {
  t.timeout(TEST_LIMIT_MILLISECONDS);
  const cell = createPeerCell(t);
  const owner = await cell.start('owner');
  t.true(await waitUntil(owner.isReady, START_LIMIT_MILLISECONDS));
  const standby = await cell.start('standby');
  t.true(await waitUntil(standby.isReady, START_LIMIT_MILLISECONDS));
  return { cell, owner, standby };
}

/** Loses the owner after it has stored a job and before it answers the VM that forwarded the job. */
async function submitAndLoseOwner(
  t: ExecutionContext,
  { cell, owner, standby }: Pair,
  change: (configuration: ClusterConfiguration) => ClusterConfiguration,
): Promise<CallerAnswer> {
  cell.store.faultsOf('owner').lostAnswerFraction = 1;
  const answer = callScheduler(standby, CALL_LIMIT_MILLISECONDS);
  const isStored = () => cell.store.get(SPECIFICATION_KEY) !== null;
  t.true(await waitUntil(isStored, CALL_LIMIT_MILLISECONDS));
  cell.configuration = { ...change(cell.configuration), version: cell.configuration.version + 1 };
  owner.stop();
  return answer;
}

const CHANGES: Readonly<
  Record<string, (configuration: ClusterConfiguration) => ClusterConfiguration>
> = {
  'its key is unknown': (configuration) => ({
    ...configuration,
    teams: configuration.teams.map((team) => ({ ...team, keys: ['key-2'] })),
  }),
  'its key belongs to another team': (configuration) => ({
    ...configuration,
    teams: configuration.teams.map((team) => ({ ...team, name: 'other' })),
  }),
  'its queue is unknown': (configuration) => ({ ...configuration, queues: [] }),
  'its body is too large': (configuration) => ({ ...configuration, maximumBodyBytes: 10 }),
};

// The caller would be told that the job has not run, and would not ask again, while the job runs.
Object.entries(CHANGES).forEach(([name, change]) => {
  test(`a job that was accepted without an answer is not reported as refused by the next owner when ${name}`, async (t) => {
    const pair = await startPair(t);
    const answer = await submitAndLoseOwner(t, pair, change);
    const isStarted = () => pair.cell.fleet.history.length > 0;
    t.true(await waitUntil(isStarted, CALL_LIMIT_MILLISECONDS));
    t.is(answer.kind, 'failed');
    if (answer.kind === 'failed') t.is(answer.failure.run, 'unknown');
  });
});

// The caller would be told that the job goes on, while it has been stopped.
test('a cancellation without an answer is not reported as refused by the next owner when its key is unknown', async (t) => {
  const { cell, owner, standby } = await startPair(t);
  const specification = createJobSpecification({ requiredLabel: 'missing' });
  const accepted = await callScheduler(standby, CALL_LIMIT_MILLISECONDS, { specification });
  t.is(accepted.kind, 'accepted');
  cell.store.faultsOf('owner').lostAnswerFraction = 1;
  const answer = callScheduler(standby, CALL_LIMIT_MILLISECONDS, { action: 'cancel' });
  const isStored = () => cell.store.get(STATE_KEY)?.value.includes('cancelled') === true;
  t.true(await waitUntil(isStored, CALL_LIMIT_MILLISECONDS));
  const change = CHANGES['its key is unknown']!;
  cell.configuration = { ...change(cell.configuration), version: 2 };
  owner.stop();
  const outcome = await answer;
  t.is(outcome.kind, 'failed');
  if (outcome.kind === 'failed') t.is(outcome.failure.run, 'unknown');
});
