import { readFileSync } from 'node:fs';

import type { ConfigurationDocument } from '@chicorybend/common';

import { cellPlanSchema, sampleKeysSchema } from '../types/cellPlan.js';
import type { Example } from '../types/cellPlan.js';

const EXAMPLES_FOLDER = new URL('../../../../examples/', import.meta.url);

/** Names of the examples. */
export const EXAMPLE_NAMES = ['coldline', 'van-dijkhuizen'] as const;

/** Name of an example. */
export type ExampleName = (typeof EXAMPLE_NAMES)[number];

/**
 * Reads the files of an example.
 *
 * @param name folder under `examples/`
 * @throws if a file is missing or its content is invalid; the configuration is not validated
 */
export function readExample(name: ExampleName): Example {
  const read = (file: string): unknown =>
    JSON.parse(readFileSync(new URL(`${name}/${file}`, EXAMPLES_FOLDER), 'utf8'));
  return {
    plan: cellPlanSchema.parse(read('cell.json')),
    configuration: read('configuration.json') as ConfigurationDocument,
    keys: sampleKeysSchema.parse(read('sample-keys.json')),
  };
}
