// Runs the workspace commands on a fresh clone: installs from the lock file if needed, then builds.
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
  // The import rules of the linter resolve the packages through their built entry files.
  build();
  requireSuccess('npx', ['--no-install', 'eslint', '--max-warnings', '0', '.']);
  const outcome = spawnSync('npx', ['--no-install', 'ava', '--tap', ...fileArguments], {
    cwd: ROOT,
    encoding: 'utf8',
    maxBuffer: 1 << 28,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  process.stdout.write(outcome.stdout);
  const verdict = judgeTapRun(ROOT, outcome.stdout, outcome.status ?? 1);
  verdict.lines.forEach((line) => console.log(line));
  console.log(`tests: ${verdict.passed} passed, ${verdict.failed} failed`);
  return verdict.failed === 0 && verdict.passed > 0 ? 0 : 1;
}

function runProving(program, programArguments) {
  build();
  // On Ctrl-C the program ends by its own handler; without a listener this process would end before it.
  process.on('SIGINT', () => {});
  return run('node', ['--expose-gc', `packages/proving/dist/${program}.js`, ...programArguments]);
}

const [command, ...rest] = process.argv.slice(2);
install();
// Setting the code lets the output reach a slow reader before the process ends.
if (command === 'test') process.exitCode = runTests(rest);
else process.exitCode = runProving(command, rest);
