import { readFileSync } from 'node:fs';
import { isDeepStrictEqual } from 'node:util';

import { createSystemClock, sleep } from '@chicorybend/common';

import type { Example } from '../types/cellPlan.js';
import { createRandom } from '../utils/random.js';
import { waitUntil } from '../utils/waitUntil.js';
import { runChecks } from './checkers.js';
import type { CheckResult } from './checkers.js';
import { applyExample } from './demoRun.js';
import { createExampleQueues } from './exampleQueues.js';
import { startLocalCell } from './localCell.js';
import type { LocalCell } from './localCell.js';
import type { LocalDaemon } from './localDaemon.js';
import { createOperatorCaller } from './operatorCaller.js';
import type { ConfigurationAnswer, OperatorCaller } from './operatorCaller.js';
import { runSoakLoad } from './soakLoad.js';
import { runSoakOperator } from './soakOperator.js';
import type { OperatorObservations } from './soakOperator.js';
import { summarize } from './summary.js';
import type { SummaryRow } from './summary.js';
import {
  countNames,
  findBadEnds,
  findUnexpectedFailures,
  listFailures,
  readLog,
} from './upgradeFindings.js';
import { createWorkCaller } from './workCaller.js';
import { createWorkload } from './workload.js';
import type { Workload } from './workload.js';

/** A program of the daemons. */
export interface Build {
  readonly name: string;
  readonly program: string;
}

/** Options of an upgrade. */
export interface UpgradeOptions {
  readonly example: Example;
  /** Determines the load. */
  readonly seed: number;
  /** What all daemons run at first and at the end. */
  readonly first: Build;
  /** What all daemons run in between. */
  readonly second: Build;
  /** Tells what goes on. */
  readonly report: (line: string) => void;
}

/** Outcome of an upgrade. */
export interface UpgradeOutcome {
  readonly rows: readonly SummaryRow[];
  readonly checks: readonly CheckResult[];
  /** Reasons for a failure apart from the checks. */
  readonly failures: readonly string[];
}

/** A daemon as it describes itself in `GET /v1/daemons`, as far as it is used here. */
interface DaemonPage {
  readonly rows: readonly {
    readonly daemonId: string;
    readonly state: string;
    readonly partitions?: readonly number[];
    readonly configurationRevision?: number;
    readonly isFresh?: boolean;
  }[];
}

/** A report over all partitions. */
interface PartitionPage {
  readonly rows: readonly unknown[];
  readonly missing: readonly unknown[];
}

interface UpgradeContext {
  readonly cell: LocalCell;
  readonly operator: OperatorCaller;
  readonly report: (line: string) => void;
  /** Daemons that the load balancer leaves out. */
  readonly leaving: Set<LocalDaemon>;
  readonly failures: string[];
  /** Newest revision that any daemon has shown. */
  newestRevision: number;
}

// Bounds a run whose daemons do not come back.
const UPGRADE_LIMIT_MILLISECONDS = 1_200_000;
// As long as the daemon's own deadline for a planned stop, with a margin.
const STOP_LIMIT_MILLISECONDS = 35_000;
/** Time in which a load balancer notices that a daemon is not ready; less than the daemon's grace. */
const NOTICE_MILLISECONDS = 500;
const READY_LIMIT_MILLISECONDS = 60_000;
const WHOLE_LIMIT_MILLISECONDS = 60_000;
const CHANGE_LIMIT_MILLISECONDS = 60_000;
const REQUEST_DEADLINE_MILLISECONDS = 5_000;
const JOBS_LIMIT_MILLISECONDS = 120_000;
// Separate sequences, so that the load does not change with the choice of daemons.
const TARGET_SEED_OFFSET = 2_000_003;
const OPERATOR_SEED_OFFSET = 3_000_017;
const REPORTS = ['/v1/workers', '/v1/jobs', '/v1/usage'];
const clock = createSystemClock();

