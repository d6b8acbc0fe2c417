import { execFileSync } from 'node:child_process';

import test from 'ava';

const PROGRAM = `
import { createLog } from '@chicorybend/common';
const log = createLog('chicorybendd', 'info');
log.debug('not printed');
log.info('partition served', { partition: 3, epoch: 4 });
log.error('call failed', new Error('no route'));
`;

function printLines(): readonly Record<string, unknown>[] {
  const output = execFileSync(process.execPath, ['--input-type=module', '--eval', PROGRAM], {
    encoding: 'utf8',
  });
  return output
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as Record<string, unknown>);
}

// Guards against a change of the fields, for example by an upgrade of the logging library: log collectors parse them.
test('a log line has a time, a level, the name of the process, a message and its details', (t) => {
  const [first] = printLines();
  t.deepEqual(Object.keys(first ?? {}), ['time', 'level', 'name', 'message', 'details']);
  t.false(Number.isNaN(Date.parse(String(first?.time))));
  t.like(first, {
    level: 'INFO',
    name: 'chicorybendd',
    message: 'partition served',
    details: { partition: 3, epoch: 4 },
  });
});

// Guards against errors that are logged as empty objects, because their properties are not enumerable.
test('an error is printed with its message and stack', (t) => {
  const [, second] = printLines();
  t.like(second, { level: 'ERROR', details: { name: 'Error', message: 'no route' } });
});

// Guards against debug lines in production logs.
test('lines below the log level are not written', (t) => {
  t.is(printLines().length, 2);
});
