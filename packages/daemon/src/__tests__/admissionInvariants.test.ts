import { InvariantError } from '@chicorybend/common';
import test from 'ava';

import { assertAdmitted } from '../core/callerAccess.js';
import { CONFIGURATION } from './interactiveStubs.js';

const KEY = 'Bearer cb_bench_secret';

function admit(
  team: string,
  queue: string,
  authorization: string | null,
  keys = CONFIGURATION.keys,
) {
  assertAdmitted({ team, configuration: { ...CONFIGURATION, keys } }, queue, authorization);
}

test('work is passed on for the team of its key and of its open queue', (t) => {
  t.notThrows(() => admit('bench', 'entries', KEY));
  t.notThrows(() => admit('quotes', 'public', null));
  t.notThrows(() => admit('quotes', 'public', KEY));
});

test('work charged to another team than that of its key breaks an invariant', (t) => {
  t.throws(() => admit('quotes', 'entries', KEY), {
    instanceOf: InvariantError,
    message: /own-team/,
  });
  t.throws(() => admit('bench', 'entries', null), {
    instanceOf: InvariantError,
    message: /own-team/,
  });
  t.throws(() => admit('bench', 'public', KEY), {
    instanceOf: InvariantError,
    message: /own-team/,
  });
});

test('work under a revoked key breaks an invariant', (t) => {
  const { bench } = CONFIGURATION.keys;
  if (!bench) throw new Error('the key is missing');
  const keys = { bench: { ...bench, revokedAt: 1 } };
  t.throws(() => admit('bench', 'entries', KEY, keys), {
    instanceOf: InvariantError,
    message: /revoked-key/,
  });
});
