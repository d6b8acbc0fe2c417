import { writeFileSync } from 'node:fs';

import { defineCommand, runMain } from 'citty';

import { findBenchProducers } from './core/benchProducers.js';
import { formatBench, runBench } from './core/benchRun.js';

/** Runs the benchmarks and prints their rows; exits with 1 if any row misses its bound or there are no rows. */
const command = defineCommand({
  meta: {
    name: 'bench',
    description: 'Runs the benchmarks and compares their results with bounds',
  },
  args: {
    json: { type: 'string', description: 'File to write the rows to, as JSON' },
    short: {
      type: 'boolean',
      default: false,
      description: 'Use small sizes and check only bounds that do not depend on the machine',
    },
    only: { type: 'string', description: 'Run only producers whose name contains this text' },
  },
  async run({ args }) {
    const producers = (await findBenchProducers()).filter(({ name }) =>
      name.includes(args.only ?? ''),
    );
    const rows = await runBench(producers, { isShort: args.short });
    console.log(formatBench(rows));
    if (args.json) writeFileSync(args.json, `${JSON.stringify(rows, null, 2)}\n`);
    const passed = rows.filter((row) => row.ok).length;
    console.log(`bench: ${passed} passed, ${rows.length - passed} failed`);
    process.exit(passed === rows.length && rows.length > 0 ? 0 : 1);
  },
});

await runMain(command);