/** Reads the stored configuration through a daemon; its revision must never go back. */
async function readConfiguration(
  context: UpgradeContext,
  asked: LocalDaemon,
): Promise<ConfigurationAnswer | null> {
  const former = context.newestRevision;
  const outcome = await context.operator.readConfiguration(asked.apiAddress);
  if (outcome.kind !== 'answered') return null;
  const { revision } = outcome.value;
  if (revision < former) {
    context.failures.push(`${asked.id} shows revision ${revision} after ${former}`);
  }
  context.newestRevision = Math.max(context.newestRevision, revision);
  return outcome.value;
}

function describeDaemon(id: string, { rows }: DaemonPage, revision: number): string[] {
  const row = rows.find(({ daemonId }) => daemonId === id);
  if (row?.state !== 'serving') return [`${id} is ${row?.state ?? 'not listed'}`];
  const own = row.configurationRevision ?? 0;
  return [
    ...(row.partitions?.length ? [] : [`${id} owns no partition`]),
    ...(row.isFresh ? [] : [`the configuration of ${id} is not fresh`]),
    ...(own >= revision ? [] : [`${id} is at revision ${own} instead of ${revision}`]),
  ];
}

/** Finds what a daemon does not see of its cell, whose daemons may run the other build. */
async function findGaps(context: UpgradeContext, asked: LocalDaemon): Promise<string[]> {
  const { cell, operator, newestRevision } = context;
  const workers = cell.platform.workers.length;
  const daemons = await operator.read<DaemonPage>(asked.apiAddress, '/v1/daemons');
  const reports = await Promise.all(
    REPORTS.map(async (path) => {
      const page = await operator.read<PartitionPage>(asked.apiAddress, path);
      if (page.kind !== 'answered') return [`${path}: ${JSON.stringify(page)}`];
      const { rows, missing } = page.value;
      const isShort = path === '/v1/workers' && rows.length !== workers;
      return [
        ...missing.map((part) => `${path}: ${JSON.stringify(part)}`),
        ...(isShort ? [`${path}: ${rows.length} of ${workers} workers`] : []),
      ];
    }),
  );
  const states =
    daemons.kind === 'answered'
      ? cell.daemons.flatMap(({ id }) => describeDaemon(id, daemons.value, newestRevision))
      : [`/v1/daemons: ${JSON.stringify(daemons)}`];
  return [...states, ...reports.flat()];
}

/** Waits until daemons see a whole cell: all serve, own partitions and know the newest configuration. */
async function awaitWhole(
  context: UpgradeContext,
  asked: readonly LocalDaemon[],
): Promise<boolean> {
  let gaps: string[] = [];
  const isWhole = await waitUntil(async () => {
    const found = await Promise.all(asked.map((daemon) => findGaps(context, daemon)));
    gaps = found.flatMap((own, index) => own.map((gap) => `${asked[index]?.id} sees: ${gap}`));
    return gaps.length === 0;
  }, WHOLE_LIMIT_MILLISECONDS);
  if (!isWhole) context.failures.push(...gaps);
  return isWhole;
}

/** Stops a daemon as planned and starts another program in its place. */
async function replaceDaemon(
  context: UpgradeContext,
  daemon: LocalDaemon,
  { name, program }: Build,
): Promise<boolean> {
  const { cell, leaving, failures, report } = context;
  const startedAt = clock.monotonicMilliseconds();
  const stopped = daemon.terminate(STOP_LIMIT_MILLISECONDS);
  await sleep(clock, NOTICE_MILLISECONDS);
  leaving.add(daemon);
  await stopped;
  const stoppedAt = clock.monotonicMilliseconds();
  daemon.start(program);
  if (!(await daemon.waitReady(READY_LIMIT_MILLISECONDS))) {
    failures.push(`${daemon.id} did not become ready under ${name}`);
    return false;
  }
  leaving.delete(daemon);
  const neighbour = cell.daemons[(cell.daemons.indexOf(daemon) + 1) % cell.daemons.length];
  await readConfiguration(context, daemon);
  const isWhole = await awaitWhole(context, neighbour ? [daemon, neighbour] : [daemon]);
  const total = Math.round(clock.monotonicMilliseconds() - startedAt);
  const stop = Math.round(stoppedAt - startedAt);
  report(`${daemon.id} runs ${name}: stopped in ${stop} ms, whole after ${total} ms`);
  return isWhole;
}

