/** A run is looked at once it has taken this multiple of the expected time. */
const STRAGGLER_FACTOR = 1.3;
/** A run is moved if it would be done elsewhere in less than this part of its remaining time. */
const MOVE_TIME_FRACTION = 0.5;
/** Time for stopping a run and starting it elsewhere, in milliseconds. */
const MOVE_OVERHEAD_MILLISECONDS = 400;
/** Reports closer together say nothing about the rate, in milliseconds and as a part of the expected time. */
const MINIMUM_REPORT_INTERVAL_MILLISECONDS = 250;
const MINIMUM_REPORT_INTERVAL_FRACTION = 0.1;
const COMPLETE_PERCENT = 100;
/** Runs of a step from which on they are compared with each other. */
const MINIMUM_COMPARED_RUNS = 3;

/** Progress of a run as its endpoint reported it. */
export interface ProgressReport {
  /** Time since the start of the run, in milliseconds. */
  readonly ageMilliseconds: number;
  readonly percent: number;
}

/** A run that takes long. */
export interface RunProgress {
  /** Time since its start, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Time that such a run usually takes, in milliseconds. */
  readonly expectedMilliseconds: number;
  /** Reports in the order of time; two are enough. */
  readonly reports: readonly ProgressReport[];
  /** Whether a move keeps the progress. */
  readonly hasCheckpoint: boolean;
}

/** What to do about a run: nothing, read its progress, or stop it and start it elsewhere. */
export type StragglerVerdict = 'wait' | 'look' | 'move';

function minimumReportIntervalMilliseconds(expectedMilliseconds: number): number {
  return Math.max(
    MINIMUM_REPORT_INTERVAL_MILLISECONDS,
    MINIMUM_REPORT_INTERVAL_FRACTION * expectedMilliseconds,
  );
}

/**
 * Adds a report to those of a run and keeps the two that tell its present rate.
 *
 * @param reports at most two reports, in the order of time
 * @param report a later one
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
 * Projects how long a run still takes where it is.
 *
 * @param run age, expectation and progress
 * @returns remaining time in milliseconds; Infinity for a run that stands still, null if it is not known
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
 * Chooses what the runs of a step are compared with. Estimates can be far off for a whole step, so that the
 * other runs of the step tell more than these.
 *
 * @param totals times of the runs of the step that are known: taken, or projected by their progress
 * @param runs number of runs of the step that have started
 * @param predictedMilliseconds time by what is known of the kind of work
 * @returns usual time of a run in milliseconds; null while too few are known
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
 * Tells whether a run is to go on where it is. The load that it answers: tasks that stand still, or take
 * several times as long, on a few endpoints that are healthy otherwise, while a job waits for its last task.
 *
 * @param run age, expectation and progress
 * @returns verdict
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
  // A run that has progressed since its last report may be about to end.
  if (isStale) return 'look';
  if (remaining === null) return 'wait';
  const lostPart = hasCheckpoint ? 1 - last.percent / COMPLETE_PERCENT : 1;
  const elsewhere = MOVE_OVERHEAD_MILLISECONDS + lostPart * expectedMilliseconds;
  return elsewhere < MOVE_TIME_FRACTION * remaining ? 'move' : 'wait';
}
