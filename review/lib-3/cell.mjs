import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

import { sendRequest, sleep } from './http.mjs';
import { startProxy } from './proxy.mjs';
import { startStore } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** Loopback addresses of this script's own, so that scripts beside each other don't take each other's ports. */
const NETWORK = `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}`;
const READY_TIMEOUT_MS = 20_000;
const REQUEST_TIMEOUT_MS = 3_000;
const ATTEMPTS = 8;
const ROUTE_HOST = 'ledger.example';

/** Bounds of the platform's settings, as in DEPLOY and the sites. */
export const BOUNDS = {
  'contact-ms': 3_000,
  'ack-ms': 4_000,
  'drain-ms': 2_000,
  'grace-s': 6,
  'config-apply-ms': 2_000,
  'revoke-ms': 5_000,
  'hold-max-ms': 10_000,
  'stop-ms': 200,
  'gang-ms': 3_000,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  finish_s: 14,
  status_s: 120,
  'notice-ms': 4_500,
};

/** Ends the script with the status "could not run". */
export class CannotRun extends Error {}

function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const probe = net.createServer();
    probe.once('error', reject);
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => resolve(port));
    });
  });
}

/** Reads how the deploy file starts the program and what it adds to the environment. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]*)"$/m.exec(text)?.[1];
  const environment = /^env = \{(.*)\}$/m.exec(text)?.[1] ?? '';
  if (!run) throw new CannotRun('the deploy file names no program');
  const entries = [...environment.matchAll(/([A-Z0-9_]+) = "([^"]*)"/g)];
  return {
    words: run.split(' '),
    environment: Object.fromEntries(entries.map(([, name, value]) => [name, value])),
  };
}

function formatValue(value) {
  return typeof value === 'string' ? JSON.stringify(value) : String(value);
}

/** Creates the record of a script, with a line for each thing that was sent, answered or run. */
export function createRecord(folder) {
  const file = join(folder, 'record.txt');
  const startedAt = Date.now();
  writeFileSync(file, '');
  return {
    write(text) {
      const seconds = ((Date.now() - startedAt) / 1_000).toFixed(3).padStart(8);
      appendFileSync(file, `${seconds} ${text}\n`);
    },
  };
}

/**
 * Starts a small cell: the stand-in of the store, and the program of the deploy file on a number of VMs.
 *
 * @param options.configuration value of `op/config`
 * @param options.vms number of VMs
 * @param options.onWritten called with the keys of each write that the store has executed, before it answers
 */
