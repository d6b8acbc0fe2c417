import { setImmediate } from 'node:timers/promises';

import { createManualClock, createSilentLog } from '@chicorybend/common';
import { createOwnerElection } from '@chicorybend/scheduler';
import type { ClusterStore } from '@chicorybend/scheduler';
import { createClusterStoreStandIn } from '@chicorybend/standins';
import test from 'ava';

const OWNER_KEY = 'chicorybend/owner';
const USUAL_MILLISECONDS = 1_200;

/** @param change changes the calls of the process to its store */
function createElection(change: (store: ClusterStore) => Partial<ClusterStore> = () => ({})) {
  const clock = createManualClock();
  const store = createClusterStoreStandIn(clock);
  const client = { ...store.client('a'), ...change(store.client('a')) };
  const requested: number[] = [];
  let endedTerms = 0;
  const election = createOwnerElection({
    store: {
      ...client,
      grantLease(milliseconds, timeout) {
        requested.push(milliseconds);
        return client.grantLease(milliseconds, timeout);
      },
    },
    clock,
    log: createSilentLog(),
    address: 'a',
    leaseMilliseconds: USUAL_MILLISECONDS,
    claimDelayMilliseconds: 0,
    claimTurns: () => 0,
    onOwnerChange: () => {},
    onTermStart: () => {},
    onTermEnd() {
      endedTerms += 1;
    },
  });
  void election.run();
  /** @param stall length of the steps, in which the process handles nothing, in milliseconds */
  async function advance(milliseconds: number, stall = 2): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + milliseconds;
    while (clock.monotonicMilliseconds() < endsAt) {
      clock.advance(stall);
      await setImmediate();
    }
  }
  return { election, store, requested, endedTerms: () => endedTerms, advance };
}

test('an owner never acts for longer than the lease that the store has granted', async (t) => {
  const { election, advance } = createElection((store) => ({
    grantLease: (_milliseconds, timeout) => store.grantLease(400, timeout),
    renewLease: () => Promise.resolve('failed'),
  }));
  await advance(100);
  t.true(election.isOwnerLeaseValid());
  await advance(300);
  t.false(election.isOwnerLeaseValid());
});

test('a term that was lost before its state was recovered is followed by a longer lease', async (t) => {
  const { election, requested, advance } = createElection();
  for (let losses = 0; losses < 3; losses += 1) {
    await advance(200);
    election.abandonTerm('lost');
    await advance(6_000);
  }
  t.is(requested[0], USUAL_MILLISECONDS);
  t.true(requested[1]! >= 2 * USUAL_MILLISECONDS);
  t.true(requested[2]! > requested[1]!);
  t.true(requested.every((milliseconds) => milliseconds <= 5_000));
});

test('a process that runs late requests a lease that it can renew, and the usual one once it is not late any more', async (t) => {
  const { election, store, requested, endedTerms, advance } = createElection();
  store.put(OWNER_KEY, JSON.stringify({ address: 'b', epoch: 1 }));
  await advance(4_000, 800);
  store.remove(OWNER_KEY);
  await advance(12_000, 800);
  t.is(requested.length, 1);
  t.is(endedTerms(), 0);
  t.true(election.isOwnerLeaseValid());
  election.recordRecovery();
  await advance(60_000);
  election.abandonTerm('lost');
  await advance(6_000);
  t.is(requested.at(-1), USUAL_MILLISECONDS);
});
