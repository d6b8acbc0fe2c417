// Processes of the program of the deploy file, each with a loopback address and a settings file of its own.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

function deployLine(name) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const match = new RegExp(`^${name} = (.*)$`, 'm').exec(text);
  return match ? match[1] : '';
}

function readCommand() {
  return JSON.parse(deployLine('run')).split(' ');
}

function readEnvironment() {
  return Object.fromEntries(
    [...deployLine('env').matchAll(/([A-Z0-9_]+) = ("[^"]*")/g)].map(([, name, text]) => [
      name,
      JSON.parse(text),
    ]),
  );
}

/** Settings like those of a small deployment, as DEPLOY.md shows them. */
function renderSettings({ name, host, zone, ports, storeAddress, bounds }) {
  return `node = "${name}"
role = "scheduler"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "${host}"
zone = "${zone}"
region = "one"
internal-ports = [${ports.peer},${ports.peer + 15}]
seeds = []
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
orders = "invocation"
[listen-addrs]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
control = "${host}:${ports.control}"
[limits]
cpu-share = 0.675
cores = 1
memory-mb = 350
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
fail-closed = true
revoke-ms = 5000
recovery-s = 12
hold-max-ms = 10000
stop-ms = 200
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = ${bounds?.status ?? 120}
require-fencing = true
lease-ms = 3000
[platform]
address = "${storeAddress}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`;
}

/** Prepares one process; it is not started yet. */
export function createDaemon(options) {
  const { name, host, ports, folder, record } = options;
  const file = join(folder, `${name}.toml`);
  writeFileSync(file, renderSettings(options));
  const [program, ...words] = readCommand();
  let child = null;
  const lines = [];

  function keepLines(stream) {
    let rest = '';
    stream.setEncoding('utf8').on('data', (text) => {
      const parts = (rest + text).split('\n');
      rest = parts.pop();
      lines.push(...parts);
    });
  }

  process.on('exit', () => child?.kill('SIGKILL'));

  return {
    name,
    front: `${host}:${ports.front}`,
    ready: `${host}:${ports.ready}`,
    /** Lines of the log. */
    lines,
    isRunning: () => child !== null,
    start() {
      const { PATH, HOME, LANG } = process.env;
      child = spawn(program === 'node' ? process.execPath : program, words, {
        cwd: ROOT,
        env: { PATH, HOME, LANG, ...readEnvironment(), CHICORYBEND_SETTINGS: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const started = child;
      keepLines(child.stdout);
      keepLines(child.stderr);
      record.add({ at: 'system', event: 'process started', node: name });
      child.once('exit', (code, signal) => {
        record.add({ at: 'system', event: 'process ended', node: name, code, signal });
        if (child === started) child = null;
        options.onExit?.(code, signal);
      });
    },
    async kill(signal = 'SIGKILL') {
      if (!child) return;
      const ended = once(child, 'exit');
      child.kill(signal);
      await ended;
    },
  };
}
