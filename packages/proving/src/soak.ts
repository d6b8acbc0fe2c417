import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import { defineCommand, runMain } from 'citty';

import {
  DEFAULT_LONGEST_CUT_MILLISECONDS,
  formatCrashSoak,
  runCrashSoak,
} from './core/crashSoak.js';
import { LONG_FAULT_NAMES, planLongFault } from './core/longFaults.js';
import type { LongFaultName } from './core/longFaults.js';
import type { CrashSoakProfile } from './types/crashSoak.js';
import { runSoak } from './core/soakRun.js';
import { formatChecks, formatSummary } from './core/summary.js';
import { EXAMPLE_NAMES, readExample } from './utils/readExample.js';

/** Soak of the program that is deployed on the platform; it alone knows the platform's protocol. */
const PROCESS_SOAK = fileURLToPath(new URL('../../../platform/dist/soak/main.js', import.meta.url));
const RANDOM_FAULTS = 'random';
const RESTART_FAULTS = 'restarts';
/** Profiles of the process soak; random faults are those of its profile `all`. */
const PROCESS_PROFILES = ['advice', 'configuration', RESTART_FAULTS] as const;
const MILLISECONDS_PER_MINUTE = 60_000;
const LARGEST_SEED = 1_000_000_000;
// By then the partitions have been distributed to the daemons, even on a busy machine.
const BEFORE_LONG_FAULT_MILLISECONDS = 20_000;
const AFTER_LONG_FAULT_MILLISECONDS = 30_000;

function readNumber(name: string, text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  console.error(`--${name} must be a number that is not negative`);
  return process.exit(2);
}

/** Random faults start throughout the duration; a long fault lasts for all of it, with load before and after. */
function planSoak(faults: typeof RANDOM_FAULTS | LongFaultName, durationMilliseconds: number) {
  if (faults === RANDOM_FAULTS) return { durationMilliseconds };
  return planLongFault(faults, {
    before: BEFORE_LONG_FAULT_MILLISECONDS,
    during: durationMilliseconds,
    after: AFTER_LONG_FAULT_MILLISECONDS,
  });
}

/** Runs the deployed program as processes. @returns exit code */
function runProcessSoak(seed: number, minutes: number, faults: string): number {
  const profile =
    faults === RANDOM_FAULTS ? 'all' : PROCESS_PROFILES.find((name) => name === faults);
  if (!profile) {
    console.error(
      `--processes takes --faults ${[RANDOM_FAULTS, ...PROCESS_PROFILES].join(' or ')}`,
    );
    return 2;
  }
  const soakArguments = [
    ...['--seed', String(seed), '--minutes', String(minutes)],
    ...['--faults', profile],
  ];
  const { status } = spawnSync(process.execPath, [PROCESS_SOAK, ...soakArguments], {
    stdio: 'inherit',
  });
  return status ?? 1;
}

function isProcessProfile(faults: string): faults is (typeof PROCESS_PROFILES)[number] {
  return PROCESS_PROFILES.some((name) => name === faults);
}

/** Runs crash soaks with consecutive seeds. @returns whether all checks hold */
async function runCrashSoaks(
  firstSeed: number,
  runs: number,
  longestCutMilliseconds: number,
  profile: CrashSoakProfile,
): Promise<boolean> {
  const failedSeeds: number[] = [];
  for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
    const outcome = await runCrashSoak({ seed, profile, longestCutMilliseconds });
    console.log(formatCrashSoak(outcome));
    outcome.violations.forEach((violation) => console.log(`violation: ${violation}`));
    if (runs === 1) outcome.trace.forEach((line) => console.log(line));
    if (outcome.violations.length > 0) failedSeeds.push(seed);
  }
  const seeds = failedSeeds.join(' ');
  console.log(seeds === '' ? 'soak: all checks hold' : `soak: failed with seeds ${seeds}`);
  return failedSeeds.length === 0;
}

/**
 * Runs a mixed load under faults. The seed determines the load and the random faults. Exits with 0 only if the run
 * succeeds and all checks hold.
 */
const command = defineCommand({
  meta: { name: 'soak', description: 'Runs a mixed load on a local cell under random faults' },
  args: {
    seed: { type: 'string', description: 'Seed of the faults and the load; random by default' },
    minutes: {
      type: 'string',
      default: '2',
      description: 'Minutes during which random faults start, or that the long fault lasts',
    },
    faults: {
      type: 'enum',
      options: [RANDOM_FAULTS, ...PROCESS_PROFILES, ...LONG_FAULT_NAMES],
      default: RANDOM_FAULTS,
      description:
        'Random faults, or one fault that lasts for the whole duration; with --processes, random faults, those of the ways to advice, changes of the configuration or restarts of endpoints; with --crashes, random faults or restarts of endpoints',
    },
    example: {
      type: 'enum',
      options: [...EXAMPLE_NAMES],
      default: 'coldline',
      description: 'Folder under examples/',
    },
    crashes: {
      type: 'boolean',
      default: false,
      description:
        'Runs jobs that crash endpoints, and other faults, in this process on a manual clock',
    },
    'longest-cut': {
      type: 'string',
      default: String(DEFAULT_LONGEST_CUT_MILLISECONDS),
      description: 'Longest time for which endpoints are cut off, in milliseconds, with --crashes',
    },
    processes: {
      type: 'boolean',
      default: false,
      description: 'Runs the deployed program as processes against stand-ins of the platform',
    },
    runs: {
      type: 'string',
      default: '1',
      description:
        'Number of runs with consecutive seeds, with --crashes; one run prints a trace if it fails',
    },
  },
  async run({ args }) {
    const randomSeed = String(Math.floor(Math.random() * LARGEST_SEED));
    const seed = Math.floor(readNumber('seed', args.seed ?? randomSeed));
    if (args.crashes) {
      if (args.faults !== RANDOM_FAULTS && args.faults !== RESTART_FAULTS) {
        console.error(`--crashes takes --faults ${RANDOM_FAULTS} or ${RESTART_FAULTS}`);
        process.exit(2);
      }
      const passed = await runCrashSoaks(
        seed,
        readNumber('runs', args.runs),
        readNumber('longest-cut', args['longest-cut']),
        args.faults,
      );
      process.exit(passed ? 0 : 1);
    }
    const minutes = readNumber('minutes', args.minutes);
    if (args.processes) process.exit(runProcessSoak(seed, minutes, args.faults));
    if (isProcessProfile(args.faults)) {
      console.error(`--faults ${args.faults} needs --processes`);
      process.exit(2);
    }
    console.log(`seed: ${seed}`);
    const { faults, rows, checks, failures, window } = await runSoak({
      example: readExample(args.example),
      seed,
      ...planSoak(args.faults, minutes * MILLISECONDS_PER_MINUTE),
      report: (line) => console.log(line),
    });
    console.log(formatSummary(rows));
    console.log(formatChecks(checks));
    if (window) console.log(`during the fault: ${JSON.stringify(window, null, 2)}`);
    failures.forEach((failure) => console.log(`failed: ${failure}`));
    const passed =
      failures.length === 0 && checks.every(({ violations }) => violations.length === 0);
    if (!passed) faults.forEach((fault) => console.log(`fault: ${JSON.stringify(fault)}`));
    console.log(passed ? 'soak: all checks hold' : `soak: failed with seed ${seed}`);
    process.exit(passed ? 0 : 1);
  },
});

await runMain(command);
