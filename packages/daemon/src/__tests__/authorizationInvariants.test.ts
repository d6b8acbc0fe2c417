import { InvariantError } from '@chicorybend/common';
import test from 'ava';

import { assertAuthorized } from '../core/callerAccess.js';
import { CONFIGURATION } from './interactiveStubs.js';

const KEY = 'Bearer cb_bench_secret';

function assertAuthorizedFor(
  team: string,
  queue: string,
  authorization: string | null,
  keys = CONFIGURATION.keys,
) {
  assertAuthorized({ team, configuration: { ...CONFIGURATION, keys } }, queue, authorization);
}

test('work charged to the team of its key or of its open queue is forwarded', (t) => {
  t.notThrows(() => assertAuthorizedFor('bench', 'entries', KEY));
  t.notThrows(() => assertAuthorizedFor('quotes', 'public', null));
  t.notThrows(() => assertAuthorizedFor('quotes', 'public', KEY));
});

test('work charged to a team other than that of its key or open queue violates an invariant', (t) => {
  t.throws(() => assertAuthorizedFor('quotes', 'entries', KEY), {
    instanceOf: InvariantError,
    message: /own-team/,
  });
  t.throws(() => assertAuthorizedFor('bench', 'entries', null), {
    instanceOf: InvariantError,
    message: /own-team/,
  });
  t.throws(() => assertAuthorizedFor('bench', 'public', KEY), {
    instanceOf: InvariantError,
    message: /own-team/,
  });
});

test('work under a revoked key violates an invariant', (t) => {
  const { bench } = CONFIGURATION.keys;
  if (!bench) throw new Error('the key is missing');
  const keys = { bench: { ...bench, revokedAt: 1 } };
  t.throws(() => assertAuthorizedFor('bench', 'entries', KEY, keys), {
    instanceOf: InvariantError,
    message: /revoked-key/,
  });
});
