import { readdirSync, readFileSync } from 'node:fs';

import test from 'ava';

const PAGE = new URL('../../../../docs/alarms.md', import.meta.url);
const SOURCE = new URL('../../src/', import.meta.url);
const KINDS: Readonly<Record<string, string>> = {
  increment: 'counter',
  gauge: 'gauge',
  timing: 'timing',
};

function readSources(): readonly string[] {
  return readdirSync(SOURCE, { recursive: true, encoding: 'utf8' })
    .filter((path) => path.endsWith('.ts') && !path.includes('__'))
    .map((path) => readFileSync(new URL(path, SOURCE), 'utf8'));
}

/** Lists the tags of a call: the keys of the object that is its last argument. */
function findTags(rest: string): string {
  const [, tags = ''] = /\{(.*)\}\s*,?\s*$/s.exec(rest) ?? [];
  const names = tags.split(',').map((tag) => tag.split(':')[0]?.trim() ?? '');
  return names.filter((name) => name !== '').join(', ');
}

/** Lists `name kind tags` of each call; a call that chooses between names yields one line per name. */
function listEmittedCounters(source: string): string[] {
  const calls = [...source.matchAll(/\bcounters\.(increment|gauge|timing)\((.*?)\);/gs)];
  return calls.flatMap(([call, method = '', parameters = '']) => {
    const [, first = '', rest = ''] = /^([^,]*)(.*)$/s.exec(parameters) ?? [];
    const names = [...first.matchAll(/'([^']+)'/g)].map(([, name = '']) => name);
    if (names.length === 0) throw new Error(`counter name is not a literal in ${call}`);
    return names.map((name) => `${name} ${KINDS[method] ?? ''} ${findTags(rest)}`.trim());
  });
}

function listDocumentedCounters(): string[] {
  return readFileSync(PAGE, 'utf8')
    .split('\n')
    .map((line) => line.split('|').map((cell) => cell.trim()))
    .filter(([, name, kind = '']) => name && Object.values(KINDS).includes(kind))
    .map(([, name, kind, tags]) => `${name} ${kind} ${tags}`.replaceAll('`', '').trim());
}

/** Guards against undocumented counters, and against alarms on counters that no longer exist. */
test('the alarms page lists exactly the counters in the source, with kinds and tags', (t) => {
  const emitted = [...new Set(readSources().flatMap(listEmittedCounters))].sort();
  t.true(emitted.length > 30);
  t.deepEqual(listDocumentedCounters().sort(), emitted);
});

test('every counter on the alarms page has a meaning, and either an alarm with an action or "none"', (t) => {
  const rows = readFileSync(PAGE, 'utf8')
    .split('\n')
    .map((line) => line.split('|').map((cell) => cell.trim()))
    .filter(([, , kind = '']) => Object.values(KINDS).includes(kind));
  rows.forEach(([, name, , , meaning, alarm, action]) => {
    t.truthy(meaning, name);
    t.truthy(alarm, name);
    t.true(alarm?.startsWith('none') || action !== '', name);
  });
});
