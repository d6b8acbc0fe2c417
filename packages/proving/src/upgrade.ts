import { existsSync } from 'node:fs';
import { resolve } from 'node:path';

import { defineCommand, runMain } from 'citty';

import { DAEMON_PROGRAM } from './core/daemonProcess.js';
import { formatChecks, formatSummary } from './core/summary.js';
import { runUpgrade } from './core/upgradeRun.js';
import type { Build } from './core/upgradeRun.js';
import { EXAMPLE_NAMES, readExample } from './utils/readExample.js';

const PROGRAM_IN_FOLDER = 'packages/daemon/dist/main.js';
const LARGEST_SEED = 1_000_000_000;

function findOther(folder: string | undefined): Build {
  if (folder === undefined) return { name: 'this build again', program: DAEMON_PROGRAM };
  const program = resolve(folder, PROGRAM_IN_FOLDER);
  if (existsSync(program)) return { name: 'the other build', program };
  console.error(`--other must be the folder of a build: there is no ${program}`);
  return process.exit(2);
}

function readSeed(text: string | undefined): number {
  const seed = text === undefined ? Math.floor(Math.random() * LARGEST_SEED) : Number(text);
  if (Number.isInteger(seed) && seed >= 0) return seed;
  console.error('--seed must be a whole number that is not negative');
  return process.exit(2);
}

/** Replaces the daemons of a working cell by those of another build and back; exits with 0 only if all checks hold. */
const command = defineCommand({
  meta: {
    name: 'upgrade',
    description: 'Replaces the daemons of a working local cell by those of another build, and back',
  },
  args: {
    other: {
      type: 'string',
      description: 'Folder of another clone that is built; this build again by default',
    },
    first: {
      type: 'enum',
      options: ['other', 'this'],
      default: 'other',
      description: 'Build that the cell runs at first and at the end',
    },
    seed: { type: 'string', description: 'Seed of the load; random by default' },
    example: {
      type: 'enum',
      options: [...EXAMPLE_NAMES],
      default: 'coldline',
      description: 'Folder under examples/',
    },
  },
  async run({ args }) {
    const other = findOther(args.other);
    const own: Build = { name: 'this build', program: DAEMON_PROGRAM };
    const seed = readSeed(args.seed);
    console.log(`seed: ${seed}`);
    const { rows, checks, failures } = await runUpgrade({
      example: readExample(args.example),
      seed,
      ...(args.first === 'other' ? { first: other, second: own } : { first: own, second: other }),
      report: (line) => console.log(line),
    });
    console.log(formatSummary(rows));
    console.log(formatChecks(checks));
    failures.forEach((failure) => console.log(`failed: ${failure}`));
    const isGood =
      failures.length === 0 && checks.every(({ violations }) => violations.length === 0);
    console.log(isGood ? 'upgrade: all checks hold' : `upgrade: failed with seed ${seed}`);
    process.exit(isGood ? 0 : 1);
  },
});

await runMain(command);
