import test from 'ava';
import fc from 'fast-check';

import { canonicalJson, diffDocuments, parseConfiguration, SECTION_LIMIT_BYTES } from '../index.js';

const LIMITS = { tasks: 1, requests: 1 };
const VALID = {
  cell: { name: 'coldline' },
  policy: { order: 'share-first' },
  teams: { harbour: { share: 1, limits: LIMITS } },
  queues: { quotes: { kind: 'interactive', access: 'keyed' } },
  'queues/night': { sums: { kind: 'batch', access: 'open', team: 'harbour' } },
};
const DIGEST = '0'.repeat(64);

function problemPathsOf(document: Readonly<Record<string, unknown>>): readonly string[] {
  const parsed = parseConfiguration(document, 1);
  return parsed.isErr() ? parsed.error.map((fault) => fault.path) : [];
}

test('groups of queues are merged and defaults are filled in', (t) => {
  const configuration = parseConfiguration(VALID, 7).unwrap();
  t.is(configuration.revision, 7);
  t.deepEqual(Object.keys(configuration.queues).sort(), ['quotes', 'sums']);
  t.is(configuration.queues.sums?.priority, 'normal');
  t.false('constructor' in configuration.teams, 'no inherited property is a team');
});

const key = { team: 'harbour', secretHash: DIGEST, issuedAt: 1, issuedBy: 'anna' };
const INVALID_DOCUMENTS: readonly (readonly [
  string,
  Readonly<Record<string, unknown>>,
  readonly string[],
])[] = [
  ['an unknown section', { teamz: {} }, ['teamz']],
  ['a group of a section without groups', { 'teams/a': {} }, ['teams/a']],
  ['a group within a group', { 'queues/a/b': {} }, ['queues/a/b']],
  ['a missing section', { cell: undefined }, ['cell']],
  [
    'an unknown field',
    { policy: { order: 'share-first', colour: 1, size: 2 } },
    ['policy.colour', 'policy.size'],
  ],
  [
    'negative numbers',
    { teams: { harbour: { share: -1, limits: { tasks: -1, requests: 0 } } } },
    ['teams.harbour.share', 'teams.harbour.limits.tasks'],
  ],
  [
    'a queue of an unknown team',
    { queues: { quotes: { kind: 'batch', access: 'keyed', teams: ['harbour', 'nobody'] } } },
    ['queues.quotes.teams.1'],
  ],
  [
    'an open queue without a team',
    { queues: { quotes: { kind: 'batch', access: 'open' } } },
    ['queues.quotes.team'],
  ],
  [
    'an open queue that names who may use it',
    { queues: { quotes: { kind: 'batch', access: 'open', team: 'harbour', teams: [] } } },
    ['queues.quotes.teams'],
  ],
  [
    'a keyed queue that names a team to charge',
    { queues: { quotes: { kind: 'batch', access: 'keyed', team: 'harbour' } } },
    ['queues.quotes.team'],
  ],
  ['a key of an unknown team', { keys: { k1: { ...key, team: 'nobody' } } }, ['keys.k1.team']],
  [
    'a key with a text instead of a hash',
    { keys: { k1: { ...key, secretHash: 'x' } } },
    ['keys.k1.secretHash'],
  ],
  ['a key in two groups', { 'keys/a': { k1: key }, 'keys/b': { k1: key } }, ['keys/b.k1']],
  [
    'a queue in two groups',
    { 'queues/other': { sums: { kind: 'batch', access: 'keyed' } } },
    ['queues/other.sums'],
  ],
  [
    'an operator of a section that cannot be',
    { operators: { anna: { tokenHash: DIGEST, sections: ['*', 'teamz'] } } },
    ['operators.anna.sections.1'],
  ],
  ['a section over the limit', { cell: { name: 'a'.repeat(SECTION_LIMIT_BYTES) } }, ['cell']],
  ['a section that is no object', { keys: null }, ['keys']],
];

INVALID_DOCUMENTS.forEach(([title, change, expected]) =>
  test(`refuses ${title}, with its place`, (t) => {
    const merged = Object.entries({ ...VALID, ...change });
    const document = Object.fromEntries(merged.filter(([, content]) => content !== undefined));
    t.deepEqual(problemPathsOf(document), expected);
  }),
);

test('all faults of a document are reported at once, not only those of the first section', (t) => {
  const problemPaths = problemPathsOf({ ...VALID, cell: {}, keys: { k1: {} }, nonsense: 1 });
  t.true(problemPaths.includes('cell.name'));
  t.true(problemPaths.includes('keys.k1.team'));
  t.true(problemPaths.includes('nonsense'));
});

test('differences name each changed place, with added and removed sections', (t) => {
  const differences = diffDocuments(
    { teams: { a: { share: 1 }, b: { share: 2 } }, cell: {} },
    { teams: { a: { share: 3 }, c: { share: 2 } }, policy: {} },
  );
  t.deepEqual(
    differences.map(({ section, kind }) => `${section} ${kind}`),
    ['cell removed', 'policy added', 'teams changed'],
  );
  t.deepEqual(differences[2]?.changes, [
    { path: 'teams.a.share', before: 1, after: 3 },
    { path: 'teams.b', before: { share: 2 } },
    { path: 'teams.c', after: { share: 2 } },
  ]);
});

test('a field with the value null differs from a field that is absent', (t) => {
  const differences = diffDocuments({ a: {} }, { a: { b: null } });
  t.deepEqual(differences[0]?.changes, [{ path: 'a.b', after: null }]);
});

test('the order of keys makes no difference; anything else does', (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (left, right) => {
      const reordered = JSON.parse(canonicalJson(left)) as unknown;
      const isSame = canonicalJson(left) === canonicalJson(right);
      return (
        diffDocuments({ a: left }, { a: reordered }).length === 0 &&
        (diffDocuments({ a: left }, { a: right }).length === 0) === isSame
      );
    }),
  );
  t.pass();
});
