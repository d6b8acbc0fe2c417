import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextImmediate, setTimeout as delay } from 'node:timers/promises';

import { createSilentLog, createSystemClock } from '@chicorybend/common';
import test from 'ava';

import type { AdviceClient, AdviceOutcome } from '../types/advice.js';
import { createAdviceCache } from '../core/adviceCache.js';
import { createSchedulerMetrics } from '../core/schedulerMetrics.js';
import { createWorkMeter } from '../core/workMeter.js';

const SETTINGS = { callMilliseconds: 20, endpointMilliseconds: 1, ticketMilliseconds: 2_000 };
const BUSY_MILLISECONDS = 400;

function keepBusy(): void {
  const endsAt = performance.now() + BUSY_MILLISECONDS;
  while (performance.now() < endsAt);
}

test('a call is not overdue if its answer came while the process was busy', async (t) => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const reader = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [writer] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => {
    reader.destroy();
    writer.destroy();
    server.close();
  });
  let calls = 0;
  const client: AdviceClient = {
    async advise(_stepId, endpointIds): Promise<AdviceOutcome> {
      calls += 1;
      writer.write('answer');
      await once(reader, 'data');
      const tickets = endpointIds.map((endpointId) => ({ endpointId, ticket: 'ticket' }));
      return { kind: 'answered', tickets, validMilliseconds: 2_000 };
    },
  };
  const clock = createSystemClock();
  const cache = createAdviceCache({
    clock,
    log: createSilentLog(),
    metrics: createSchedulerMetrics(),
    workMeter: createWorkMeter(clock),
    onAnswer: () => {},
  });
  [0, 1, 2].forEach((index) => cache.addChannel(client, `vm-${index}`));
  const chooseEndpoints = () => [{ endpointId: 'endpoint', bornAt: 1 }];
  await nextImmediate();
  cache.setRequests([
    { stepId: 'a', queue: 'work', settings: SETTINGS, maximumCalls: 1, chooseEndpoints },
  ]);
  keepBusy();
  await delay(50);
  t.is(calls, 1);
  t.true(cache.hasTickets('a'));
});
