// Record of a case: what was sent, answered and run.
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Creates a record that is written to a file line by line. */
export function createRecord(file) {
  const startedAt = performance.now();
  const rows = [];
  writeFileSync(file, '');
  return {
    rows,
    add(row) {
      const timed = { ms: Math.round(performance.now() - startedAt), ...row };
      rows.push(timed);
      appendFileSync(file, `${JSON.stringify(timed)}\n`);
    },
    /** @returns milliseconds since the start of the record */
    now: () => performance.now() - startedAt,
  };
}
