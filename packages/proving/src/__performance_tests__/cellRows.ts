import { createSystemClock, partitionOf, sleep } from '@chicorybend/common';
import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { build } from 'hdr-histogram-js';
import { request } from 'undici';

import { applyExample } from '../core/demoRun.js';
import { startLocalCell } from '../core/localCell.js';
import type { LocalCell } from '../core/localCell.js';
import type { LocalDaemon } from '../core/localDaemon.js';
import { readProcessUsage } from '../core/processUsage.js';
import { createWorkCaller } from '../core/workCaller.js';
import { readExample } from '../utils/readExample.js';

/** Target for a configuration change to be in effect, and a revoked key to be refused, on every daemon. */
const PROPAGATION_BOUND_MILLISECONDS = 7_000;
/** Target for the start of urgent work; a takeover of its partition must complete within it. */
const URGENT_START_BOUND_MILLISECONDS = 6_400;
/** Targets for the control overhead of a VM: processor cores and memory. */
const CONTROL_CORES_BOUND = 0.031;
const CONTROL_MEMORY_BOUND_BYTES = 64 * 1_048_576;
const SETTLE_MILLISECONDS = 8_000;
const IDLE_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 20;
const ROUNDS = 10;
const MEDIAN_PERCENTILE = 50;
const TEAM = 'taoyuan-works';
const QUEUE = 'certificates';
const MILLISECONDS_PER_SECOND = 1_000;
const STATUS_UNAUTHORIZED = 401;

const clock = createSystemClock();
const example = readExample('coldline');

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

interface Call {
  readonly daemon: LocalDaemon | undefined;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: object;
}

async function call({ daemon, method, path, headers, body }: Call): Promise<Answer> {
  const response = await request(`${daemon?.apiAddress}${path}`, {
    method,
    headers: { ...headers, ...(body ? { 'content-type': 'application/json' } : {}) },
    ...(body ? { body: JSON.stringify(body) } : {}),
  });
  const answer = (await response.body.json()) as Record<string, unknown>;
  return { status: response.statusCode, body: answer };
}

function createOperatorHeaders(cell: LocalCell): Record<string, string> {
  return { authorization: `Bearer ${cell.operatorToken}`, 'x-operator': 'bootstrap' };
}

async function measureWaitMilliseconds(
  condition: () => Promise<boolean>,
  limit: number,
): Promise<number> {
  const startedAt = clock.monotonicMilliseconds();
  for (;;) {
    if (await condition()) return clock.monotonicMilliseconds() - startedAt;
    if (clock.monotonicMilliseconds() - startedAt > limit) return Infinity;
    await sleep(clock, POLL_MILLISECONDS);
  }
}

function isKeyRefused(daemon: LocalDaemon, keyText: string): Promise<boolean> {
  const headers = { authorization: `Bearer ${keyText}` };
  const path = '/v1/jobs/0-00000000-0000-7000-8000-000000000000';
  return call({ daemon, method: 'GET', path, headers }).then(
    ({ status }) => status === STATUS_UNAUTHORIZED,
  );
}

/** Milliseconds from the operator's call until every daemon refuses the key; Infinity if one still accepts it. */
async function measureRevocation(cell: LocalCell, round: number): Promise<number> {
  const daemon = cell.daemons[round % cell.daemons.length];
  const headers = createOperatorHeaders(cell);
  const path = `/v1/teams/${TEAM}/keys`;
  const issued = await call({ daemon, method: 'POST', path, headers, body: {} });
  const { keyId, key: keyText } = issued.body as { keyId: string; key: string };
  const startedAt = clock.monotonicMilliseconds();
  const revoked = call({ daemon, method: 'DELETE', path: `/v1/keys/${keyId}`, headers });
  const times = await Promise.all(
    cell.daemons.map((other) =>
      measureWaitMilliseconds(
        () => isKeyRefused(other, keyText),
        2 * PROPAGATION_BOUND_MILLISECONDS,
      ),
    ),
  );
  await revoked;
  return times.includes(Infinity) ? Infinity : clock.monotonicMilliseconds() - startedAt;
}