/** Waits until the operator has changed the configuration while all daemons run one build. */
async function awaitChange(context: UpgradeContext, { name }: Build): Promise<boolean> {
  const { cell, failures, report } = context;
  const [first] = cell.daemons;
  if (!first) throw new Error('the plan has no daemon');
  await readConfiguration(context, first);
  const former = context.newestRevision;
  const isChanged = await waitUntil(async () => {
    await readConfiguration(context, first);
    return context.newestRevision > former;
  }, CHANGE_LIMIT_MILLISECONDS);
  if (!isChanged) failures.push(`the configuration was not changed under ${name}`);
  report(`all daemons run ${name}; the configuration is at revision ${context.newestRevision}`);
  return isChanged && awaitWhole(context, cell.daemons);
}

/** Replaces all daemons one after the other, there and back. A failure ends it, since what follows tells nothing. */
async function replaceAll(
  context: UpgradeContext,
  { first, second }: UpgradeOptions,
): Promise<void> {
  if (!(await awaitChange(context, first))) return;
  for (const build of [second, first]) {
    for (const daemon of context.cell.daemons) {
      if (!(await replaceDaemon(context, daemon, build))) return;
    }
    if (!(await awaitChange(context, build))) return;
  }
}

/** What the operator was told to be applied must be in effect on every daemon, with its history. */
async function checkConfiguration(
  context: UpgradeContext,
  firstRevision: number,
  { applied, revokedKeys }: OperatorObservations,
): Promise<void> {
  const { cell, operator, failures } = context;
  const answers = await Promise.all(
    cell.daemons.map((daemon) => readConfiguration(context, daemon)),
  );
  const [answer] = answers;
  if (!answer || !answers.every((other) => isDeepStrictEqual(other?.sections, answer.sections))) {
    failures.push('the daemons do not show the same configuration');
    return;
  }
  const { revision, sections } = answer;
  if (revision < firstRevision + applied) {
    failures.push(`revision ${revision} after ${firstRevision} and ${applied} changes`);
  }
  const keys = sections.keys as Record<string, { revokedAt?: number } | undefined>;
  revokedKeys
    .filter(({ keyId }) => keys[keyId]?.revokedAt === undefined)
    .forEach(({ keyId }) => failures.push(`the revocation of key ${keyId} is gone`));
  const histories = await Promise.all(
    cell.daemons.map(({ apiAddress }) =>
      operator.read<{ entries: readonly unknown[] }>(apiAddress, '/v1/configuration/history'),
    ),
  );
  histories.forEach((history, index) => {
    const length = history.kind === 'answered' ? history.value.entries.length : 0;
    if (length === revision) return;
    failures.push(`${cell.daemons[index]?.id} shows ${length} of ${revision} changes`);
  });
}

/** A request that does not end within a short time on a busy machine would look like one that a stop interrupted. */
function withLongDeadlines(workload: Workload): Workload {
  return {
    ...workload,
    sendRequest: (plan) =>
      workload.sendRequest({ ...plan, deadlineMilliseconds: REQUEST_DEADLINE_MILLISECONDS }),
  };
}

async function settle(workload: Workload): Promise<string[]> {
  const services = workload.handles().filter(({ plan }) => plan.kind === 'service');
  await Promise.all(services.map((handle) => workload.cancelJob(handle)));
  const hasEnded = await workload.waitForJobs(
    ['batch', 'gang', 'service'],
    JOBS_LIMIT_MILLISECONDS,
  );
  return hasEnded ? [] : ['not all accepted jobs ended'];
}

