import process from 'node:process';

import { collectDecisionRows } from './decisionRows.js';

/** Prints only the rows of this package: `node printDecisionRows.js [--short]`. */
const rows = await collectDecisionRows({ isShort: process.argv.includes('--short') });
rows.forEach(({ name, measured, bound, direction, unit }) => {
  const limit = bound === null ? '' : ` (${direction} ${bound})`;
  process.stdout.write(`${name}: ${Number(measured.toPrecision(4))} ${unit}${limit}\n`);
});
