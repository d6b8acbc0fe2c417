// A small deployment on loopback: store, endpoints, and processes of the program of the deploy file.
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';

import { createDaemon } from './daemon.mjs';
import { callHttp } from './http.mjs';
import { startMachine } from './machine.mjs';
import { startStore } from './store.mjs';

const STORE_HOST = '127.0.0.10';
const FIRST_DAEMON = 11;
const FIRST_ENDPOINT = 40;

export function pause(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Waits until a condition holds. @returns whether it did in time */
export async function waitFor(condition, milliseconds, interval = 50) {
  for (let waited = 0; waited < milliseconds; waited += interval) {
    if (await condition()) return true;
    await pause(interval);
  }
  return false;
}

const reservedPorts = new Set();

function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** @returns a free port that was not returned before */
async function freePort(host) {
  for (;;) {
    const port = await findPort(host);
    const name = `${host}:${port}`;
    if (!reservedPorts.has(name)) {
      reservedPorts.add(name);
      return port;
    }
  }
}

/** Starts store and endpoints, and prepares the processes of the system. */
export async function startCell({ record, zones, machines, configuration, storeOptions, bounds }) {
  const folder = mkdtempSync(join(tmpdir(), 'chicorybend-review-'));
  const store = await startStore(STORE_HOST, 0, storeOptions);
  store.write('op/config', configuration);
  record.add({ at: 'operator', event: 'configuration confirmed', version: configuration.version });
  const endpoints = await Promise.all(
    machines.map(async (machine, index) => {
      const host = `127.0.0.${FIRST_ENDPOINT + index}`;
      return startMachine({
        host,
        port: await freePort(host),
        innerPort: await freePort(host),
        holdMaximum: 10_000,
        stopMilliseconds: 150,
        beatMilliseconds: 1_500,
        ...machine,
        store,
        record,
      });
    }),
  );
  const daemons = await Promise.all(
    zones.map(async (zone, index) => {
      const host = `127.0.0.${FIRST_DAEMON + index}`;
      const ports = {
        front: await freePort(host),
        ready: await freePort(host),
        control: await freePort(host),
        peer: await freePort(host),
      };
      return createDaemon({
        name: `edge-${zone}-${index + 1}`,
        host,
        zone,
        ports,
        folder,
        record,
        storeAddress: store.address,
        bounds,
      });
    }),
  );

  async function isReady(daemon) {
    const { status } = await callHttp({
      address: daemon.ready,
      method: 'GET',
      path: '/ready',
      timeout: 1_000,
    });
    return status === 200;
  }

  // The processes end with this one, also if it is ended from outside.
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => process.exit(2)));

  return {
    store,
    endpoints,
    daemons,
    isReady,
    /** Starts the processes. @returns whether all are ready in time */
    async startDaemons() {
      daemons.forEach((daemon) => daemon.start());
      return waitFor(async () => {
        const ready = await Promise.all(daemons.map(isReady));
        return ready.every(Boolean);
      }, 12_000);
    },
    /** Sends a request of a client, and records it with its answer, in one row if it is brief. */
    async call(daemon, method, path, { body, key, limit = 3_000, isBrief = false } = {}) {
      const call = { at: 'client', node: daemon.name, method, path };
      const sentAt = Math.round(record.now());
      if (!isBrief) record.add({ ...call, event: 'sent', ...(body ? { body } : {}) });
      const answer = await callHttp({
        address: daemon.front,
        method,
        path,
        headers: {
          Host: 'jobs.example',
          'Deadline-Ms': String(limit),
          ...(key ? { Credential: key } : {}),
        },
        body,
        timeout: limit,
      });
      record.add({
        ...call,
        event: 'answered',
        ...(isBrief ? { sentAt } : { body: answer.body }),
        status: answer.status,
      });
      return answer;
    },
    async stop() {
      await Promise.all(daemons.map((daemon) => daemon.kill()));
      endpoints.forEach((endpoint) => endpoint.close());
      store.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Configuration with one public queue for each of the names, under `/NAME/`. */
export function createConfiguration(queues) {
  return {
    version: 3,
    routes: Object.entries(queues).map(([name, settings]) => ({
      name,
      hostname: 'jobs.example',
      prefix: `/${name}/`,
      type: 'non_idempotent',
      'timeout-ms': 3_000,
      'target-completion-ms': 1_200,
      priority: 1,
      service: 'ledger',
      'max-attempts': 2,
      stretch: 2,
      public: true,
      ...settings,
    })),
    services: [{ name: 'ledger', 'enforces-capacity': false }],
    limits: { 'max-body-bytes': 262_144 },
    tenants: [],
  };
}

/** Machines of one service, `perRack` of them in each rack. */
export function listMachines(count, perRack) {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${index + 1}`,
    service: 'ledger',
    zone: 'one',
    capacity: { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 },
    labels: ['a', `r${1 + Math.floor(index / perRack)}`],
  }));
}

/** @returns id of a job: 16 hexadecimal digits */
export function jobId(number) {
  return (0xabc000000000n + BigInt(number)).toString(16).padStart(16, '0');
}
