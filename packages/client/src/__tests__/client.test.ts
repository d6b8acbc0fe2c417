import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import test from 'ava';

import { EXIT_CODES, listExamples } from '../index.js';
import { createClientCell } from './clientCell.js';
import type { ClientCell } from './clientCell.js';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));
const PACKAGE = fileURLToPath(new URL('../../', import.meta.url));
const UNUSED_ADDRESS = 'http://127.0.0.1:1';

interface ConfigurationFile {
  revision: number;
  sections: { teams: Record<string, { share: number }>; policy: { order: string } };
}

/** Splits a command line as a shell does: at spaces outside single quotes. */
function splitCommandLine(line: string): string[] {
  const words = line.match(/(?:'[^']*'|[^\s'])+/g) ?? [];
  return words.map((word) => word.replaceAll("'", ''));
}

async function editFile(cell: ClientCell, edit: (file: ConfigurationFile) => void): Promise<void> {
  await cell.run('config', 'get', '--output', 'configuration.json');
  const file = JSON.parse(cell.files.get('configuration.json') ?? '') as ConfigurationFile;
  edit(file);
  cell.files.set('configuration.json', JSON.stringify(file));
}

function setShare(share: number): (file: ConfigurationFile) => void {
  return ({ sections }) => {
    const { harbour } = sections.teams;
    if (harbour) harbour.share = share;
  };
}

test('every example of the help texts works as printed', async (t) => {
  const cell = await createClientCell(t);
  const examples = listExamples();
  t.true(examples.length > 20);
  for (const line of examples) {
    const [program, ...argv] = splitCommandLine(line);
    t.is(program, 'chicorybend');
    const run = await cell.run(...argv);
    t.is(run.exitCode, EXIT_CODES.success, `${line}\n${run.errors}`);
    const help = await cell.run(...argv.filter((word) => !word.startsWith('-')), '--help');
    t.true(help.output.includes(line), `the help text does not show: ${line}`);
  }
});

test('applying an edited file keeps concurrent changes of other sections', async (t) => {
  const cell = await createClientCell(t);
  await editFile(cell, setShare(5));
  t.is((await cell.run('keys', 'issue', 'harbour')).exitCode, EXIT_CODES.success);
  const diff = await cell.run('config', 'diff', 'configuration.json');
  t.true(diff.output.includes('teams.harbour.share: 2 -> 5'), diff.output);
  const applied = await cell.run('config', 'apply', 'configuration.json');
  t.is(applied.exitCode, EXIT_CODES.success, applied.errors);
  t.is(applied.output, 'Revision 3 is in effect on 1 of 1 daemons.');
  t.is(cell.service.current()?.teams.harbour?.share, 5);
  t.is(Object.keys(cell.service.current()?.keys ?? {}).length, 2);
  const again = await cell.run('config', 'apply', 'configuration.json');
  t.true(again.output.startsWith('Nothing had to change.'));
});

test('a conflicting change is refused with the section, the conflicting revision and the next step', async (t) => {
  const cell = await createClientCell(t);
  await editFile(cell, setShare(5));
  const text = cell.files.get('configuration.json') ?? '';
  await cell.run('config', 'apply', 'configuration.json');
  cell.files.set('configuration.json', text.replace('"share":5', '"share":6'));
  const refused = await cell.run('config', 'apply', 'configuration.json');
  t.is(refused.exitCode, EXIT_CODES.refused);
  t.regex(refused.errors, /Section teams was changed by bootstrap in revision 2/);
  t.regex(refused.errors, /Next: Run "chicorybend config get" again/);
});

test('an invalid change is refused with the path of each invalid value', async (t) => {
  const cell = await createClientCell(t);
  await editFile(cell, setShare(-1));
  const refused = await cell.run('config', 'check', 'configuration.json');
  t.is(refused.exitCode, EXIT_CODES.refused);
  t.regex(refused.errors, / {2}teams\.harbour\.share: /);
});

