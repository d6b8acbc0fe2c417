import { createManualClock } from '@chicorybend/common';
import test from 'ava';

import {
  createHeartbeatLoadDeltas,
  FULL_RESEND_INTERVAL_MILLISECONDS,
} from '../core/heartbeatLoadDeltas.js';
import type { PartitionLoad } from '../types/partition.js';
import type { HeartbeatLoads } from '../types/peerMethods.js';

const NO_RESOURCES = { processors: 0, memoryBytes: 0, accelerators: 0 };

function createLoad(partition: number, freeSlots: number): PartitionLoad {
  return {
    partition,
    freeSlots,
    queuedRequests: 0,
    freeTotal: NO_RESOURCES,
    freeLargest: NO_RESOURCES,
    runningByTeam: {},
  };
}

function createHeartbeatLoads(freeSlots: readonly number[]): HeartbeatLoads {
  return {
    owned: freeSlots.map((_, partition) => ({ partition, epoch: 1 })),
    loads: freeSlots.map((free, partition) => createLoad(partition, free)),
  };
}

function partitionsOf(loads: HeartbeatLoads | undefined): readonly number[] | undefined {
  return loads?.loads.map(({ partition }) => partition);
}

test('a peer gets only what changed since it answered', (t) => {
  const record = createHeartbeatLoadDeltas(createManualClock());
  const first = record.prepare('b', createHeartbeatLoads([8, 8]));
  t.deepEqual(partitionsOf(first.loads), [0, 1]);
  first.acknowledge('process-1');
  t.is(record.prepare('b', createHeartbeatLoads([8, 8])).loads, undefined);
  t.deepEqual(partitionsOf(record.prepare('b', createHeartbeatLoads([8, 7])).loads), [1]);
  t.deepEqual(partitionsOf(record.prepare('c', createHeartbeatLoads([8, 7])).loads), [0, 1]);
});

// Guards against a change that is lost with the heartbeat that carried it.
test('a change without an answer is sent again', (t) => {
  const record = createHeartbeatLoadDeltas(createManualClock());
  record.prepare('b', createHeartbeatLoads([8])).acknowledge('process-1');
  t.deepEqual(partitionsOf(record.prepare('b', createHeartbeatLoads([7])).loads), [0]);
  t.deepEqual(partitionsOf(record.prepare('b', createHeartbeatLoads([7])).loads), [0]);
});

// Guards against a restarted daemon that never hears of partitions whose loads do not change.
test('a new process of a peer gets everything', (t) => {
  const record = createHeartbeatLoadDeltas(createManualClock());
  record.prepare('b', createHeartbeatLoads([8, 8])).acknowledge('process-1');
  record.prepare('b', createHeartbeatLoads([8, 7])).acknowledge('process-2');
  t.deepEqual(partitionsOf(record.prepare('b', createHeartbeatLoads([8, 7])).loads), [0]);
  record.prepare('b', createHeartbeatLoads([8, 7])).acknowledge('process-2');
  record.prepare('b', createHeartbeatLoads([8, 7])).acknowledge('process-3');
  t.deepEqual(partitionsOf(record.prepare('b', createHeartbeatLoads([8, 7])).loads), [0, 1]);
});

test('the end of an ownership is sent without loads', (t) => {
  const record = createHeartbeatLoadDeltas(createManualClock());
  record.prepare('b', createHeartbeatLoads([8, 8])).acknowledge('process-1');
  t.deepEqual(record.prepare('b', createHeartbeatLoads([8])).loads, {
    owned: [{ partition: 0, epoch: 1 }],
    loads: [],
  });
});

// Guards against an older load that a second connection delivered last.
test('everything is sent again after a while', (t) => {
  const clock = createManualClock();
  const record = createHeartbeatLoadDeltas(clock);
  record.prepare('b', createHeartbeatLoads([8, 8])).acknowledge('process-1');
  clock.advance(FULL_RESEND_INTERVAL_MILLISECONDS);
  const repeated = record.prepare('b', createHeartbeatLoads([8, 8]));
  t.deepEqual(partitionsOf(repeated.loads), [0, 1]);
  repeated.acknowledge('process-1');
  t.is(record.prepare('b', createHeartbeatLoads([8, 8])).loads, undefined);
});
