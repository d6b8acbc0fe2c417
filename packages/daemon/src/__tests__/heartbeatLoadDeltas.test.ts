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

// Guards against full lists of loads in every heartbeat.
test('a heartbeat carries only the loads that changed since the peer acknowledged them', (t) => {
  const deltas = createHeartbeatLoadDeltas(createManualClock());
  const first = deltas.prepare('b', createHeartbeatLoads([8, 8]));
  t.deepEqual(partitionsOf(first.loads), [0, 1]);
  first.acknowledge('process-1');
  t.is(deltas.prepare('b', createHeartbeatLoads([8, 8])).loads, undefined);
  t.deepEqual(partitionsOf(deltas.prepare('b', createHeartbeatLoads([8, 7])).loads), [1]);
  t.deepEqual(partitionsOf(deltas.prepare('c', createHeartbeatLoads([8, 7])).loads), [0, 1]);
});

// Guards against a change that is lost together with the heartbeat that carried it.
test('a change that was not acknowledged is sent again', (t) => {
  const deltas = createHeartbeatLoadDeltas(createManualClock());
  deltas.prepare('b', createHeartbeatLoads([8])).acknowledge('process-1');
  t.deepEqual(partitionsOf(deltas.prepare('b', createHeartbeatLoads([7])).loads), [0]);
  t.deepEqual(partitionsOf(deltas.prepare('b', createHeartbeatLoads([7])).loads), [0]);
});

// Guards against a restarted peer that never receives loads which do not change any more.
test('a restarted peer gets all loads again', (t) => {
  const deltas = createHeartbeatLoadDeltas(createManualClock());
  deltas.prepare('b', createHeartbeatLoads([8, 8])).acknowledge('process-1');
  deltas.prepare('b', createHeartbeatLoads([8, 7])).acknowledge('process-2');
  t.deepEqual(partitionsOf(deltas.prepare('b', createHeartbeatLoads([8, 7])).loads), [0]);
  deltas.prepare('b', createHeartbeatLoads([8, 7])).acknowledge('process-2');
  deltas.prepare('b', createHeartbeatLoads([8, 7])).acknowledge('process-3');
  t.deepEqual(partitionsOf(deltas.prepare('b', createHeartbeatLoads([8, 7])).loads), [0, 1]);
});

// Guards against peers that count a partition as owned by this daemon after it was given up.
test('a change of the owned partitions is sent even if no load changed', (t) => {
  const deltas = createHeartbeatLoadDeltas(createManualClock());
  deltas.prepare('b', createHeartbeatLoads([8, 8])).acknowledge('process-1');
  t.deepEqual(deltas.prepare('b', createHeartbeatLoads([8])).loads, {
    owned: [{ partition: 0, epoch: 1 }],
    loads: [],
  });
});

// Guards against an outdated load that stays because a second connection delivered it last.
test('all loads are sent again after the resend interval', (t) => {
  const clock = createManualClock();
  const deltas = createHeartbeatLoadDeltas(clock);
  deltas.prepare('b', createHeartbeatLoads([8, 8])).acknowledge('process-1');
  clock.advance(FULL_RESEND_INTERVAL_MILLISECONDS);
  const repeated = deltas.prepare('b', createHeartbeatLoads([8, 8]));
  t.deepEqual(partitionsOf(repeated.loads), [0, 1]);
  repeated.acknowledge('process-1');
  t.is(deltas.prepare('b', createHeartbeatLoads([8, 8])).loads, undefined);
});