test('a key is shown once and can be revoked by its id, also with the alias "withdraw"', async (t) => {
  const cell = await createClientCell(t);
  const issued = JSON.parse((await cell.run('keys', 'issue', 'harbour', '--json')).output) as {
    keyId: string;
    key: string;
  };
  const list = await cell.run('keys', 'list');
  t.true(list.output.includes(issued.keyId));
  t.false(list.output.includes(issued.key));
  t.is((await cell.run('keys', 'withdraw', issued.keyId)).exitCode, EXIT_CODES.success);
  t.true(cell.service.authenticate(issued.key).isErr());
});

test('wrong arguments give exit code 2 and send nothing', async (t) => {
  const cell = await createClientCell(t);
  const lines = [
    'config aply configuration.json',
    'config apply',
    'config apply missing.json',
    'config get --sektion=teams',
    'config get teams',
    'teams list --address 127.0.0.1',
    'jobs submit',
    'jobs submit --queue a --kind odd',
    'jobs submit --queue a --tasks many',
    'jobs submit --queue a --payload {',
    'usage --from yesterday',
    'audit --limit none',
    'nonsense',
    '',
  ];
  for (const line of lines) {
    const run = await cell.run(...splitCommandLine(line));
    t.is(run.exitCode, EXIT_CODES.usage, line);
    if (line !== '') t.regex(run.errors, /Next: \S/, line);
  }
  t.is(cell.service.current()?.revision, 1);
});

test('a missing token is a usage error; an invalid token is refused', async (t) => {
  const cell = await createClientCell(t);
  const wrong = await cell.run('teams', 'list', '--token', 'wrong');
  t.is(wrong.exitCode, EXIT_CODES.refused);
  t.regex(wrong.errors, /A valid operator token and operator name are required/);
  delete cell.variables.CHICORYBEND_TOKEN;
  const missing = await cell.run('teams', 'list');
  t.is(missing.exitCode, EXIT_CODES.usage);
  t.regex(missing.errors, /CHICORYBEND_TOKEN/);
});

test('an unreachable daemon gives exit code 4; a change without a response gives 3', async (t) => {
  const cell = await createClientCell(t);
  const unreachable = await cell.run('teams', 'list', '--address', UNUSED_ADDRESS);
  t.is(unreachable.exitCode, EXIT_CODES.unreachable);
  cell.server.server.removeAllListeners('request');
  cell.server.server.on('request', (request) => request.socket.destroy());
  const unknown = await cell.run('keys', 'issue', 'harbour');
  t.is(unknown.exitCode, EXIT_CODES.unknown, unknown.errors);
  const submitted = await cell.run('jobs', 'submit', '--queue', 'sorting');
  t.is(submitted.exitCode, EXIT_CODES.unknown);
  t.regex(submitted.errors, /The idempotency key was [0-9a-f-]{36}\./);
  const unansweredRead = await cell.run('teams', 'list');
  t.is(
    unansweredRead.exitCode,
    EXIT_CODES.unreachable,
    'a read without a response changes nothing',
  );
});

test('the exit code of "jobs wait" reflects the final state of the job', async (t) => {
  const cell = await createClientCell(t);
  t.is((await cell.run('jobs', 'wait', 'good-job')).exitCode, EXIT_CODES.success);
  t.is((await cell.run('jobs', 'wait', 'failed-job')).exitCode, EXIT_CODES.refused);
});

test('"jobs wait --until running" ends once all tasks run, or after the timeout', async (t) => {
  const cell = await createClientCell(t);
  const waitFor = (id: string) =>
    cell.run('jobs', 'wait', id, '--until', 'running', '--timeout', '600');
  const running = await waitFor('running-job');
  t.is(running.exitCode, EXIT_CODES.success, running.errors);
  t.regex(running.output, /Job running-job: running/);
  const starting = await waitFor('starting-job');
  t.is(starting.exitCode, EXIT_CODES.refused);
  t.regex(starting.errors, /Job starting-job is running after the time to wait/);
  t.regex(starting.errors, /Next: Run "chicorybend jobs wait starting-job --until running" again/);
  t.is((await waitFor('failed-job')).exitCode, EXIT_CODES.refused);
});