function checkProcesses({ cell, failures, report }: UpgradeContext): void {
  const refusals = cell.daemons.flatMap(({ id, outputFile, exits, processId }) => {
    const findings = readLog(readFileSync(outputFile, 'utf8'));
    failures.push(...findings.problems.map((line) => `${id} printed: ${line}`));
    const bad = exits().filter(({ code }) => code !== 0);
    failures.push(...bad.map((exit) => `${id} ended with ${JSON.stringify(exit)}`));
    if (processId() === null) failures.push(`${id} does not run`);
    return findings.refusals;
  });
  report(`refused calls between daemons: ${JSON.stringify(countNames(refusals))}`);
}

async function runUnderLoad(cell: LocalCell, options: UpgradeOptions): Promise<UpgradeOutcome> {
  const { example, seed, report } = options;
  const operator = createOperatorCaller('bootstrap', cell.operatorToken);
  const context: UpgradeContext = {
    cell,
    operator,
    report,
    leaving: new Set(),
    failures: [],
    newestRevision: 0,
  };
  const [firstDaemon] = cell.daemons;
  const firstRevision = firstDaemon
    ? ((await readConfiguration(context, firstDaemon))?.revision ?? 0)
    : 0;
  const caller = createWorkCaller();
  const targets = createRandom(seed + TARGET_SEED_OFFSET);
  const pickTarget = (): LocalDaemon =>
    targets.pick(cell.daemons.filter((daemon) => !context.leaving.has(daemon)));
  const { record } = cell.platform;
  const workload = createWorkload({ caller, pickTarget, now: record.now });
  const queues = createExampleQueues(example);
  const changes = {
    operator,
    workload: withLongDeadlines(workload),
    pickTarget,
    random: createRandom(seed + OPERATOR_SEED_OFFSET),
    submissions: queues.interactive(),
    limits: queues.limitsFrom(0),
    now: record.now,
  };
  let isOver = false;
  const load = { workload: withLongDeadlines(workload), queues, random: createRandom(seed) };
  const [operations] = await Promise.all([
    runSoakOperator(changes, UPGRADE_LIMIT_MILLISECONDS, () => isOver),
    runSoakLoad(load, UPGRADE_LIMIT_MILLISECONDS, () => isOver),
    replaceAll(context, options).finally(() => {
      isOver = true;
    }),
  ]);
  report(`applied ${operations.applied} changes; waiting for the end of all jobs`);
  context.failures.push(...(await settle(workload)));
  await checkConfiguration(context, firstRevision, operations);
  checkProcesses(context);
  await operator.close();
  await caller.close();
  const observations = workload.observations(operations.limits, operations.revokedKeys);
  const entries = record.entries();
  const rows = summarize(entries, observations);
  report(`failed calls: ${JSON.stringify(countNames(listFailures(observations)))}`);
  return {
    rows,
    checks: runChecks(entries, observations),
    failures: [
      ...context.failures,
      ...findUnexpectedFailures(observations),
      ...findBadEnds(observations),
      ...rows.filter(({ done }) => done === 0).map(({ kind }) => `${kind}: nothing was done`),
    ],
  };
}

/**
 * Runs a mixed load on a local cell while its daemons are replaced one after the other by those of another build and
 * back, and checks the record.
 *
 * @param options example and builds
 * @returns summary and checks
 */
export async function runUpgrade(options: UpgradeOptions): Promise<UpgradeOutcome> {
  const { example, first, report } = options;
  report(`starting a cell of ${example.plan.daemons.length} daemons of ${first.name}`);
  const cell = await startLocalCell({
    plan: example.plan,
    program: first.program,
    prepare: (started) => applyExample(started, example),
  });
  let isGood = false;
  try {
    const outcome = await runUnderLoad(cell, options);
    isGood =
      outcome.failures.length === 0 &&
      outcome.checks.every(({ violations }) => violations.length === 0);
    return outcome;
  } finally {
    if (!isGood) report(`output of the daemons: ${cell.outputFolder}`);
    await cell.close(!isGood);
  }
}
