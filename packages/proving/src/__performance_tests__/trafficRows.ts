import { existsSync, readFileSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { createSystemClock, sleep } from '@chicorybend/common';
import type { BenchOptions, BenchRow } from '@chicorybend/common';

import { applyExample } from '../core/demoRun.js';
import { startLocalCell } from '../core/localCell.js';
import type { LocalDaemon } from '../core/localDaemon.js';
import type { LocalCell } from '../core/localCell.js';
import { readExample } from '../utils/readExample.js';
import { trafficFilePath } from './trafficFile.js';
import type { TrafficCount } from './trafficFile.js';

/** Target for the control overhead of a VM: bytes sent and received per second. */
const CONTROL_BYTES_BOUND = 4 * 1_024;
const SETTLE_MILLISECONDS = 8_000;
const IDLE_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
const COUNTING_DAEMON = fileURLToPath(new URL('./countingDaemon.js', import.meta.url));

const TRAFFIC_KINDS = ['daemons', 'store', 'VM list', 'workers', 'endpoints'] as const;

/** Kind of peer that a daemon exchanges bytes with. */
type TrafficKind = (typeof TRAFFIC_KINDS)[number];

const clock = createSystemClock();

function hostAndPort(address: string): string {
  return address.replace(/^http:\/\//, '');
}

async function readTrafficCounts(processId: number): Promise<ReadonlyMap<string, TrafficCount>> {
  const file = trafficFilePath(processId);
  rmSync(file, { force: true });
  process.kill(processId, 'SIGUSR2');
  while (!existsSync(file)) await sleep(clock, POLL_MILLISECONDS);
  const counts = JSON.parse(readFileSync(file, 'utf8')) as Record<string, TrafficCount>;
  rmSync(file);
  return new Map(Object.entries(counts));
}

/** Daemons connect to the store through a relay, so the relay's address stands for the store. */
function classifyRemote(cell: LocalCell, remote: string): TrafficKind {
  const { vmList, workers, endpoints } = cell.platform;
  const hasRemoteAddress = ({ address }: { address: string }) => hostAndPort(address) === remote;
  if (hasRemoteAddress(vmList)) return 'VM list';
  if (workers.some(hasRemoteAddress)) return 'workers';
  if (endpoints.some(hasRemoteAddress)) return 'endpoints';
  const isRelay = ({ storeRelay: { host, port } }: LocalDaemon) => `${host}:${port}` === remote;
  if (cell.daemons.some(isRelay)) return 'store';
  return 'daemons';
}

function sumBytesByKind(cell: LocalCell, counts: ReadonlyMap<string, TrafficCount>) {
  const sums = new Map<TrafficKind, number>();
  counts.forEach(({ sent, received }, remote) => {
    const kind = classifyRemote(cell, remote);
    sums.set(kind, (sums.get(kind) ?? 0) + sent + received);
  });
  return sums;
}

async function measureIdleTraffic(cell: LocalCell): Promise<readonly Map<TrafficKind, number>[]> {
  const processIds = cell.daemons.flatMap((daemon) => daemon.processId() ?? []);
  const readBytesByKind = async () =>
    (await Promise.all(processIds.map(readTrafficCounts))).map((counts) =>
      sumBytesByKind(cell, counts),
    );
  const before = await readBytesByKind();
  await sleep(clock, IDLE_MILLISECONDS);
  const after = await readBytesByKind();
  const seconds = IDLE_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return after.map(
    (sums, index) =>
      new Map(
        [...sums].map(([kind, bytes]) => [
          kind,
          (bytes - (before[index]?.get(kind) ?? 0)) / seconds,
        ]),
      ),
  );
}

function sumRates(rates: ReadonlyMap<TrafficKind, number>): number {
  return [...rates.values()].reduce((sum, rate) => sum + rate, 0);
}

/**
 * Measures the bytes that idle daemons of a local cell send and receive, including HTTP headers.
 *
 * @param options size of the run; a short run gives no rows
 * @returns rows; only the total has a bound
 */
export async function collectTrafficRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  if (options.isShort) return [];
  const example = readExample('coldline');
  const cell = await startLocalCell({
    plan: example.plan,
    program: COUNTING_DAEMON,
    prepare: (started) => applyExample(started, example),
  });
  try {
    await sleep(clock, SETTLE_MILLISECONDS);
    const daemons = await measureIdleTraffic(cell);
    const shared = { direction: 'at-most' as const, unit: 'bytes/s' };
    return [
      {
        ...shared,
        name: 'idle daemon: bytes sent and received for control, largest',
        measured: Math.max(...daemons.map(sumRates)),
        bound: CONTROL_BYTES_BOUND,
      },
      ...TRAFFIC_KINDS.map((kind) => ({
        ...shared,
        name: `idle daemon: bytes exchanged with ${kind}, largest`,
        measured: Math.max(...daemons.map((rates) => rates.get(kind) ?? 0)),
        bound: null,
      })),
    ];
  } finally {
    await cell.close();
  }
}