async function isRevisionInEffect(
  cell: LocalCell,
  daemon: LocalDaemon | undefined,
  revision: number,
) {
  const answer = await call({
    daemon,
    method: 'GET',
    path: '/v1/daemons',
    headers: createOperatorHeaders(cell),
  });
  const daemons = answer.body.rows as readonly { configurationRevision?: number }[];
  return daemons.every((view) => (view.configurationRevision ?? 0) >= revision);
}

/** Milliseconds from the operator's call until the change is in effect on every daemon; Infinity if it is not. */
async function measureConfigurationChange(cell: LocalCell, round: number): Promise<number> {
  const daemon = cell.daemons[round % cell.daemons.length];
  const headers = createOperatorHeaders(cell);
  const current = await call({ daemon, method: 'GET', path: '/v1/configuration', headers });
  const sections = current.body.sections as { cell: object };
  const baseRevision = Number(current.body.revision);
  const startedAt = clock.monotonicMilliseconds();
  await call({
    daemon,
    method: 'POST',
    path: '/v1/configuration/apply',
    headers,
    body: {
      baseRevision,
      sections: { cell: { ...sections.cell, maximumQueuedRequests: 200 + round } },
    },
  });
  const waited = await measureWaitMilliseconds(
    () => isRevisionInEffect(cell, daemon, baseRevision + 1),
    2 * PROPAGATION_BOUND_MILLISECONDS,
  );
  return waited === Infinity ? Infinity : clock.monotonicMilliseconds() - startedAt;
}

async function measureRounds(
  name: string,
  measure: (round: number) => Promise<number>,
): Promise<BenchRow[]> {
  const histogram = build();
  let longest = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const milliseconds = await measure(round);
    longest = Math.max(longest, milliseconds);
    if (Number.isFinite(milliseconds)) histogram.recordValue(Math.ceil(milliseconds));
  }
  const shared = { direction: 'at-most' as const, unit: 'ms' };
  const median = histogram.getValueAtPercentile(MEDIAN_PERCENTILE);
  return [
    { ...shared, name: `${name}, p50`, measured: median, bound: PROPAGATION_BOUND_MILLISECONDS },
    {
      ...shared,
      name: `${name}, longest`,
      measured: longest,
      bound: PROPAGATION_BOUND_MILLISECONDS,
    },
  ];
}

async function fetchPartitions(cell: LocalCell, daemon: LocalDaemon): Promise<readonly number[]> {
  const answer = await call({
    daemon,
    method: 'GET',
    path: '/v1/daemons',
    headers: createOperatorHeaders(cell),
  });
  const daemons = answer.body.rows as { daemonId: string; partitions?: number[] }[];
  return daemons.find(({ daemonId }) => daemonId === daemon.id)?.partitions ?? [];
}

function createIdempotencyKeyFor(partition: number, partitions: number): string {
  for (let index = 0; ; index += 1) {
    const key = `takeover-${partition}-${index}`;
    if (partitionOf(`${TEAM}/${key}`, partitions) === partition) return key;
  }
}

