import type { Example } from '../types/cellPlan.js';
import type { PlannedFault } from '../types/fault.js';
import type { WindowExpectations, WindowReport } from '../types/faultWindow.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { waitUntil } from '../utils/waitUntil.js';
import { runChecks } from './checkers.js';
import type { CheckResult } from './checkers.js';
import { applyExample } from './demoRun.js';
import { createExampleQueues } from './exampleQueues.js';
import { runFaults } from './faultRunner.js';
import { planFaults } from './faultSchedule.js';
import { judgeWindow, reportWindow } from './faultWindow.js';
import { startLocalCell } from './localCell.js';
import type { LocalCell } from './localCell.js';
import type { LocalDaemon } from './localDaemon.js';
import { createOperatorCaller } from './operatorCaller.js';
import type { OperatorCaller } from './operatorCaller.js';
import { runSoakLoad } from './soakLoad.js';
import { runSoakOperator } from './soakOperator.js';
import { startStoreMeter } from './storeMeter.js';
import { summarize } from './summary.js';
import type { SummaryRow } from './summary.js';
import { createWorkCaller } from './workCaller.js';
import { createWorkload } from './workload.js';
import type { Workload } from './workload.js';

/** Options of a soak. */
export interface SoakOptions {
  readonly example: Example;
  readonly seed: number;
  readonly durationMilliseconds: number;
  /** Program of the daemons; the built daemon by default. */
  readonly program?: string;
  /** Receives one line of progress output at a time. */
  readonly report: (line: string) => void;
  /** Faults to apply instead of those that the seed determines. */
  readonly faults?: readonly PlannedFault[];
  /** Minimum service during and after the first fault; not judged if absent. */
  readonly expectations?: WindowExpectations;
}

/** Outcome of a soak. */
export interface SoakOutcome {
  readonly faults: readonly PlannedFault[];
  readonly rows: readonly SummaryRow[];
  readonly checks: readonly CheckResult[];
  /** Failures found by the soak itself rather than by a check. */
  readonly failures: readonly string[];
  /** Report on the time of the first fault; null without expectations. */
  readonly window: WindowReport | null;
}

const READY_LIMIT_MILLISECONDS = 60_000;
const JOBS_LIMIT_MILLISECONDS = 120_000;
const OWNERS_LIMIT_MILLISECONDS = 30_000;
const READINESS_POLL_MILLISECONDS = 500;
// Separate random sequences, so that the load does not depend on the number of faults.
const LOAD_SEED_OFFSET = 1_000_003;
const TARGET_SEED_OFFSET = 2_000_003;
const OPERATOR_SEED_OFFSET = 3_000_017;

/** Picks a random daemon among those ready at the last poll, or among all if none was, as a load balancer does. */
function createLoadBalancer(daemons: readonly LocalDaemon[], random: Random) {
  let ready: readonly LocalDaemon[] = daemons;
  async function poll(): Promise<void> {
    const states = await Promise.all(daemons.map((daemon) => daemon.isReady()));
    ready = daemons.filter((_, index) => states[index]);
  }
  const timer = setInterval(() => {
    poll().catch(() => {});
  }, READINESS_POLL_MILLISECONDS);
  return {
    pick: (): LocalDaemon => random.pick(ready.length > 0 ? ready : daemons),
    stop: () => clearInterval(timer),
  };
}

/** After the faults, waits until all daemons are ready, cancels the services and waits until all accepted jobs end. */
async function finishAcceptedJobs(cell: LocalCell, workload: Workload): Promise<string[]> {
  const isReady = await cell.waitReady(READY_LIMIT_MILLISECONDS);
  const services = workload.handles().filter(({ plan }) => plan.kind === 'service');
  await Promise.all(services.map((handle) => workload.cancelJob(handle)));
  const hasEnded = await workload.waitForJobs(
    ['batch', 'gang', 'service'],
    JOBS_LIMIT_MILLISECONDS,
  );
  return [
    ...(isReady
      ? []
      : [`not all daemons became ready within ${READY_LIMIT_MILLISECONDS} ms after the faults`]),
    ...(hasEnded
      ? []
      : [`not all accepted jobs ended within ${JOBS_LIMIT_MILLISECONDS} ms after the faults`]),
  ];
}

