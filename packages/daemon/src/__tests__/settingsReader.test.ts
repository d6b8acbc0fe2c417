import { readFileSync } from 'node:fs';

import test from 'ava';

import { describeSettings, formatSettingsHelp, readSettings } from '../index.js';

const VALID = {
  CHICORYBEND_ID: 'entry-1',
  CHICORYBEND_DATA_CENTRE: 'east',
  CHICORYBEND_STORE_ADDRESS: 'http://127.0.0.1:1',
  CHICORYBEND_VM_LIST_ADDRESS: 'http://127.0.0.1:2',
  CHICORYBEND_PEER_TOKEN: 'a-token-of-the-daemons',
};
const OPERATORS_PAGE = new URL('../../../../docs/operators.md', import.meta.url);

function errorOf(argv: readonly string[], environment: Record<string, string> = VALID): string {
  const settings = readSettings(argv, environment);
  return settings.isErr() ? settings.error : '';
}

test('flags take precedence over variables, with a space or an equals sign, and numbers are parsed', (t) => {
  const settings = readSettings(
    ['--id', 'entry-2', '--api-port=8080', '--data-centre=west'],
    VALID,
  ).unwrap();
  t.like(settings, { id: 'entry-2', apiPort: 8080, dataCentre: 'west', partitions: 12 });
  t.is(settings.storeAddress, VALID.CHICORYBEND_STORE_ADDRESS);
});

test('the error for a missing setting names its flag and variable', (t) => {
  const message = errorOf([], {});
  ['--store-address (CHICORYBEND_STORE_ADDRESS)', '--id (CHICORYBEND_ID)'].forEach((part) =>
    t.true(message.includes(`Setting ${part} is missing`), message),
  );
});

test('the error for an invalid setting has its value and what is allowed', (t) => {
  const message = errorOf(['--api-port', '70000', '--log-level=loud']);
  t.regex(message, /--api-port \(CHICORYBEND_API_PORT\) has a wrong value "70000": .*65535/);
  t.regex(message, /--log-level .* "loud": .*"debug"\|"info"\|"warn"\|"error"/);
});

test('values of secrets are never printed', (t) => {
  const message = errorOf(['--peer-token', 'hunter2', '--operator-token=letmein']);
  t.regex(message, /--peer-token/);
  t.regex(message, /--operator-token/);
  t.notRegex(message, /hunter2|letmein/);
});

test('an unknown flag, a lone argument and a flag without a value are refused', (t) => {
  t.regex(errorOf(['--store-adress', 'http://127.0.0.1:1']), /Unknown setting --store-adress/);
  t.regex(errorOf(['serve']), /Unexpected argument serve/);
  t.regex(errorOf(['--id']), /Setting --id needs a value/);
  t.regex(errorOf(['--api-port=']), /Setting --api-port needs a value/);
});

test('the help text and the table in docs/operators.md list each setting with its default', (t) => {
  const help = formatSettingsHelp();
  const page = readFileSync(OPERATORS_PAGE, 'utf8');
  const rows = page.split('\n').filter((line) => line.startsWith('| `--'));
  t.is(rows.length, describeSettings().length);
  describeSettings().forEach((setting) => {
    t.true(help.includes(setting.flag) && help.includes(setting.variable), setting.flag);
    const row = rows.find((line) => line.startsWith(`| \`${setting.flag}\``)) ?? '';
    const cells = row.split('|').map((cell) => cell.trim());
    const optional = setting.defaultText ?? 'none';
    t.deepEqual(cells.slice(1, 5), [
      `\`${setting.flag}\``,
      `\`${setting.variable}\``,
      setting.isRequired ? 'required' : optional,
      setting.description,
    ]);
  });
});
