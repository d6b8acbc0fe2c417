// A small deployment on loopback: the program of the deploy file in processes of its own, beside stand-ins.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as openRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { Worker } from 'node:worker_threads';

import { HOST } from './serve.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const VALUE_BYTES = 1_048_576;
const TTL_MIN_MS = 1_000;
const HEARTBEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const CALL_TIMEOUT_MS = 3_000;
const ROUTE_HOST = 'shop.example';
const SERVICE = 'ledger';
const MINIONS_PER_THREAD = 4;
const MINIONS_OF_RACK = 6;
/** The platform starts a process again this long after its end. */
const RESTART_DELAY_MS = 500;

export const EXIT = { held: 0, broken: 1, cannotRun: 2 };

export const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Waits for a condition. @returns whether it held before the limit */
export async function waitFor(condition, limitMs) {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await condition()) return true;
    await pause(20);
  }
  return false;
}

async function findPort() {
  const server = createTcpServer();
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Calls a node as a requester does. @returns status 0 if there was no answer */
function call(address, method, path, body, key) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = openRequest(
      {
        host,
        port,
        method,
        path,
        headers: { Host: ROUTE_HOST, Credential: key, 'Deadline-Ms': String(CALL_TIMEOUT_MS) },
      },
      (response) => {
        let text = '';
        response.on('data', (chunk) => {
          text += chunk;
        });
        response.on('error', () => resolve({ status: 0, body: {} }));
        response.on('end', () =>
          resolve({ status: response.statusCode, body: text ? JSON.parse(text) : {} }),
        );
      },
    );
    const timer = setTimeout(() => outgoing.destroy(new Error('no answer')), CALL_TIMEOUT_MS);
    outgoing.on('close', () => clearTimeout(timer));
    outgoing.on('error', () => resolve({ status: 0, body: {} }));
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** Writes a settings file with the fields and the bounds of the platform's pages. */
async function writeSettings(folder, name, storeAddress) {
  const [peer, metrics, front, ready, control] = [
    await findPort(),
    await findPort(),
    await findPort(),
    await findPort(),
    await findPort(),
  ];
  const file = join(folder, `${name}.toml`);
  const text = `node = "${name}"
role = "scheduler"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "${HOST}"
zone = "tw-north-a"
region = "tw-north"
internal-ports = [${peer}, ${metrics}]
seeds = ["${HOST}:${control}"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = ${HEARTBEAT_MS}
orders = "invocation"
[listen-addrs]
front = "${HOST}:${front}"
ready = "${HOST}:${ready}"
control = "${HOST}:${control}"
[limits]
cpu-share = 0.675
cores = 1
memory-mb = 350
max-fds = 4100
[bounds]
contact-ms = 3000
ack-ms = 4000
grace-s = 6
hold-max-ms = ${HOLD_MAX_MS}
stop-ms = 200
cancel_ms = 3000
visible_ms = 3000
status_s = 120
notice-ms = 4500
[platform]
address = "${storeAddress}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = ${VALUE_BYTES}
ttl-min-ms = ${TTL_MIN_MS}
`;
  writeFileSync(file, text);
  return { file, metrics, front: `${HOST}:${front}`, ready: `${HOST}:${ready}` };
}

/** Starts the store in a thread of its own. */
async function startStore() {
  const worker = new Worker(new URL('./storeProcess.mjs', import.meta.url), {
    workerData: { valueBytes: VALUE_BYTES, ttlMinMs: TTL_MIN_MS },
  });
  const nextMessage = () =>
    new Promise((resolve) => {
      worker.once('message', resolve);
    });
  const { port } = await nextMessage();
  return {
    port,
    /** Writes as the operator or a minion does. */
    put: (key, value) => worker.postMessage({ kind: 'put', key, value }),
    remove: (key) => worker.postMessage({ kind: 'remove', key }),
    /** @returns text of a value; null if there is none */
    async read(key) {
      worker.postMessage({ kind: 'read', key });
      return (await nextMessage()).value;
    },
    async counts() {
      worker.postMessage({ kind: 'counts' });
      return (await nextMessage()).counts;
    },
    close: () => worker.terminate(),
  };
}

/** @returns program, arguments and environment of the role in the deploy file */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]+)"/m.exec(text)[1].split(' ');
  return { command: run[0], args: run.slice(1) };
}

