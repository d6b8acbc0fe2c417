import { createSystemClock, sleep } from '@chicorybend/common';
import test from 'ava';

import {
  applyExample,
  createIdempotencyKey,
  createWorkCaller,
  readExample,
  startLocalCell,
  waitUntil,
} from '../index.js';
import { arePartitionsEvenlySplit } from './evenSplit.js';

const SETTLE_LIMIT_MILLISECONDS = 30_000;
/** Longer than a takeover, so that requests of the former owner are still running after it. */
const LONG_REQUEST_MILLISECONDS = 9_000;
const SHORT_REQUEST_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 10_000;
const ENDPOINTS = 6;
const example = readExample('coldline');
const clock = createSystemClock();

/**
 * Guards against a second run of a non-idempotent request, and against more requests than slots, when an owner is
 * paused: its connections stay open, so its endpoints keep running its requests while its partitions are taken over.
 */
test('requests that run while their owner is paused are not started again by its successor', async (t) => {
  t.timeout(240_000);
  const { plan } = example;
  const cell = await startLocalCell({
    plan: {
      ...plan,
      daemons: plan.daemons.slice(0, 3),
      endpoints: plan.endpoints.slice(0, ENDPOINTS),
    },
    prepare: (started) => applyExample(started, example),
  });
  const caller = createWorkCaller();
  t.teardown(async () => {
    await caller.close();
    await cell.close();
  });
  t.true(await waitUntil(() => arePartitionsEvenlySplit(cell), SETTLE_LIMIT_MILLISECONDS));
  const [entry, , paused] = cell.daemons;
  if (!entry || !paused) throw new Error('three daemons are needed');
  const slots = ENDPOINTS * plan.endpointSlots;
  const createKeys = () => Array.from({ length: slots + 12 }, () => createIdempotencyKey());
  const keys = createKeys();
  const keyText = example.keys.teams['taoyuan-works'] ?? '';
  const submitAll = (
    ownKeys: readonly string[],
    isIdempotent: boolean,
    serviceMilliseconds: number,
  ) =>
    Promise.all(
      ownKeys.map((idempotencyKey) =>
        caller.submitRequest(
          entry.apiAddress,
          {
            queue: 'bench-entries',
            idempotent: isIdempotent,
            deadlineMilliseconds: DEADLINE_MILLISECONDS,
            payload: {
              serviceMilliseconds,
              result: idempotencyKey,
              marker: idempotencyKey,
            },
          },
          { keyText, idempotencyKey },
        ),
      ),
    );
  const listRequestStarts = () =>
    cell.platform.record.entries().filter((each) => each.type === 'request-started');
  const first = submitAll(keys, false, LONG_REQUEST_MILLISECONDS);
  await waitUntil(() => listRequestStarts().length === slots, 1_000);
  t.true(
    listRequestStarts().length > slots / 2,
    `${listRequestStarts().length} of ${slots} slots are in use`,
  );
  paused.pause();
  // The partitions are taken over after three seconds of silence; the endpoints are still running requests.
  await sleep(clock, 6_000);
  // Idempotent, because non-idempotent requests with keys from this time may be refused as possibly run.
  const second = submitAll(createKeys(), true, SHORT_REQUEST_MILLISECONDS);
  // The endpoints are idle again, and the new owner has no record of the requests that they ran.
  await sleep(clock, 5_500);
  await Promise.all([first, second, submitAll(keys, false, LONG_REQUEST_MILLISECONDS)]);
  paused.resume();
  const counts = new Map<string, number>();
  listRequestStarts().forEach(({ marker }) =>
    counts.set(marker ?? '', (counts.get(marker ?? '') ?? 0) + 1),
  );
  t.deepEqual(
    [...counts].filter(([marker, count]) => keys.includes(marker) && count > 1),
    [],
    'no request was started twice',
  );
  t.deepEqual(
    listRequestStarts().filter(({ concurrent }) => concurrent > plan.endpointSlots),
    [],
    'no endpoint had more requests than slots',
  );
});
