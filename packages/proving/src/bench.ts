import { writeFileSync } from 'node:fs';

import { defineCommand, runMain } from 'citty';

import { findBenchProducers } from './core/benchProducers.js';
import { formatBench, runBench } from './core/benchRun.js';

/** Prints benchmark rows; exits non-zero past a bound. */
const command = defineCommand({
  meta: { name: 'bench', description: 'Measures and compares with bounds' },
  args: {
    json: { type: 'string', description: 'File that the rows are written to' },
    short: {
      type: 'boolean',
      default: false,
      description: 'Small sizes, and only bounds that do not depend on the machine',
    },
    only: { type: 'string', description: 'Text that the name of a producer must contain' },
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
