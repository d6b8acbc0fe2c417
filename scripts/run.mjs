// Runs a workspace command. Installs dependencies from the lock file if needed and builds first, so that it works on a
// fresh clone.
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { judgeTapRun } from './knownRed.mjs';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const INSTALL_MARKER = 'node_modules/.package-lock.json';

function run(command, commandArguments, options = {}) {
  const outcome = spawnSync(command, commandArguments, { cwd: ROOT, stdio: 'inherit', ...options });
  return outcome.status ?? 1;
}

function requireSuccess(command, commandArguments) {
  const status = run(command, commandArguments);
  if (status !== 0) process.exit(status);
}

function isInstalled() {
  const marker = `${ROOT}${INSTALL_MARKER}`;
  return (
    existsSync(marker) && statSync(marker).mtimeMs >= statSync(`${ROOT}package-lock.json`).mtimeMs
  );
}

function install() {
  if (!isInstalled()) requireSuccess('npm', ['ci', '--no-audit', '--no-fund']);
}

function build() {
  requireSuccess('npx', ['--no-install', 'tsc', '--build']);
}

function runTests(fileArguments) {
  requireSuccess('npx', ['--no-install', 'prettier', '--check', '--log-level', 'warn', '.']);
  // Build before linting: the linter's import rules resolve the packages through their built entry files.
  build();
  requireSuccess('npx', ['--no-install', 'eslint', '--max-warnings', '0', '.']);
  const outcome = spawnSync('npx', ['--no-install', 'ava', '--tap', ...fileArguments], {
    cwd: ROOT,
    encoding: 'utf8',
    maxBuffer: 1 << 28,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  process.stdout.write(outcome.stdout);
  const result = judgeTapRun(ROOT, outcome.stdout, outcome.status ?? 1);
  result.lines.forEach((line) => console.log(line));
  console.log(`tests: ${result.passed} passed, ${result.failed} failed`);
  return result.failed === 0 && result.passed > 0 ? 0 : 1;
}

function runProving(program, programArguments) {
  build();
  // Ctrl-C is handled by the child program; without a listener this process would exit before the child.
  process.on('SIGINT', () => {});
  return run('node', ['--expose-gc', `packages/proving/dist/${program}.js`, ...programArguments]);
}

const [command, ...rest] = process.argv.slice(2);
install();
// process.exitCode rather than process.exit(), which could discard output that a slow reader has not read yet.
if (command === 'test') process.exitCode = runTests(rest);
else process.exitCode = runProving(command, rest);