export async function startCell({ record, configuration, vms: count = 3, onWritten }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-3-'));
  const store = await startStore({ onWritten });
  const deploy = readDeployFile();
  const vms = [];
  const restarts = new Set();
  let next = 0;

  async function createVm(index) {
    const ip = `${NETWORK}.${20 + index}`;
    const [peer, second, front, ready, control, metrics] = [
      await findFreePort(ip),
      await findFreePort(ip),
      await findFreePort(ip),
      await findFreePort(ip),
      await findFreePort(ip),
      await findFreePort(ip),
    ];
    const proxy = await startProxy(store.address);
    const file = join(folder, `vm-${index}.toml`);
    const zone = `zone-${'abc'[index % 3]}`;
    const lines = [
      `node = "edge-${zone}-${index}"`,
      'role = "scheduler"',
      'machine-class = "edge"',
      'serves = ["edge","control_plane"]',
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      'region = "region"',
      `internal-ports = [${peer},${second}]`,
      'seeds = []',
      'bootstrap = true',
      'discovery = "platform"',
      'entry = "vip"',
      'heartbeat-ms = 1500',
      'orders = "invocation"',
      'advice = ""',
      '[listen-addrs]',
      `front = "${ip}:${front}"`,
      `ready = "${ip}:${ready}"`,
      `control = "${ip}:${control}"`,
      '[limits]',
      'cpu-share = 0.675',
      'cores = 1',
      'memory-mb = 350',
      'max-fds = 4100',
      'link-mbps = 1000.0',
      '[bounds]',
      ...Object.entries(BOUNDS).map(([name, value]) => `${name} = ${formatValue(value)}`),
      '[platform]',
      `address = "${proxy.address}"`,
      'form = "kv"',
      'writes-per-s = 400',
      'reads-per-s = 2000',
      'history-s = 20',
      'value-bytes = 1048576',
      'ttl-min-ms = 1000',
    ];
    writeFileSync(file, `${lines.join('\n')}\n`);
    return {
      name: `vm-${index}`,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      peer: `${ip}:${peer}`,
      file,
      metrics,
      proxy,
      child: null,
    };
  }

  function startVm(vm) {
    const [program, ...parameters] = deploy.words;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, parameters, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        LANG,
        ...deploy.environment,
        CHICORYBEND_SETTINGS: vm.file,
        CHICORYBEND_METRICS_PORT: String(vm.metrics),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    [child.stdout, child.stderr].forEach((stream) => {
      stream.setEncoding('utf8').on('data', (chunk) => {
        const lines = (text + chunk).split('\n');
        text = lines.pop();
        lines.forEach((line) => logVmLine(vm, line));
      });
    });
    child.once('exit', (code, signal) => {
      record.write(`${vm.name} ended: code ${code}, signal ${signal}`);
      if (vm.child === child) vm.child = null;
    });
    vm.child = child;
    record.write(`${vm.name} started, pid ${child.pid}`);
  }

  /** Lines that explain what the scheduler did; the check does not use them. */
  function logVmLine(vm, line) {
    if (!/endpoint|run |given up|job closed|task|start |term|ERROR/.test(line)) return;
    if (/owner work|work waits|work held|tasks placed|job accepted|step idle/.test(line)) return;
    record.write(`  log of ${vm.name}: ${line.replace(/^.*?"message":/, '').slice(0, 300)}`);
  }

  async function awaitReady(vm) {
    const endsAt = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < endsAt) {
      const answer = await sendRequest(vm.ready, 'GET', '/ready', { timeoutMs: 1_000 });
      if (answer?.status === 200) return;
      await sleep(100);
    }
    throw new CannotRun(`${vm.name} is not ready`);
  }

  store.put('op/config', configuration);
  for (let index = 0; index < count; index += 1) vms.push(await createVm(index));

  /** Sends a call of a client once, to the next VM or to the one that is given. */
  async function call(method, path, { key, body, vm: chosen } = {}) {
    next += 1;
    const vm = chosen ?? vms[next % vms.length];
    const answer = await sendRequest(vm.front, method, path, {
      headers: {
        Host: ROUTE_HOST,
        'Deadline-Ms': String(REQUEST_TIMEOUT_MS),
        ...(key ? { Credential: key } : {}),
      },
      body,
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    const shown = answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer';
    record.write(`${method} ${path} at ${vm.name}: ${shown}`);
    return answer;
  }

  return {
    store,
    vms,
    call,
    async startVms() {
      vms.forEach(startVm);
      await Promise.all(vms.map(awaitReady));
    },
    /** Kills the process of a VM, which the platform starts again after a time. */
    killVm(vm, downMs) {
      record.write(`DISRUPTION: ${vm.name} is killed, and starts again after ${downMs} ms`);
      vm.child?.kill('SIGKILL');
      restarts.add(setTimeout(() => startVm(vm), downMs));
    },
    /** Stops the process of a VM for a time, and lets it go on. */
    async freezeVm(vm, milliseconds) {
      record.write(`DISRUPTION: ${vm.name} is frozen for ${milliseconds} ms`);
      vm.child?.kill('SIGSTOP');
      await sleep(milliseconds);
      vm.child?.kill('SIGCONT');
      record.write(`${vm.name} goes on`);
    },
    /** @returns the VM that owns the jobs, by its peer address under the owner key */
    owner() {
      const address = store.read('chicorybend/owner')?.address;
      return vms.find(({ peer }) => peer === address) ?? null;
    },
    /** Submits a job as a client does: the same ID again, until it is accepted. */
    async submit(path, job, key) {
      for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
        const answer = await call('POST', path, { key, body: job });
        if (answer && answer.status >= 200 && answer.status < 300) return;
        await sleep(500);
      }
      throw new CannotRun(`${path} is not accepted`);
    },
    /** @returns state of a job, asked for again until there is an answer; `gone` for 410 */
    async stateOf(path, key) {
      for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
        const answer = await call('GET', path, { key });
        if (answer?.status === 200) return answer.body.state;
        if (answer?.status === 410) return 'gone';
        await sleep(300);
      }
      return 'unknown';
    },
    close() {
      restarts.forEach(clearTimeout);
      vms.forEach(({ child, proxy }) => {
        child?.kill('SIGKILL');
        proxy.close();
      });
      store.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** @returns a route for `op/config` */
export function createRoute(name, fields = {}) {
  return {
    name,
    hostname: ROUTE_HOST,
    prefix: `/${name}/`,
    service: 'ledger',
    priority: 2,
    'max-attempts': 3,
    stretch: 2.2,
    'target-completion-ms': 1_200,
    'timeout-ms': 3_000,
    ...fields,
  };
}

/** @returns value of `op/config` with one service and one tenant */
export function createConfiguration(routes, maximum = { cpu: 0, 'mem-mb': 0, gpu: 0 }) {
  return {
    version: 5,
    routes,
    services: [{ name: 'ledger', 'enforces-capacity': false }],
    limits: { 'max-body-bytes': 262_144 },
    tenants: [{ name: 'mill', 'api-keys': ['key-1'], weight: 1, 'max-count': maximum }],
  };
}

/**
 * Runs a case within its time limit and ends the process with its status: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 *
 * @param run called with the record and whether there is a disruption; resolves to the text of what broke the rule, or
 *   to null
 * @param limitMs time after which the case counts as not run
 */
export async function runCase(folder, run, limitMs = 115_000) {
  const record = createRecord(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  const cleanups = [];
  let status = 2;
  function cleanUp() {
    cleanups.splice(0).forEach((clean) => clean());
  }
  const limit = setTimeout(() => {
    record.write('the case took too long');
    cleanUp();
    process.exit(2);
  }, limitMs);
  ['SIGINT', 'SIGTERM'].forEach((name) =>
    process.once(name, () => {
      cleanUp();
      process.exit(2);
    }),
  );
  try {
    record.write(hasTrouble ? 'with the disruption' : 'TROUBLE=0: without the disruption');
    const broken = await run({ record, hasTrouble, onEnd: (clean) => cleanups.push(clean) });
    status = broken === null ? 0 : 1;
    record.write(broken === null ? 'the rule held' : `the rule is broken: ${broken}`);
  } catch (error) {
    record.write(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  cleanUp();
  await sleep(300);
  process.exit(status);
}