/** Record of what was sent, answered and run. */
function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  return {
    add(text) {
      lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)} ${text}`);
    },
    write() {
      writeFileSync(file, `${lines.join('\n')}\n`);
    },
  };
}

/**
 * Starts a deployment and waits until it is ready.
 *
 * @param folder folder of the case, for its record
 * @param nodes number of scheduler processes
 * @param minions number of minions
 * @param capacity room of a minion
 * @param tenants tenants of the configuration
 */
export async function startDeployment({
  folder,
  nodes,
  minions: minionCount,
  capacity,
  tenants,
  isRunRecorded = () => true,
}) {
  const record = createRecord(join(folder, 'record.txt'));
  const temporary = mkdtempSync(join(tmpdir(), 'chicorybend-case-'));
  const workers = [];
  const children = [];
  const timers = [];
  const runs = [];
  const openRuns = new Map();
  const exits = [];
  let isStopping = false;
  let restartDelay = RESTART_DELAY_MS;
  process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));
  process.once('SIGTERM', () => process.exit(EXIT.cannotRun));

  function onEvent({ event, minion, task, run, kind, time }) {
    // The threads share the wall clock.
    const at = performance.now() - (Date.now() - time);
    const name = `${minion}/${task}/${run}`;
    if (event === 'started') {
      const started = { task, run, minion, startedAt: at, endedAt: null, kind: null };
      runs.push(started);
      openRuns.set(name, started);
    } else {
      Object.assign(openRuns.get(name), { endedAt: at, kind });
      openRuns.delete(name);
    }
    if (isRunRecorded(task)) {
      record.add(`run ${event} ${task} run ${run} on ${minion}${kind ? ` ${kind}` : ''}`);
    }
  }

  const store = await startStore();
  const storeAddress = `${HOST}:${store.port}`;

  const minionIds = Array.from({ length: minionCount }, (_, index) => `m-${index}`);
  for (let first = 0; first < minionCount; first += MINIONS_PER_THREAD) {
    const ids = minionIds.slice(first, first + MINIONS_PER_THREAD);
    const worker = new Worker(new URL('./minionProcess.mjs', import.meta.url), {
      workerData: { ids, holdMaxMs: HOLD_MAX_MS },
    });
    workers.push(worker);
    const started = await new Promise((resolve) => {
      worker.once('message', resolve);
    });
    worker.on('message', ({ events }) => events.forEach(onEvent));
    started.minions.forEach(({ id, born, port }) => {
      const entry = (sequence) => ({
        service: SERVICE,
        address: `${HOST}:${port}`,
        zone: 'tw-north-a',
        version: '1',
        slots: 8,
        state: 'ready',
        'cold-remaining-ms': 0,
        capacity,
        labels: ['a', `r-${Math.floor(minionIds.indexOf(id) / MINIONS_OF_RACK)}`],
        born,
        sequence,
      });
      let sequence = 1;
      store.put(`servers/${id}`, entry(sequence));
      timers.push(
        setInterval(() => {
          sequence += 1;
          store.put(`servers/${id}`, entry(sequence));
        }, HEARTBEAT_MS),
      );
    });
  }

  store.put('op/config', {
    version: 3,
    routes: [
      { name: 'batch', prefix: '/batch/', priority: 2 },
      { name: 'urgent', prefix: '/urgent/', priority: 0 },
    ].map((route) => ({
      ...route,
      hostname: ROUTE_HOST,
      service: SERVICE,
      'max-attempts': 2,
      stretch: 2,
      'target-completion-ms': 1_000,
      public: false,
    })),
    services: [{ name: SERVICE, 'enforces-capacity': false }],
    limits: { 'max-body-bytes': 262_144 },
    tenants,
  });

  const { command, args } = readDeployFile();
  const nodeList = [];
  for (let index = 0; index < nodes; index += 1) {
    nodeList.push(await writeSettings(temporary, `edge-${index + 1}`, storeAddress));
  }

  function startNode(index) {
    const { file, metrics } = nodeList[index];
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: temporary,
        CHICORYBEND_SETTINGS: file,
        CHICORYBEND_METRICS_PORT: String(metrics),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const name = `edge-${index + 1}`;
    [child.stdout, child.stderr].forEach((stream) =>
      stream.setEncoding('utf8').on('data', (text) => {
        text.split('\n').forEach((line) => {
          if (/"level":"(WARN|ERROR)"|state recovered|Error|heap|FATAL/.test(line)) {
            record.add(`log ${name} ${line.slice(0, 400)}`);
          }
        });
      }),
    );
    child.once('close', (code, signal) => {
      if (isStopping) return;
      exits.push({ name, code, signal, at: performance.now() });
      record.add(`process ${name} ended by itself, code ${code}, signal ${signal}`);
      // The platform starts a process again after a short delay.
      timers.push(setTimeout(() => startNode(index), restartDelay));
    });
    children[index] = child;
  }
  nodeList.forEach((_, index) => startNode(index));

  async function isReady({ ready }) {
    return (await call(ready, 'GET', '/ready', undefined, '')).status === 200;
  }

  const deployment = {
    record,
    store,
    runs,
    exits,
    children,
    /** Sends a call of a requester, and notes it with its answer. */
    async send(node, method, id, body, key, queue = 'batch') {
      const answer = await call(nodeList[node].front, method, `/${queue}/${id}`, body, key);
      const text = body === undefined ? '' : ` ${JSON.stringify(body).slice(0, 300)}`;
      record.add(
        `${method} /${queue}/${id} at edge-${node + 1}${text} -> ${answer.status} ${JSON.stringify(answer.body)}`,
      );
      return answer;
    },
    /** Hands a job in, again at the next node after no answer, a 502 or a 504, as requesters do. */
    async submit(id, body, key, attempts = 4, queue = 'batch') {
      let answer = { status: 0, body: {} };
      for (let attempt = 0; attempt < attempts; attempt += 1) {
        answer = await deployment.send(attempt % nodes, 'POST', id, body, key, queue);
        if (![0, 502, 503, 504].includes(answer.status)) return answer;
        await pause(500);
      }
      return answer;
    },
    /** @returns number of runs now */
    running: () => openRuns.size,
    /** Ends all scheduler processes at once, and starts them again after a time, as at a loss of power. */
    async powerOff(milliseconds) {
      restartDelay = milliseconds;
      record.add(`all processes are killed, and start again after ${milliseconds} ms`);
      children.forEach((child) => child.kill('SIGKILL'));
      await pause(1_000);
      restartDelay = RESTART_DELAY_MS;
    },
    runsOf: (id) => runs.filter(({ task }) => task.startsWith(`${id}.`)),
    /** Ends all that was started. */
    async stop() {
      isStopping = true;
      timers.forEach((timer) => {
        clearInterval(timer);
        clearTimeout(timer);
      });
      const ended = children.map(
        (child) =>
          new Promise((resolve) => {
            if (child.exitCode !== null || child.signalCode !== null) resolve();
            else child.once('close', resolve);
          }),
      );
      children.forEach((child) => child.kill('SIGKILL'));
      await Promise.all(ended);
      await Promise.all(workers.map((worker) => worker.terminate()));
      await store.close();
      rmSync(temporary, { recursive: true, force: true });
      record.write();
    },
  };

  const areReady = await waitFor(
    async () => (await Promise.all(nodeList.map(isReady))).every(Boolean),
    15_000,
  );
  if (!areReady) {
    record.add('the processes were not ready in 15 s');
    await deployment.stop();
    return null;
  }
  return deployment;
}

/**
 * Runs a case and sets the exit code.
 *
 * @param options options of the deployment
 * @param play plays the case; returns what breaks the rule, or null if it held
 */
export async function runCase(options, play) {
  let deployment = null;
  try {
    deployment = await startDeployment(options);
    if (!deployment) {
      process.exitCode = EXIT.cannotRun;
      return;
    }
    const violation = await play(deployment);
    deployment.record.add(violation ? `BROKEN ${violation}` : 'HELD');
    process.exitCode = violation ? EXIT.broken : EXIT.held;
  } catch (error) {
    deployment?.record.add(
      `the case could not run: ${error instanceof Error ? error.stack : String(error)}`,
    );
    process.exitCode = EXIT.cannotRun;
  } finally {
    await deployment?.stop();
  }
}
