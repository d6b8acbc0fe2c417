import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

interface Verdict {
  readonly passed: number;
  readonly failed: number;
  readonly lines: readonly string[];
}

interface KnownRedModule {
  judgeTapRun(root: string, tap: string, status: number): Verdict;
}

const MODULE_URL = new URL('../../../../scripts/knownRed.mjs', import.meta.url);
const { judgeTapRun } = (await import(MODULE_URL.href)) as KnownRedModule;

const ENTRY = [
  'test: cell › loses a task',
  'command: npm test',
  'seed: 7',
  'seen: one task missing',
  'issue: 9',
].join('\n');
const RED = 'ok 1 - cell › works\nnot ok 2 - cell › loses a task\n';
const GREEN = 'ok 1 - cell › works\nok 2 - cell › loses a task\n';

function judge(knownRed: string, tap: string, status: number): Verdict {
  const root = `${mkdtempSync(join(tmpdir(), 'known-red-'))}/`;
  writeFileSync(`${root}KNOWN-RED.txt`, knownRed);
  return judgeTapRun(root, tap, status);
}

test('a failing test that is not listed fails the run', (t) => {
  t.is(judge('', RED, 1).failed, 1);
});

test('a listed test may fail, and its failure is printed', (t) => {
  const verdict = judge(ENTRY, RED, 1);
  t.is(verdict.failed, 0);
  t.is(verdict.passed, 1);
  t.true(verdict.lines.includes('known red: cell › loses a task'));
});

test('a listed test that passes again fails the run', (t) => {
  t.is(judge(ENTRY, GREEN, 0).failed, 1);
});

test('an entry without command, seed or issue fails the run', (t) => {
  t.is(judge('test: cell › loses a task\nseen: x', RED, 1).failed, 3);
});

test('a runner that crashes without a failed test fails the run', (t) => {
  t.is(judge('', 'ok 1 - cell › works\n', 1).failed, 1);
});
