// Evaluates a TAP run against KNOWN-RED.txt: the listed tests must fail if they ran, and all others must pass.
import { existsSync, readFileSync } from 'node:fs';

const REQUIRED_FIELDS = ['test', 'command', 'seed', 'seen', 'issue'];

/**
 * Reads the entries of KNOWN-RED.txt. Entries are separated by blank lines; each line is `field: value`.
 *
 * @param {string} text content of the file
 * @returns {{entries: Record<string, string>[], errors: string[]}} entries, and an error for each missing field
 */
export function parseKnownRed(text) {
  const entries = text
    .split(/\n\s*\n/)
    .map((block) => block.split('\n').filter((line) => line.trim() && !line.startsWith('#')))
    .filter((lines) => lines.length > 0)
    .map((lines) =>
      Object.fromEntries(
        lines.map((line) => {
          const separator = line.indexOf(':');
          return [line.slice(0, separator).trim(), line.slice(separator + 1).trim()];
        }),
      ),
    );
  const errors = entries.flatMap((entry) =>
    REQUIRED_FIELDS.filter((field) => !entry[field]).map(
      (field) => `KNOWN-RED.txt: entry "${entry.test ?? '?'}" has no ${field}`,
    ),
  );
  return { entries, errors };
}

/**
 * Reads test results from TAP output, without skipped and TODO tests.
 *
 * @param {string} tap output of the runner
 * @returns {{passed: string[], failed: string[]}} titles of the tests
 */
export function parseTap(tap) {
  const passed = [];
  const failed = [];
  tap.split('\n').forEach((line) => {
    const match = /^(not )?ok \d+ - (.*)$/.exec(line);
    if (!match || /# (SKIP|TODO)/.test(line)) return;
    (match[1] ? failed : passed).push(match[2].trim());
  });
  return { passed, failed };
}

/**
 * Evaluates a TAP run against KNOWN-RED.txt. A listed test that passes, an invalid entry and a runner that exits with
 * an error but no failed test each count as a failure.
 *
 * @param {string} root folder of the repository, with a trailing slash
 * @param {string} tap output of the runner
 * @param {number} status exit code of the runner
 * @returns {{passed: number, failed: number, lines: string[]}} counts and lines to print
 */
export function judgeTapRun(root, tap, status) {
  const file = `${root}KNOWN-RED.txt`;
  const { entries, errors } = parseKnownRed(existsSync(file) ? readFileSync(file, 'utf8') : '');
  const { passed, failed } = parseTap(tap);
  const listed = new Set(entries.map((entry) => entry.test));
  const unexpectedFailures = failed.filter((name) => !listed.has(name));
  const unexpectedlyPassed = passed.filter((name) => listed.has(name));
  const lines = [
    ...errors,
    ...failed.filter((name) => listed.has(name)).map((name) => `known red: ${name}`),
    ...unexpectedFailures.map((name) => `failed: ${name}`),
    ...unexpectedlyPassed.map((name) => `listed in KNOWN-RED.txt but passes: ${name}`),
  ];
  const crashed = status !== 0 && failed.length === 0 ? 1 : 0;
  if (crashed) lines.push(`the test runner ended with exit code ${status} and no failed test`);
  return {
    passed: passed.length - unexpectedlyPassed.length,
    failed: unexpectedFailures.length + unexpectedlyPassed.length + errors.length + crashed,
    lines,
  };
}