test('--quiet prints only what the next command needs', async (t) => {
  const cell = await createClientCell(t);
  const submitted = await cell.run('jobs', 'submit', '--queue', 'sorting', '--quiet');
  t.is(submitted.output, '3-1');
  const issued = await cell.run('keys', 'issue', 'harbour', '--quiet');
  t.regex(issued.output, /^cb_[0-9a-f]+_\S+$/);
  t.true(cell.service.authenticate(issued.output).isOk());
  const listed = await cell.run('keys', 'list', '--team', 'harbour', '--quiet');
  const issuedId = issued.output.split('_')[1] ?? '';
  t.deepEqual(listed.output.split('\n').sort(), ['4f2a91c0d3e7', issuedId].sort());
});

test('"config get" refuses an unknown section and lists the existing ones', async (t) => {
  const cell = await createClientCell(t);
  const run = await cell.run('config', 'get', '--section', 'team');
  t.is(run.exitCode, EXIT_CODES.refused);
  t.regex(run.errors, /There is no section team\.\nNext: .*policy.*teams/);
});

test('usage is printed as JSON and CSV, with a warning for partitions that could not be read', async (t) => {
  const cell = await createClientCell(t);
  const csv = await cell.run('usage', '--csv');
  t.true(csv.output.startsWith('hour,team,queue,tasks,'));
  t.regex(csv.errors, /Partition 1 is missing from the report/);
  const json = JSON.parse((await cell.run('usage', '--json')).output) as {
    rows: { processorSeconds: number }[];
  };
  t.deepEqual(
    json.rows.map(({ processorSeconds }) => processorSeconds),
    [3_600],
  );
});

/** Guards against a command that resets the limits whose flags are absent. */
test('"teams set" changes only the given values, based on the revision that it read', async (t) => {
  const cell = await createClientCell(t);
  const run = await cell.run('teams', 'set', 'harbour', '--task-limit', '40');
  t.is(run.output, 'Revision 2 is in effect on 1 of 1 daemons.', run.errors);
  t.deepEqual(cell.service.current()?.teams.harbour, {
    share: 2,
    limits: { tasks: 40, requests: 10 },
  });
  const unknown = await cell.run('teams', 'set', 'harbor', '--share', '3');
  t.is(unknown.exitCode, EXIT_CODES.refused);
  t.regex(unknown.errors, /There is no team harbor\.\nNext: Run "chicorybend teams list"/);
  t.is((await cell.run('teams', 'set', 'harbour')).exitCode, EXIT_CODES.usage);
  t.is((await cell.run('teams', 'set', 'harbour', '--share', 'x')).exitCode, EXIT_CODES.usage);
  const invalid = await cell.run('teams', 'set', 'harbour', '--share', '0');
  t.is(invalid.exitCode, EXIT_CODES.refused);
  t.regex(invalid.errors, /teams\.harbour\.share/);
});

test('--version prints the version of the package', async (t) => {
  const cell = await createClientCell(t);
  const { version } = JSON.parse(readFileSync(`${PACKAGE}package.json`, 'utf8')) as {
    version: string;
  };
  const run = await cell.run('--version');
  t.is(run.exitCode, EXIT_CODES.success);
  t.is(run.output, `chicorybend ${version}`);
});

test('the process exits with the exit code of the command', (t) => {
  const help = spawnSync(process.execPath, [MAIN, '--help'], { encoding: 'utf8' });
  t.is(help.status, EXIT_CODES.success);
  t.true(help.stdout.includes('EXIT CODES'));
  const wrong = spawnSync(process.execPath, [MAIN, 'teams', 'list', '--address', UNUSED_ADDRESS], {
    encoding: 'utf8',
    env: { CHICORYBEND_TOKEN: 'a', CHICORYBEND_OPERATOR: 'b' },
  });
  t.is(wrong.status, EXIT_CODES.unreachable);
});

test('the file that npm links as the program exists before a build, is executable and runs the client', (t) => {
  const { bin } = JSON.parse(readFileSync(`${PACKAGE}package.json`, 'utf8')) as {
    bin: { chicorybend: string };
  };
  t.false(
    bin.chicorybend.startsWith('dist/'),
    'npm does not link a file that only the build creates',
  );
  const help = spawnSync(`${PACKAGE}${bin.chicorybend}`, ['--help'], { encoding: 'utf8' });
  t.is(help.status, EXIT_CODES.success, help.error?.message);
  t.true(help.stdout.includes('EXIT CODES'));
});
