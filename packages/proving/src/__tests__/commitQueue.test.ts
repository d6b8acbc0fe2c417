import { createManualClock, createSilentLog } from '@chicorybend/common';
import type { ManualClock } from '@chicorybend/common';
import { createCommitQueue, createWorkMeter } from '@chicorybend/scheduler';
import type { CommitUrgency } from '@chicorybend/scheduler';
import { createClusterStoreStandIn } from '@chicorybend/standins';
import test from 'ava';
import { setImmediate } from 'node:timers/promises';

const OWNER_KEY = 'chicorybend/owner';
const LATENCY_MILLISECONDS = 20;

async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 2) {
    clock.advance(2);
    await setImmediate();
  }
}

/** @returns queue, and a function that stages keys and records the order in which they become durable */
async function createQueue() {
  const clock = createManualClock();
  const store = createClusterStoreStandIn(clock);
  store.put(OWNER_KEY, 'owner');
  store.faultsOf('a').latencyMilliseconds = LATENCY_MILLISECONDS;
  const durable: string[] = [];
  const queue = createCommitQueue({
    store: store.client('a'),
    clock,
    log: createSilentLog(),
    workMeter: createWorkMeter(clock, () => 0),
    term: { epoch: 1, ownerRevision: store.get(OWNER_KEY)!.revision },
    chainRevision: 0,
    onOwnershipLost: () => {},
    onCommit: () => {},
  });
  function stage(key: string, urgency: CommitUrgency): void {
    void queue.stage(key, () => key, urgency).then(() => durable.push(key));
  }
  return { clock, queue, stage, durable };
}

test('a start does not wait for the records of ends that were staged before it', async (t) => {
  const { clock, stage, durable } = await createQueue();
  for (let index = 0; index < 200; index += 1) stage(`end-${index}`, 'deferred');
  stage('start', 'now');
  await advance(clock, 3 * LATENCY_MILLISECONDS);
  t.true(durable.includes('start'));
  t.true(durable.length < 100);
});

test('a key that was deferred is written at once when something waits for it, with one write', async (t) => {
  const { clock, stage, durable } = await createQueue();
  for (let index = 0; index < 200; index += 1) stage(`end-${index}`, 'deferred');
  stage('end-199', 'now');
  await advance(clock, 3 * LATENCY_MILLISECONDS);
  t.is(durable.filter((key) => key === 'end-199').length, 2);
});

test('ends become durable although starts take all the room of each write', async (t) => {
  const { clock, stage, durable } = await createQueue();
  stage('end', 'deferred');
  for (let index = 0; index < 60; index += 1) {
    for (let start = 0; start < 30; start += 1) stage(`start-${index}-${start}`, 'now');
    await advance(clock, LATENCY_MILLISECONDS);
  }
  t.true(durable.includes('end'));
});
