import test from 'ava';

import {
  createLocalCounters,
  createSilentLog,
  createSystemClock,
  Ok,
  sleep,
} from '@chicorybend/common';
import type { JobView } from '@chicorybend/common';
import { startRelay } from '@chicorybend/standins';

import { createOwnerCaller } from '../core/ownerCall.js';
import { createPeerLink } from '../core/peerLink.js';
import { createStubDirectory, HOST } from './interactiveStubs.js';
import type { Teardown } from './interactiveStubs.js';

const CALL_DEADLINE_MILLISECONDS = 6_000;
/** The link is suspect after 1.5 s; the rest is for the checks of its liveness and for retries. */
const ANSWER_LIMIT_MILLISECONDS = 3_500;
const clock = createSystemClock();

async function startLink(t: Teardown, selfId: string, addresses: ReadonlyMap<string, string>) {
  const link = createPeerLink({
    selfId,
    host: HOST,
    port: 0,
    token: 'token',
    clock,
    counters: createLocalCounters(),
    log: createSilentLog(),
    resolveAddress: (daemonId) => addresses.get(daemonId) ?? null,
  });
  const port = await link.listen();
  t.teardown(() => link.close());
  return { link, port };
}

test('a call that may be repeated does not wait for a silent owner until its deadline', async (t) => {
  const addresses = new Map<string, string>();
  const entry = await startLink(t, 'entry', addresses);
  const silent = await startLink(t, 'silent', addresses);
  const successor = await startLink(t, 'successor', addresses);
  const view = { jobId: '0-1' } as JobView;
  [silent, successor].forEach(({ link }) => link.handle('job.read', async () => Ok(view)));
  const relay = await startRelay({ targetHost: HOST, targetPort: silent.port });
  t.teardown(() => relay.close());
  addresses.set('silent', `${relay.host}:${relay.port}`);
  addresses.set('successor', `${HOST}:${successor.port}`);
  const directory = createStubDirectory(1, 'silent');
  const callOwner = createOwnerCaller({ clock, link: entry.link, directory });
  const read = () =>
    callOwner({
      partition: 0,
      method: 'job.read',
      params: { jobId: '0-1', team: 'bench' },
      deadlineAt: clock.monotonicMilliseconds() + CALL_DEADLINE_MILLISECONDS,
    });
  t.true((await read()).isOk());
  relay.addFault({}, { kind: 'silence' });
  const startedAt = clock.monotonicMilliseconds();
  const answer = read();
  await sleep(clock, 1_000);
  directory.owners.set(0, 'successor');
  t.true((await answer).isOk());
  const milliseconds = clock.monotonicMilliseconds() - startedAt;
  t.true(milliseconds < ANSWER_LIMIT_MILLISECONDS, `${Math.round(milliseconds)} ms`);
});
