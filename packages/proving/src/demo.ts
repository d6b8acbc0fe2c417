import { defineCommand, runMain } from 'citty';

import { runDemo } from './core/demoRun.js';
import { formatChecks, formatSummary } from './core/summary.js';
import { EXAMPLE_NAMES, readExample } from './utils/readExample.js';

/** Runs example work of each kind on a local cell; exits with 0 only if it succeeds and all checks hold. */
const command = defineCommand({
  meta: { name: 'demo', description: 'Runs the example work of each kind on a local cell' },
  args: {
    example: {
      type: 'enum',
      options: [...EXAMPLE_NAMES],
      default: 'coldline',
      description: 'Folder under examples/',
    },
  },
  async run({ args }) {
    const { rows, checks, failures } = await runDemo({
      example: readExample(args.example),
      report: (line) => console.log(line),
    });
    console.log(formatSummary(rows));
    console.log(formatChecks(checks));
    failures.forEach((failure) => console.log(`failed: ${failure}`));
    const passed =
      failures.length === 0 && checks.every(({ violations }) => violations.length === 0);
    console.log(passed ? 'demo: all checks hold' : 'demo: failed');
    process.exit(passed ? 0 : 1);
  },
});

await runMain(command);
