import { existsSync } from 'node:fs';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import { waitUntil } from '../index.js';
import { startCellProgram } from './cellProgram.js';
import { readFirstHourCommands } from './readme.js';
import { runInShell } from './shellRun.js';
import type { CommandRun } from './shellRun.js';

const TEST_LIMIT_MILLISECONDS = 420_000;
const COMMANDS_LIMIT_MILLISECONDS = 300_000;
const COMMAND_LIMIT_MILLISECONDS = 30_000;
const LEAVE_LIMIT_MILLISECONDS = 45_000;
const DAEMONS = 6;

/** Expected result of a command in the README. The default exit code is 0. */
interface Expectation {
  /** Prefix of the command. */
  readonly command: string;
  readonly exitCode?: number;
  readonly expectedOutput?: readonly RegExp[];
}

/** In the README's order. Commands that are not listed must exit with 0. */
const EXPECTATIONS: readonly Expectation[] = [
  {
    command: 'npx chicorybend daemons list',
    expectedOutput: [/entry-1 .* serving/, /entry-6 .* serving/],
  },
  { command: 'npx chicorybend workers list', expectedOutput: [/worker-01 .* live .* 128 GiB/] },
  {
    command: 'npx chicorybend queues list',
    expectedOutput: [/bench-entries .* interactive .* keyed/],
  },
  { command: 'npx chicorybend teams list', expectedOutput: [/taoyuan-works .* 8 .* 400 .* 160/] },
  { command: 'npx chicorybend config get', expectedOutput: [/Wrote revision 1 to/] },
  {
    command: 'npx chicorybend config diff',
    expectedOutput: [/teams\.night-bench: - -> \{"share":1,"limits":\{"tasks":20,"requests":8\}\}/],
  },
  { command: 'npx chicorybend config check', expectedOutput: [/The change is valid/] },
  {
    command: 'npx chicorybend config apply',
    expectedOutput: [new RegExp(`Revision 2 is in effect on ${DAEMONS} of ${DAEMONS} daemons`)],
  },
  { command: 'npx chicorybend config history', expectedOutput: [/2 .* bootstrap .* teams/] },
  {
    command: 'npx chicorybend keys list --team night-bench',
    expectedOutput: [/night-bench .* bootstrap/],
  },
  {
    command: 'npx chicorybend requests send',
    expectedOutput: [/Answered by ledger-\d+:\n"entered"/],
  },
  {
    command: 'npx chicorybend jobs wait "$BATCH"',
    expectedOutput: [/: succeeded\n/, /\/3 .* succeeded/],
  },
  {
    command: 'npx chicorybend jobs wait "$GANG"',
    expectedOutput: [/: succeeded\n/, /\/5 .* succeeded/],
  },
  {
    command: 'npx chicorybend jobs wait "$SERVICE" --until running',
    expectedOutput: [/: running\n/, /\/1 .* running/],
  },
  { command: 'npx chicorybend jobs state "$SERVICE"', expectedOutput: [/: running\n/] },
  {
    command: 'npx chicorybend jobs list --team night-bench',
    expectedOutput: [
      /certificates .* succeeded/,
      /ledger-rebuild .* succeeded/,
      /pressure-watches .* run/,
    ],
  },
  { command: 'npx chicorybend jobs cancel "$SERVICE"', expectedOutput: [/: cancell(ing|ed)\n/] },
  {
    command: 'npx chicorybend jobs wait "$SERVICE"',
    exitCode: 1,
    expectedOutput: [/: cancelled\n/],
  },
  { command: 'npx chicorybend keys revoke "$KEY_ID"', expectedOutput: [/is revoked\. Revision 4/] },
  {
    command: 'npx chicorybend requests send',
    exitCode: 1,
    expectedOutput: [/has been revoked\.\nNext: Issue a new key/],
  },
  { command: 'npx chicorybend daemons drain entry-6', expectedOutput: [/entry-6 is draining/] },
  { command: 'npx chicorybend daemons list', expectedOutput: [/entry-1 .* serving/] },
  {
    command: 'npx chicorybend usage --team night-bench',
    expectedOutput: [/certificates +│ 4 /, /ledger-rebuild +│ 6 /, /pressure-watches +│ 2 /],
  },
  {
    command: 'npx chicorybend audit',
    expectedOutput: [
      /daemon\.drain .* entry-6/,
      /keys\.revoke/,
      /keys\.issue/,
      /configuration\.apply/,
    ],
  },
];

function formatRun({ command, exitCode, output }: CommandRun): string {
  return `$ ${command}\n${output}\nexit code ${exitCode}`;
}

/** Asserts that each run meets its expectation, and that the expected commands occur in order. */
function compareWithExpectations(t: ExecutionContext, runs: readonly CommandRun[]): void {
  const remaining = [...EXPECTATIONS];
  runs.forEach((run) => {
    const isExpected = remaining[0] !== undefined && run.command.startsWith(remaining[0].command);
    const expectation = isExpected ? remaining.shift() : undefined;
    t.is(run.exitCode, expectation?.exitCode ?? 0, formatRun(run));
    expectation?.expectedOutput?.forEach((fact) => t.regex(run.output, fact, formatRun(run)));
  });
  t.deepEqual(
    remaining.map(({ command }) => command),
    [],
    'commands that the README lacks or has in another order',
  );
}

async function hasLeft(id: string, variables: Readonly<Record<string, string>>): Promise<boolean> {
  const list = ['npx chicorybend daemons list'];
  const [run] = await runInShell(list, variables, COMMAND_LIMIT_MILLISECONDS);
  return run?.exitCode === 0 && !run.output.includes(id);
}

test('the commands of the section "A first hour for an operator" in the README work as printed, in order', async (t) => {
  t.timeout(TEST_LIMIT_MILLISECONDS);
  const [start, ...commands] = readFirstHourCommands();
  t.is(start, 'npm run cell');
  const cell = await startCellProgram(t);
  const { variables } = cell;
  t.deepEqual(Object.keys(variables), [
    'CHICORYBEND_ADDRESS',
    'CHICORYBEND_OPERATOR',
    'CHICORYBEND_TOKEN',
  ]);
  compareWithExpectations(t, await runInShell(commands, variables, COMMANDS_LIMIT_MILLISECONDS));
  const isGone = await waitUntil(() => hasLeft('entry-6', variables), LEAVE_LIMIT_MILLISECONDS);
  t.true(isGone, 'the drained daemon entry-6 is still listed');
  const folder = /^output of the daemons .*: (.*)$/m.exec(cell.output())?.[1] ?? '';
  t.true(existsSync(folder));
  t.is(await cell.interrupt(), 0, 'the cell did not exit with 0 on SIGINT');
  t.false(existsSync(folder), 'the folder with the output of the daemons was not removed');
  const [after] = await runInShell(
    ['npx chicorybend daemons list'],
    variables,
    COMMAND_LIMIT_MILLISECONDS,
  );
  t.is(after?.exitCode, 4, 'a daemon still answers after the cell was stopped');
});
