import { readFileSync } from 'node:fs';

import test from 'ava';

import { createFailure, FAILURE_TABLE } from '../index.js';

const PAGE = new URL('../../../../docs/callers.md', import.meta.url);

/** Reads the table rows of docs/callers.md as `code | status | run | message`, without the padding of the formatter. */
function readRows(): string[] {
  return readFileSync(PAGE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) =>
      line
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim())
        .join(' | '),
    );
}

test('docs/callers.md lists every failure with its status, run outcome and text', (t) => {
  const rows = new Set(readRows());
  Object.entries(FAILURE_TABLE).forEach(([code, { status, run, text }]) => {
    t.true(rows.has(`\`${code}\` | ${status} | ${run} | ${text}`), code);
  });
});

test('the message of a failure contains the values given for its placeholders', (t) => {
  const failure = createFailure('unknown-queue', { queue: 'sorting' });
  t.is(failure.message, 'There is no queue sorting.');
  t.is(failure.run, 'not-run');
});