/** Milliseconds from the kill until an urgent task of the partition starts; Infinity if it does not start in time. */
async function measureUrgentStart(
  cell: LocalCell,
  partition: number,
  killedAt: number,
): Promise<number> {
  const caller = createWorkCaller();
  const [, daemon] = cell.daemons;
  const idempotencyKey = createIdempotencyKeyFor(partition, cell.plan.partitions);
  const keyText = example.keys.teams[TEAM] ?? '';
  let jobId: string | null = null;
  await measureWaitMilliseconds(async () => {
    const outcome = await caller.submitJob(
      daemon?.apiAddress ?? '',
      {
        queue: QUEUE,
        kind: 'batch',
        tasks: 1,
        resources: { processors: 1, memoryBytes: 1_048_576, accelerators: 0 },
        idempotent: true,
        urgent: true,
        expectedRunMilliseconds: 100,
        payload: { runMilliseconds: 100 },
      },
      { keyText, idempotencyKey },
    );
    if (outcome.kind === 'answered') jobId = outcome.value.jobId;
    return jobId !== null;
  }, 4 * URGENT_START_BOUND_MILLISECONDS);
  const { record } = cell.platform;
  await measureWaitMilliseconds(
    async () =>
      record.entriesOf('task-started').some(({ taskId }) => taskId.startsWith(`${jobId}/`)),
    URGENT_START_BOUND_MILLISECONDS,
  );
  await caller.close();
  const started = record
    .entriesOf('task-started')
    .find(({ taskId }) => taskId.startsWith(`${jobId}/`));
  return started ? started.at - killedAt : Infinity;
}

async function measureTakeover(cell: LocalCell): Promise<BenchRow[]> {
  const [killedDaemon] = cell.daemons;
  if (!killedDaemon) return [];
  const partitions = await fetchPartitions(cell, killedDaemon);
  const killedAt = cell.platform.record.now();
  await killedDaemon.kill();
  const gaps = await Promise.all(
    partitions.map((partition) => measureUrgentStart(cell, partition, killedAt)),
  );
  return [
    {
      name: 'takeover: from kill -9 to the start of an urgent task of the partition, longest',
      measured: Math.max(...gaps),
      bound: URGENT_START_BOUND_MILLISECONDS,
      direction: 'at-most',
      unit: 'ms',
    },
  ];
}

async function measureIdleCost(cell: LocalCell): Promise<BenchRow[]> {
  const processIds = cell.daemons.flatMap((daemon) => daemon.processId() ?? []);
  const { counts } = cell.platform.store;
  const callsBefore = { ...counts };
  const before = processIds.map(readProcessUsage);
  await sleep(clock, IDLE_MILLISECONDS);
  const after = processIds.map(readProcessUsage);
  const cores = after.map(
    (usage, index) =>
      (usage.processorMilliseconds - (before[index]?.processorMilliseconds ?? 0)) /
      IDLE_MILLISECONDS,
  );
  const seconds = IDLE_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return [
    {
      name: 'idle daemon: part of a core, largest',
      measured: Math.max(...cores),
      bound: CONTROL_CORES_BOUND,
      direction: 'at-most',
      unit: 'cores',
    },
    {
      name: 'idle daemon: private memory, largest',
      measured: Math.max(...after.map(({ privateBytes }) => privateBytes)),
      bound: CONTROL_MEMORY_BOUND_BYTES,
      direction: 'at-most',
      unit: 'bytes',
    },
    {
      name: 'idle cell: store writes',
      measured: (counts.writes - callsBefore.writes) / seconds,
      bound: null,
      direction: 'at-most',
      unit: 'calls/s',
    },
    {
      name: 'idle cell: store reads',
      measured: (counts.reads - callsBefore.reads) / seconds,
      bound: null,
      direction: 'at-most',
      unit: 'calls/s',
    },
  ];
}

/**
 * Measures a local cell of six daemon processes: idle cost, revocation, configuration changes and takeover.
 *
 * @param options size of the run; a short run gives no rows, because all figures depend on the machine
 * @returns rows, with the targets above as bounds
 */
export async function collectCellRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  if (options.isShort) return [];
  const cell = await startLocalCell({
    plan: example.plan,
    prepare: (started) => applyExample(started, example),
  });
  try {
    await sleep(clock, SETTLE_MILLISECONDS);
    return [
      ...(await measureIdleCost(cell)),
      ...(await measureRounds('revoked key refused by every daemon', (round) =>
        measureRevocation(cell, round),
      )),
      ...(await measureRounds('configuration in effect on every daemon', (round) =>
        measureConfigurationChange(cell, round),
      )),
      ...(await measureTakeover(cell)),
    ];
  } finally {
    await cell.close();
  }
}
