/** A run is suspected as a straggler once it has taken this multiple of the expected time. */
const STRAGGLER_FACTOR = 1.3;
/** A run is moved if it would end elsewhere within this fraction of its remaining time. */
const MOVE_TIME_FRACTION = 0.5;
/** Time to stop a run and start it elsewhere. */
const MOVE_OVERHEAD_MILLISECONDS = 400;
/** The rate of progress can't be computed from reports closer together than either of these. */
const MINIMUM_REPORT_INTERVAL_MILLISECONDS = 250;
/** As a fraction of the expected run time. */
const MINIMUM_REPORT_INTERVAL_FRACTION = 0.1;
const COMPLETE_PERCENT = 100;
/** With at least this many runs, the runs of a step are compared with each other. */
const MINIMUM_COMPARED_RUNS = 3;

/** Progress of a run as its endpoint reported it. */
export interface ProgressReport {
  /** Time since the start of the run, in milliseconds. */
  readonly ageMilliseconds: number;
  readonly percent: number;
}

/** Age and progress of a run. */
export interface RunProgress {
  /** Time since the start of the run, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Time that such a run usually takes, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** At most two reports, the earlier first; see {@link appendReport}. */
  readonly reports: readonly ProgressReport[];
  /** Whether the run continues from a checkpoint, and so keeps its progress, when it is moved. */
  readonly hasCheckpoint: boolean;
}

/** What to do about a run: nothing, request a progress report, or stop it and start it elsewhere. */
export type StragglerVerdict = 'wait' | 'look' | 'move';

function minimumReportIntervalMilliseconds(expectedMilliseconds: number): number {
  return Math.max(
    MINIMUM_REPORT_INTERVAL_MILLISECONDS,
    MINIMUM_REPORT_INTERVAL_FRACTION * expectedMilliseconds,
  );
}

/**
 * Adds a report to those of a run and keeps the two from which the current rate of progress is computed. If the
 * last report is too close to the new one, the new one replaces it.
 *
 * @param reports at most two reports, in the order of time
 * @param report a later report
 * @param expectedMilliseconds time that such a run usually takes, in milliseconds
 * @returns at most two reports
 */
export function appendReport(
  reports: readonly ProgressReport[],
  report: ProgressReport,
  expectedMilliseconds: number,
): ProgressReport[] {
  const last = reports.at(-1);
  if (!last) return [report];
  const isApart =
    report.ageMilliseconds - last.ageMilliseconds >=
    minimumReportIntervalMilliseconds(expectedMilliseconds);
  return [isApart ? last : reports[0]!, report];
}

/**
 * Projects the remaining time of a run on its endpoint.
 *
 * @param run age, expected time and progress reports
 * @returns remaining time in milliseconds; Infinity for a run without progress, null with too few reports
 */
export function projectRemainingMilliseconds(run: RunProgress): number | null {
  const [earlier, last] = run.reports;
  if (!earlier || !last) return null;
  const interval = last.ageMilliseconds - earlier.ageMilliseconds;
  if (interval < minimumReportIntervalMilliseconds(run.expectedMilliseconds)) return null;
  if (last.percent >= COMPLETE_PERCENT) return 0;
  const rate = Math.max(0, last.percent - earlier.percent) / interval;
  return (COMPLETE_PERCENT - last.percent) / rate;
}

/**
 * Chooses the run time with which the runs of a step are compared. A prediction can be far off for a whole step,
 * so the median of the runs of the step is preferred.
 *
 * @param totals known run times of the step in milliseconds: measured, or projected from progress
 * @param runs number of runs of the step that have started
 * @param predictedMilliseconds run time predicted from earlier runs of the same kind
 * @returns usual run time in milliseconds; null while fewer than half of the run times are known
 */
export function chooseReferenceMilliseconds(
  totals: readonly number[],
  runs: number,
  predictedMilliseconds: number,
): number | null {
  if (runs < MINIMUM_COMPARED_RUNS) return predictedMilliseconds;
  if (2 * totals.length < runs) return null;
  const median = [...totals].sort((left, right) => left - right)[Math.floor(totals.length / 2)]!;
  return Number.isFinite(median) ? median : predictedMilliseconds;
}

/**
 * Decides whether a run continues on its endpoint. It detects tasks that make no progress, or take several times
 * as long as usual, on a few otherwise healthy endpoints while their job waits for its last task.
 *
 * @param run age, expected time and progress reports
 */
export function judgeStraggler(run: RunProgress): StragglerVerdict {
  const { ageMilliseconds, expectedMilliseconds, reports, hasCheckpoint } = run;
  if (ageMilliseconds < STRAGGLER_FACTOR * expectedMilliseconds) return 'wait';
  const last = reports.at(-1);
  const remaining = projectRemainingMilliseconds(run);
  const isStale =
    !last ||
    ageMilliseconds - last.ageMilliseconds >=
      minimumReportIntervalMilliseconds(expectedMilliseconds);
  // A run may have progressed since its last report and be about to end.
  if (isStale) return 'look';
  if (remaining === null) return 'wait';
  const fractionToRun = hasCheckpoint ? 1 - last.percent / COMPLETE_PERCENT : 1;
  const elsewhereMilliseconds = MOVE_OVERHEAD_MILLISECONDS + fractionToRun * expectedMilliseconds;
  return elsewhereMilliseconds < MOVE_TIME_FRACTION * remaining ? 'move' : 'wait';
}
