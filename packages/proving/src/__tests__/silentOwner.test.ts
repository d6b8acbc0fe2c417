import { createSystemClock, sleep } from '@chicorybend/common';
import test from 'ava';

import {
  applyExample,
  createWorkCaller,
  readExample,
  startLocalCell,
  waitUntil,
} from '../index.js';
import { arePartitionsEvenlySplit } from './evenSplit.js';

const REQUEST_DEADLINE_MILLISECONDS = 4_000;
const REQUEST_INTERVAL_MILLISECONDS = 25;
const SERVICE_MILLISECONDS = 100;
/** Time after which the link to a silent daemon is suspect, with a margin. */
const DETECTION_MILLISECONDS = 2_000;
const SETTLE_LIMIT_MILLISECONDS = 30_000;
const FAULT_MILLISECONDS = 9_000;
const example = readExample('coldline');
const clock = createSystemClock();

interface Sample {
  readonly sentAfterMilliseconds: number;
  readonly isAnswered: boolean;
  readonly milliseconds: number;
}

/**
 * Guards against requests that go to a silent owner because the load that it last advertised is the lowest. The owner
 * keeps its session at the store, so that its partitions are not taken over.
 */
test('idempotent requests are run by owners that answer while another owner is silent', async (t) => {
  t.timeout(120_000);
  const { plan } = example;
  const cell = await startLocalCell({
    plan: { ...plan, daemons: plan.daemons.slice(0, 3) },
    prepare: (started) => applyExample(started, example),
  });
  const caller = createWorkCaller();
  t.teardown(async () => {
    await caller.close();
    await cell.close();
  });
  const [entry, , silent] = cell.daemons;
  if (!entry || !silent) throw new Error('three daemons are needed');
  const keyText = example.keys.teams['taoyuan-works'] ?? '';
  const request = {
    queue: 'bench-entries',
    idempotent: true,
    deadlineMilliseconds: REQUEST_DEADLINE_MILLISECONDS,
    payload: { serviceMilliseconds: SERVICE_MILLISECONDS, result: null, marker: 'silent-owner' },
  };
  t.true(await waitUntil(() => arePartitionsEvenlySplit(cell), SETTLE_LIMIT_MILLISECONDS));
  const revert = cell.applyLinkFault(entry, silent, { kind: 'silence' });
  const beganAt = performance.now();
  const samples: Promise<Sample>[] = [];
  while (performance.now() - beganAt < FAULT_MILLISECONDS) {
    const sentAt = performance.now();
    const pending = caller.submitRequest(entry.apiAddress, request, { keyText });
    samples.push(
      pending.then(({ kind }) => ({
        sentAfterMilliseconds: sentAt - beganAt,
        isAnswered: kind === 'answered',
        milliseconds: performance.now() - sentAt,
      })),
    );
    await sleep(clock, REQUEST_INTERVAL_MILLISECONDS);
  }
  const results = await Promise.all(samples);
  revert();
  const later = results.filter(
    ({ sentAfterMilliseconds }) => sentAfterMilliseconds > DETECTION_MILLISECONDS,
  );
  const unanswered = results.filter(({ isAnswered }) => !isAnswered).length;
  const unansweredLater = later.filter(({ isAnswered }) => !isAnswered).length;
  const longestLater = Math.max(...later.map(({ milliseconds }) => milliseconds));
  t.log({
    requests: results.length,
    unanswered,
    later: later.length,
    unansweredLater,
    longestLater,
  });
  t.is(unansweredLater, 0);
  t.true(longestLater < 1_000, `${Math.round(longestLater)} ms`);
});