/** After a long fault, waits until every daemon owns partitions again. */
async function findDaemonsWithoutPartitions(
  cell: LocalCell,
  operator: OperatorCaller,
): Promise<string[]> {
  const address = cell.daemons[0]?.apiAddress ?? '';
  let daemonsWithoutPartitions: readonly string[] = [];
  const doAllOwnPartitions = await waitUntil(async () => {
    const listed = await operator.listDaemons(address);
    const rows = listed.kind === 'answered' ? listed.value.rows : [];
    const owners = rows.filter(({ partitions }) => (partitions?.length ?? 0) > 0);
    const ownerIds = owners.map(({ daemonId }) => daemonId);
    daemonsWithoutPartitions = cell.daemons
      .map(({ id }) => id)
      .filter((id) => !ownerIds.includes(id));
    return daemonsWithoutPartitions.length === 0;
  }, OWNERS_LIMIT_MILLISECONDS);
  return doAllOwnPartitions
    ? []
    : [
        `${daemonsWithoutPartitions.join(', ')} own no partition ${OWNERS_LIMIT_MILLISECONDS} ms after the fault`,
      ];
}

/** Reports on the time of the first fault and compares it with the expectations, if there are any. */
function judgeFirstFault(
  { expectations }: SoakOptions,
  [first]: readonly PlannedFault[],
  report: (from: number, to: number) => WindowReport,
): { readonly report: WindowReport | null; readonly failures: readonly string[] } {
  if (!expectations || !first) return { report: null, failures: [] };
  const window = report(first.at, first.at + first.durationMilliseconds);
  return { report: window, failures: judgeWindow(window, expectations) };
}

async function runUnderFaults(
  cell: LocalCell,
  options: SoakOptions,
  faults: readonly PlannedFault[],
): Promise<Omit<SoakOutcome, 'faults'>> {
  const { example, seed, durationMilliseconds, report } = options;
  const caller = createWorkCaller();
  const balancer = createLoadBalancer(cell.daemons, createRandom(seed + TARGET_SEED_OFFSET));
  const { record } = cell.platform;
  const workload = createWorkload({ caller, pickTarget: balancer.pick, now: record.now });
  const queues = createExampleQueues(example);
  const random = createRandom(seed + LOAD_SEED_OFFSET);
  const operator = createOperatorCaller('bootstrap', cell.operatorToken);
  const operatorOptions = {
    operator,
    workload,
    pickTarget: balancer.pick,
    random: createRandom(seed + OPERATOR_SEED_OFFSET),
    submissions: queues.interactive(),
    limits: queues.limitsFrom(0),
    now: record.now,
  };
  const meter = startStoreMeter(cell.platform.store, record.now);
  const startedAt = record.now();
  const [applied, operatorChanges] = await Promise.all([
    runFaults(cell, faults),
    runSoakOperator(operatorOptions, durationMilliseconds),
    runSoakLoad({ workload, queues, random }, durationMilliseconds),
  ]);
  report(
    `applied ${applied.length} of ${faults.length} faults and ${operatorChanges.applied} configuration changes`,
  );
  const failures = [
    ...(await finishAcceptedJobs(cell, workload)),
    ...(options.expectations ? await findDaemonsWithoutPartitions(cell, operator) : []),
  ];
  await operator.close();
  meter.stop();
  balancer.stop();
  await caller.close();
  const observations = workload.observations(operatorChanges.limits, operatorChanges.revokedKeys);
  const entries = record.entries();
  const window = judgeFirstFault(options, faults, (from, to) =>
    reportWindow(entries, observations, meter.samples(), {
      from: startedAt + from,
      to: startedAt + to,
    }),
  );
  return {
    rows: summarize(entries, observations),
    checks: runChecks(entries, observations),
    failures: [...failures, ...window.failures],
    window: window.report,
  };
}

/**
 * Runs a mixed load on a local cell under faults, and runs all checks on the record. The seed determines the load and,
 * unless `options.faults` is given, the faults.
 *
 * @throws if the cell cannot be started
 */
export async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const { example, seed, durationMilliseconds, report } = options;
  const faults = options.faults ?? planFaults(createRandom(seed), durationMilliseconds);
  const cell = await startLocalCell({
    plan: example.plan,
    ...(options.program === undefined ? {} : { program: options.program }),
    prepare: (started) => applyExample(started, example),
  });
  let hasPassed = false;
  try {
    const outcome = await runUnderFaults(cell, options, faults);
    hasPassed =
      outcome.failures.length === 0 &&
      outcome.checks.every(({ violations }) => violations.length === 0);
    return { faults, ...outcome };
  } finally {
    if (!hasPassed) report(`output of the daemons: ${cell.outputFolder}`);
    await cell.close(!hasPassed);
  }
}
