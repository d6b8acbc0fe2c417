import { createSystemClock, sleep } from '@chicorybend/common';

import type { Example } from '../types/cellPlan.js';
import type { Observations } from '../types/observation.js';
import { runChecks } from './checkers.js';
import type { CheckResult } from './checkers.js';
import { runDurableWork, runInteractiveWork } from './demoWork.js';
import type { DemoWorkOptions } from './demoWork.js';
import { createExampleQueues } from './exampleQueues.js';
import { startLocalCell } from './localCell.js';
import type { LocalCell } from './localCell.js';
import type { LocalDaemon } from './localDaemon.js';
import { applyFirstConfiguration, createOperatorCaller } from './operatorCaller.js';
import { summarize } from './summary.js';
import type { SummaryRow } from './summary.js';
import { createWorkCaller } from './workCaller.js';
import { createWorkload } from './workload.js';

/** Options of a demo. */
export interface DemoOptions {
  readonly example: Example;
  /** Program of the daemons; the built daemon by default. */
  readonly program?: string;
  /** Receives one line of progress output at a time. */
  readonly report: (line: string) => void;
}

/** Outcome of a demo. */
export interface DemoOutcome {
  readonly rows: readonly SummaryRow[];
  readonly checks: readonly CheckResult[];
  /** Failures found by the demo itself rather than by a check. */
  readonly failures: readonly string[];
}

const CONFIGURATION_LIMIT_MILLISECONDS = 30_000;
const DURABLE_LIMIT_MILLISECONDS = 30_000;
const DRAIN_LIMIT_MILLISECONDS = 32_000;
const PLANNED_STOP_DELAY_MILLISECONDS = 200;
const PLANNED_STOP_WORK_SCALE = 0.5;
const WRONG_KEY = 'cb_wrong_0000000000000000000000000000000000000000000000000000000000000000';

/**
 * Applies the example's configuration through the operators' interface.
 *
 * @throws Error if the plan has no daemon or the configuration is not applied within 30 s
 */
export async function applyExample(cell: LocalCell, example: Example): Promise<void> {
  const [daemon] = cell.daemons;
  if (!daemon) throw new Error('the plan of the cell has no daemon');
  const operator = createOperatorCaller('bootstrap', cell.operatorToken);
  try {
    await applyFirstConfiguration(
      operator,
      daemon.apiAddress,
      example.configuration,
      CONFIGURATION_LIMIT_MILLISECONDS,
    );
  } finally {
    await operator.close();
  }
}

/** Picks daemons round-robin and skips those that are being stopped, as a load balancer does. */
function createRoundRobin(daemons: readonly LocalDaemon[]) {
  const excludedIds = new Set<string>();
  let next = 0;
  return {
    exclude: (daemon: LocalDaemon) => excludedIds.add(daemon.id),
    pick(): LocalDaemon {
      const usable = daemons.filter((daemon) => !excludedIds.has(daemon.id));
      next += 1;
      const daemon = usable[next % usable.length];
      if (!daemon) throw new Error('all daemons were excluded from the round-robin');
      return daemon;
    },
  };
}

/** Shuts down one daemon gracefully while requests run. */
async function stopOneDaemon(
  cell: LocalCell,
  rotation: ReturnType<typeof createRoundRobin>,
  options: DemoWorkOptions,
): Promise<string[]> {
  const daemon = cell.daemons.at(-1);
  if (!daemon) return [];
  const work = runInteractiveWork(options, PLANNED_STOP_WORK_SCALE);
  await sleep(createSystemClock(), PLANNED_STOP_DELAY_MILLISECONDS);
  rotation.exclude(daemon);
  const [exit] = await Promise.all([daemon.terminate(DRAIN_LIMIT_MILLISECONDS), work]);
  if (exit.code === 0) return [];
  return [`${daemon.id} exited with ${JSON.stringify(exit)} instead of code 0 at its planned stop`];
}

async function checkWrongKeyIsRefused(options: DemoWorkOptions): Promise<string[]> {
  const [submission] = options.queues.interactive();
  if (!submission) return ['the example has no keyed interactive queue'];
  const observation = await options.workload.sendRequest({
    ...submission,
    keyText: WRONG_KEY,
    isIdempotent: true,
    serviceMilliseconds: 1,
    deadlineMilliseconds: 1_000,
  });
  const outcome = observation.outcomes.at(-1);
  const isRefused = outcome?.kind === 'failed' && outcome.code === 'wrong-key';
  return isRefused
    ? []
    : [`a request with a wrong key was not refused as wrong-key: ${JSON.stringify(outcome)}`];
}

/** Without faults, all requests and jobs must be done except for the one request with the wrong key. */
function describeUnfinishedWork(rows: readonly SummaryRow[]): string[] {
  const unfinishedCount = rows.reduce((sum, row) => sum + row.submitted - row.done, 0) - 1;
  return unfinishedCount === 0
    ? []
    : [
        `${unfinishedCount} requests and jobs were not done, apart from the request with the wrong key`,
      ];
}

async function runAllWork(
  cell: LocalCell,
  options: DemoOptions,
  appliedAt: number,
): Promise<{ observations: Observations; failures: string[] }> {
  const caller = createWorkCaller();
  const rotation = createRoundRobin(cell.daemons);
  const { record } = cell.platform;
  const workload = createWorkload({ caller, pickTarget: rotation.pick, now: record.now });
  const queues = createExampleQueues(options.example);
  const work: DemoWorkOptions = { workload, queues, record };
  options.report('running interactive requests, batches, gangs and services');
  await Promise.all([runInteractiveWork(work), runDurableWork(work, DURABLE_LIMIT_MILLISECONDS)]);
  const wrongKey = await checkWrongKeyIsRefused(work);
  options.report('stopping one daemon while requests run');
  const stop = await stopOneDaemon(cell, rotation, work);
  await caller.close();
  const observations = workload.observations(queues.limitsFrom(appliedAt));
  return { observations, failures: [...wrongKey, ...stop] };
}

/**
 * Runs interactive requests, batches, gangs and services on a local cell, then shuts down one daemon gracefully while
 * further requests run, and runs all checks on the record.
 *
 * @throws if the cell cannot be started
 */
export async function runDemo(options: DemoOptions): Promise<DemoOutcome> {
  const { example, report } = options;
  report(`starting a cell of ${example.plan.daemons.length} daemons`);
  const cell = await startLocalCell({
    plan: example.plan,
    ...(options.program === undefined ? {} : { program: options.program }),
    prepare: async (started) => {
      report(`applying the configuration of ${example.plan.name}`);
      await applyExample(started, example);
    },
  });
  let hasPassed = false;
  try {
    const { observations, failures } = await runAllWork(cell, options, 0);
    const entries = cell.platform.record.entries();
    const rows = summarize(entries, observations);
    const checks = runChecks(entries, observations);
    const allFailures = [...failures, ...describeUnfinishedWork(rows)];
    hasPassed = allFailures.length === 0 && checks.every((check) => check.violations.length === 0);
    return { rows, checks, failures: allFailures };
  } finally {
    if (!hasPassed) report(`output of the daemons: ${cell.outputFolder}`);
    await cell.close(!hasPassed);
  }
}
