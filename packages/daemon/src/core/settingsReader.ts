import { parseArgs } from 'node:util';

import { Err, Ok } from '@chicorybend/common';
import type { Result } from '@chicorybend/common';
import type { z } from 'zod';

import { settingsSchema } from '../types/settings.js';
import type { Settings } from '../types/settings.js';
import { describeSettings, SECRET_SETTINGS } from './settingsHelp.js';
import type { SettingDescription } from './settingsHelp.js';

/** Values of environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

type RawSettings = Readonly<Record<string, string>>;

/** Reads the flags with lenient parsing, so that all errors are worded here and not by `parseArgs`. */
function readFlags(
  argv: readonly string[],
  settings: readonly SettingDescription[],
): Result<RawSettings, string> {
  const settingsByFlag = new Map(settings.map((setting) => [setting.flag.slice(2), setting]));
  const options = Object.fromEntries(
    [...settingsByFlag.keys()].map((flag) => [flag, { type: 'string' as const }]),
  );
  const { tokens } = parseArgs({
    args: [...argv],
    options,
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  const values: Record<string, string> = {};
  for (const token of tokens) {
    if (token.kind === 'positional') return Err(`Unexpected argument ${token.value}.`);
    if (token.kind === 'option') {
      const setting = settingsByFlag.get(token.name);
      if (!setting) return Err(`Unknown setting ${token.rawName}. --help lists the settings.`);
      if (token.value === undefined || token.value === '') {
        return Err(`Setting ${setting.flag} needs a value: ${setting.description}.`);
      }
      values[setting.name] = token.value;
    }
  }
  return Ok(values);
}

function readVariables(
  environment: Environment,
  settings: readonly SettingDescription[],
): RawSettings {
  const present = settings.flatMap((setting) => {
    const value = environment[setting.variable];
    return value === undefined || value === '' ? [] : [[setting.name, value] as const];
  });
  return Object.fromEntries(present);
}

function describeIssue(
  issue: z.core.$ZodIssue,
  raw: RawSettings,
  settings: readonly SettingDescription[],
): string {
  const name = String(issue.path[0] ?? '');
  const setting = settings.find((candidate) => candidate.name === name);
  if (!setting) return issue.message;
  const label = `Setting ${setting.flag} (${setting.variable})`;
  const value = raw[name];
  if (value === undefined) return `${label} is missing: ${setting.description}.`;
  const shownValue = SECRET_SETTINGS.has(name) ? '' : ` "${value}"`;
  return `${label} has a wrong value${shownValue}: ${issue.message}. It is: ${setting.description}.`;
}

/**
 * Reads the daemon's settings from flags and environment variables. A flag takes precedence over its variable, and
 * an empty variable counts as absent.
 *
 * @param argv arguments after the program's name
 * @returns validated settings, or an error message: for flags the first error; for values each invalid setting with
 * its value and what is allowed. Values of secret settings are left out.
 */
export function readSettings(
  argv: readonly string[],
  environment: Environment,
): Result<Settings, string> {
  const settings = describeSettings();
  const flags = readFlags(argv, settings);
  if (flags.isErr()) return flags;
  const raw = { ...readVariables(environment, settings), ...flags.value };
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) return Ok(parsed.data);
  return Err(parsed.error.issues.map((issue) => describeIssue(issue, raw, settings)).join('\n'));
}
