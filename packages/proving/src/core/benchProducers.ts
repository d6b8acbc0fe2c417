import { existsSync, readdirSync } from 'node:fs';

import type { BenchProducer } from '../types/benchRow.js';

/** A benchmark producer, named `<package>/<function>`. */
export interface NamedProducer {
  readonly name: string;
  readonly produce: BenchProducer;
}

const PACKAGES_FOLDER = new URL('../../../', import.meta.url);
const ENTRY_FILE = 'dist/__performance_tests__/index.js';

async function loadPackage(packagesFolder: URL, name: string): Promise<NamedProducer[]> {
  const entry = new URL(`${name}/${ENTRY_FILE}`, packagesFolder);
  if (!existsSync(entry)) return [];
  const exported = (await import(entry.href)) as Record<string, unknown>;
  return Object.entries(exported).flatMap(([functionName, value]) =>
    typeof value === 'function'
      ? [{ name: `${name}/${functionName}`, produce: value as BenchProducer }]
      : [],
  );
}

/**
 * Finds the producers of all packages: each function that a package exports from
 * `src/__performance_tests__/index.ts` is a {@link BenchProducer}.
 *
 * @param packagesFolder folder that holds all packages
 * @returns producers, ordered by package name
 */
export async function findBenchProducers(
  packagesFolder: URL = PACKAGES_FOLDER,
): Promise<readonly NamedProducer[]> {
  const names = readdirSync(packagesFolder).sort();
  const found = await Promise.all(names.map((name) => loadPackage(packagesFolder, name)));
  return found.flat();
}
