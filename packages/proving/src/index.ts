/** Local cells, API callers, fault injection and checkers that verify the promises of the scheduler. */

/** Checks of the stand-ins' event record against the answers that callers received. */
export { runChecks } from './core/checkers.js';
export type { CheckResult } from './core/checkers.js';
export type {
  CallOutcome,
  JobObservation,
  Observations,
  RequestObservation,
  RevokedKey,
  TeamLimit,
} from './types/observation.js';
export type { Violation, ViolationKind } from './types/violation.js';

/** A local cell: stand-ins run in this process, and each daemon runs in its own process. */
export { startLocalCell } from './core/localCell.js';
export type { LocalCell, LocalCellOptions, Revert } from './core/localCell.js';
export { createLocalDaemon } from './core/localDaemon.js';
export type { DaemonIdentity, LocalDaemon, SharedDaemonSettings } from './core/localDaemon.js';
export { createDaemonProcess, DAEMON_PROGRAM } from './core/daemonProcess.js';
export type { DaemonProcess, ProcessExit } from './core/daemonProcess.js';
export { startPlatform } from './core/platform.js';
export type { Platform } from './core/platform.js';

/** Example configurations under `examples/`. */
export { cellPlanSchema, sampleKeysSchema } from './types/cellPlan.js';
export type { CellPlan, Example, SampleKeys } from './types/cellPlan.js';
export { EXAMPLE_NAMES, readExample } from './utils/readExample.js';
export type { ExampleName } from './utils/readExample.js';

/** HTTP clients for callers and operators. */
export { createHttpCaller } from './core/httpCaller.js';
export type { HttpCall, HttpCaller } from './core/httpCaller.js';
export { createIdempotencyKey, createWorkCaller } from './core/workCaller.js';
export type { SubmitOptions, WorkCaller } from './core/workCaller.js';
export { applyFirstConfiguration, createOperatorCaller } from './core/operatorCaller.js';
export type {
  ApplyAnswer,
  ConfigurationAnswer,
  DaemonRow,
  OperatorCaller,
} from './core/operatorCaller.js';

/** Polling for a condition. */
export { waitUntil } from './utils/waitUntil.js';

/** Generated load and its summary. */
export { createWorkload } from './core/workload.js';
export type { CallTarget, JobHandle, Workload, WorkloadOptions } from './core/workload.js';
export { createExampleQueues } from './core/exampleQueues.js';
export type { ExampleQueues } from './core/exampleQueues.js';
export type { JobPlan, RequestPlan, Submission } from './types/workPlan.js';
export { formatChecks, formatSummary, summarize } from './core/summary.js';
export type { SummaryRow } from './core/summary.js';

/** The demo run. */
export { applyExample, runDemo } from './core/demoRun.js';
export type { DemoOptions, DemoOutcome } from './core/demoRun.js';

/** A local cell that runs until it is stopped. */
export { runCell } from './core/cellRun.js';
export type { CellRunOptions } from './core/cellRun.js';

/** Random faults under load. */
export { runSoak } from './core/soakRun.js';
export type { SoakOptions, SoakOutcome } from './core/soakRun.js';
export { formatCrashSoak, runCrashSoak } from './core/crashSoak.js';
export type { CrashSoakOptions } from './core/crashSoak.js';
export type { CrashSoakOutcome } from './types/crashSoak.js';
export { planProcessSoak } from './core/processSoakPlan.js';
export { checkFinalStates, checkProcessSoak } from './core/processSoakChecks.js';
export { checkProbes, checkRefusedJobs } from './core/configurationSoakChecks.js';
export { measureCalm } from './core/processSoakStandstill.js';
export type { ProcessSoakLimits } from './core/processSoakChecks.js';
export { isDeadlyTask, parseTaskId } from './core/crashSoakJobs.js';
export type {
  AdviceFault,
  AdviceServiceFault,
  LinkCut,
  ProcessExitRecord,
  ConfigurationProbe,
  ConfigurationRecord,
  ConfigurationVersion,
  ProcessSoakFault,
  ProcessSoakJob,
  ProcessSoakJobRecord,
  ProcessSoakPlan,
  ProcessSoakProfile,
  ProcessSoakRecord,
  ProcessSoakViolation,
  ShownState,
  SoakDisturbance,
  SoakQueue,
} from './types/processSoak.js';
export { planFaults } from './core/faultSchedule.js';
export { runFaults } from './core/faultRunner.js';
export { LONG_FAULT_NAMES, planLongFault } from './core/longFaults.js';
export type { LongFault, LongFaultName, LongFaultTimes } from './core/longFaults.js';
export type { FaultWindow, WindowExpectations, WindowReport } from './types/faultWindow.js';
export { FAULT_KINDS } from './types/fault.js';
export type { FaultKind, PlannedFault } from './types/fault.js';
export { createRandom } from './utils/random.js';
export type { Random } from './utils/random.js';

/** Benchmarks. */
export { findBenchProducers } from './core/benchProducers.js';
export type { NamedProducer } from './core/benchProducers.js';
export { formatBench, runBench } from './core/benchRun.js';
export { isTimeUnit, judgeRow } from './utils/judgeRow.js';
export type { BenchProducer, JudgedRow } from './types/benchRow.js';
