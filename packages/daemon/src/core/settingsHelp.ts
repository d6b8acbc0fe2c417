import { z } from 'zod';

import { settingsSchema } from '../types/settings.js';
import type { Settings } from '../types/settings.js';

export type SettingName = keyof Settings;

/** Flag, variable, description and default of a setting, for the help text and the documentation. */
export interface SettingDescription {
  readonly name: SettingName;
  /** For example `--store-address`. */
  readonly flag: string;
  /** For example `CHICORYBEND_STORE_ADDRESS`. */
  readonly variable: string;
  readonly description: string;
  /** Default as text, null if there is none. */
  readonly defaultText: string | null;
  readonly isRequired: boolean;
}

/** Names of settings whose values are never printed. */
export const SECRET_SETTINGS: ReadonlySet<string> = new Set(['peerToken', 'operatorToken']);

const VARIABLE_PREFIX = 'CHICORYBEND_';

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

interface SchemaProperty {
  readonly description?: string;
  readonly default?: unknown;
}

function describeSetting(
  name: SettingName,
  property: SchemaProperty,
  required: ReadonlySet<string>,
): SettingDescription {
  const kebab = toKebabCase(name);
  return {
    name,
    flag: `--${kebab}`,
    variable: `${VARIABLE_PREFIX}${kebab.replaceAll('-', '_').toUpperCase()}`,
    description: property.description ?? '',
    defaultText: property.default === undefined ? null : String(property.default),
    isRequired: required.has(name),
  };
}

/**
 * Derives the descriptions of the settings from their schema.
 *
 * @returns descriptions in the order of the schema
 */
export function describeSettings(): readonly SettingDescription[] {
  const schema = z.toJSONSchema(settingsSchema, { io: 'input' });
  const required = new Set(schema.required ?? []);
  return Object.entries(schema.properties ?? {}).map(([name, property]) =>
    describeSetting(name as SettingName, property as SchemaProperty, required),
  );
}

function describeDefault(setting: SettingDescription): string {
  if (setting.isRequired) return 'required';
  return setting.defaultText === null ? 'optional' : `default ${setting.defaultText}`;
}

/**
 * Formats the help text of the daemon for the terminal.
 */
export function formatSettingsHelp(): string {
  const lines = describeSettings().map(
    (setting) =>
      `  ${setting.flag} <value>\n      ${setting.description} (${describeDefault(setting)}; ${setting.variable})`,
  );
  return [
    'Usage: chicorybendd [settings]',
    '',
    'Each setting is a flag or an environment variable; the flag goes first.',
    '',
    ...lines,
    '',
  ].join('\n');
}
