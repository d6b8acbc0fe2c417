import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { WORK_PARTS } from './workMeter.js';
import type { WorkPart, WorkReading } from './workMeter.js';

/** Counters of the scheduler, with their help texts. */
export const COUNTERS = {
  jobs_accepted: 'Jobs accepted.',
  jobs_completed: 'Jobs that ended as completed.',
  jobs_failed: 'Jobs that ended as failed.',
  jobs_cancelled: 'Jobs cancelled.',
  jobs_refused_by_late_owner: 'Jobs refused because the owner itself was late.',
  jobs_refused_for_capacity:
    'Jobs refused because work that comes first uses the endpoints for too long.',
  jobs_refused_for_limit: 'Jobs refused because work of their team uses up its limit for too long.',
  calls_refused: 'Calls of callers answered with a failure.',
  refusals_withheld:
    'Refusals that were not passed on because an earlier attempt of the call may have taken effect.',
  starts_sent: 'Orders to start a run.',
  starts_refused: 'Orders to start that an endpoint refused.',
  starts_unanswered: 'Orders to start without an answer.',
  starts_outstanding: 'Starts that were given up and may still be executed.',
  unknown_runs_stopped: 'Runs that an endpoint lists and that are not recorded there.',
  starts_withdrawn:
    'Starts not sent because they no longer fitted, or the capacity or the service of the data centre was not known.',
  stops_sent: 'Orders to stop a run.',
  evacuation_reads_failed: 'Reads of the data centres out of service without an answer.',
  capacity_changes: 'Changes of the capacity that an endpoint reports during one incarnation.',
  holds_sent: 'Calls that extend leases on an endpoint.',
  holds_failed: 'Such calls without an answer.',
  holds_withheld: 'Such calls that do not acknowledge all durable ends.',
  ends_relisted: 'Ends listed again because they were not acknowledged.',
  confirmations_stored: 'Writes of jobs because a start was confirmed.',
  calls_discounted:
    'Calls to endpoints whose time-out passed while the owner was late, so that they show no silence.',
  runs_done: 'Runs that ended as done.',
  runs_failed: 'Runs that ended as failed.',
  runs_lost: 'Runs that ended otherwise and may be repeated.',
  run_leases_prolonged:
    'Runs repeated only after the longest lease, because their endpoint may have been replaced.',
  endpoints_lost: 'Endpoints lost with runs, other than by a planned stop.',
  runs_lost_with_endpoint: 'Runs lost with them.',
  losses_withdrawn:
    'Losses of runs withdrawn because their endpoint answered, or the run turned out to be there.',
  losses_confirmed:
    'Losses of runs whose endpoint has crashed, since another one answers in its place.',
  trials_started:
    'Runs started on trial, apart from others, because an endpoint was lost under their task.',
  tasks_given_up: 'Tasks given up because they crash the endpoints that start them.',
  runs_moved: 'Runs stopped because they would end sooner elsewhere.',
  runs_evacuated: 'Runs stopped to be moved out of a data centre that is out of service.',
  commits: 'Groups of changes made durable.',
  commit_keys: 'Keys written by them.',
  advice_calls: 'Calls for eligibility advice.',
  advice_failed: 'Such calls without tickets in time.',
  advice_overdue: 'Such calls that took so long that another VM was asked.',
  advice_lost_at_peer: 'Such calls through another VM that did not answer.',
  rounds: 'Rounds of placement.',
  past_use_rounds: 'Rounds whose order past use has changed.',
  terms: 'Terms of ownership of this process.',
  terms_yielded: 'Terms ended in favour of a VM with more processors or a faster link.',
} as const;

export type CounterName = keyof typeof COUNTERS;

/** Gauges of the owner, with their help texts; 0 where the process is not the owner. */
export const GAUGES = {
  tasks_bound: 'Tasks that earlier starts without an answer bind to one endpoint, or hold.',
  tasks_bound_longest_milliseconds: 'Time since the oldest of these starts was given up.',
  endpoints_unfenced: 'Endpoints that have not answered a hold with their fencing token.',
  endpoints_unfenced_longest_milliseconds: 'Time since the oldest of these tokens was chosen.',
  endpoints_withheld_unconfirmed_run:
    'Endpoints whose ends are not acknowledged because a start has no answer yet.',
  endpoints_withheld_outstanding_start:
    'Endpoints whose ends are not acknowledged because a start that was given up may be executed.',
  endpoints_withheld_longest_milliseconds: 'Time since the last acknowledgement of one of them.',
  endpoints_backoff_refused_start: 'Endpoints without placements after a refused start.',
  endpoints_backoff_unanswered_start: 'Endpoints without placements after an unanswered start.',
  endpoints_backoff_unanswered_stop: 'Endpoints without placements after an unanswered stop.',
  endpoints_backoff_unknown_run:
    'Endpoints without placements while a run that is not recorded there is stopped.',
  ends_unacknowledged: 'Ends that were listed although they had been applied before.',
  shedding_level:
    'What the owner leaves out because it is late: 0 nothing, 1 optional work, 2 new jobs.',
  predicted_wait_milliseconds: 'Predicted wait of the last job that was judged on its arrival.',
} as const;

export type GaugeName = keyof typeof GAUGES;

/** Histograms of the scheduler in milliseconds, with their help texts. */
export const HISTOGRAMS = {
  commit_milliseconds: 'Time from sending a group of changes until it is durable.',
  accept_milliseconds: 'Time from the arrival of a job at the owner until it is durable.',
  first_start_milliseconds: 'Time from the acceptance of a job until its first run is placed.',
  verdict_milliseconds:
    'Time from the first loss of an endpoint until the task that crashed it is given up.',
  evacuation_age_milliseconds:
    'Age of what is known about data centres out of service when a start is sent.',
  advice_milliseconds: 'Time of a call for eligibility advice.',
  round_milliseconds: 'Duration of a round of placement.',
  round_gap_milliseconds: 'Time from the request of a round until it begins.',
} as const;

export type HistogramName = keyof typeof HISTOGRAMS;

/** Gauges of past use, with their help texts; only an owner that takes past use into account shows them. */
export const PAST_USE_GAUGES = {
  past_use: 'Mean charged share of a team over the past, in which older shares weigh less.',
  past_use_factor: 'Factor on the share of a team in the order of waiting work.',
  past_use_record_age_seconds: 'Age of the stored record of past use.',
} as const;

/** Past use as the owner knows it. */
export interface PastUseView {
  /** Null if there is no durable record. */
  readonly recordAgeMilliseconds: number | null;
  /** The largest use first. */
  readonly teams: readonly {
    readonly team: string;
    readonly use: number;
    readonly factor: number;
  }[];
}

/** Counters and histograms of a process. */
export interface SchedulerMetrics {
  count(name: CounterName, amount?: number): void;
  setGauge(name: GaugeName, value: number): void;
  record(name: HistogramName, milliseconds: number): void;
  /** Adds the time that an owner has worked. */
  addWork(reading: WorkReading): void;
  /** Shows past use as `read` returns it; null shows none. */
  showPastUse(read: (() => PastUseView) | null): void;
  /** @returns all values in the text format of Prometheus */
  expose(): string;
}

/** Maximum number of teams with gauges of their own. */
const MAXIMUM_TEAM_GAUGES = 50;
const MILLISECONDS_PER_SECOND = 1_000;
const QUANTILES = [50, 95, 99];
/** Highest value that histograms resolve, in milliseconds. */
const HIGHEST_MILLISECONDS = 600_000;

function describeHistogram(name: HistogramName, histogram: Histogram): string[] {
  const rows = QUANTILES.map(
    (percent) =>
      `chicorybend_${name}{quantile="${percent / 100}"} ${histogram.getValueAtPercentile(percent)}`,
  );
  return [
    `# HELP chicorybend_${name} ${HISTOGRAMS[name]}`,
    `# TYPE chicorybend_${name} summary`,
    ...rows,
    `chicorybend_${name}_count ${histogram.totalCount}`,
  ];
}

function describeWork(
  milliseconds: ReadonlyMap<WorkPart, number>,
  activeMilliseconds: number,
): string[] {
  const parts = Object.keys(WORK_PARTS) as WorkPart[];
  return [
    '# HELP chicorybend_work_milliseconds_total Time that this process has worked as the owner, by part.',
    '# TYPE chicorybend_work_milliseconds_total counter',
    ...parts.map(
      (part) =>
        `chicorybend_work_milliseconds_total{part="${part}"} ${Math.round(milliseconds.get(part) ?? 0)}`,
    ),
    '# HELP chicorybend_active_milliseconds_total Time as the owner in which it did not wait for an event.',
    '# TYPE chicorybend_active_milliseconds_total counter',
    `chicorybend_active_milliseconds_total ${Math.round(activeMilliseconds)}`,
  ];
}

function escapeLabel(text: string): string {
  return text.replace(/[\\"]/g, '\\$&').replace(/\n/g, '\\n');
}

function describePastUse({ recordAgeMilliseconds, teams }: PastUseView): string[] {
  const shown = teams.slice(0, MAXIMUM_TEAM_GAUGES);
  function describeGauge(name: keyof typeof PAST_USE_GAUGES, rows: readonly string[]): string[] {
    return [
      `# HELP chicorybend_${name} ${PAST_USE_GAUGES[name]}`,
      `# TYPE chicorybend_${name} gauge`,
      ...rows.map((row) => `chicorybend_${name}${row}`),
    ];
  }
  const age = (recordAgeMilliseconds ?? 0) / MILLISECONDS_PER_SECOND;
  return [
    ...describeGauge(
      'past_use',
      shown.map(({ team, use }) => `{team="${escapeLabel(team)}"} ${use}`),
    ),
    ...describeGauge(
      'past_use_factor',
      shown.map(({ team, factor }) => `{team="${escapeLabel(team)}"} ${factor}`),
    ),
    ...(recordAgeMilliseconds === null
      ? []
      : describeGauge('past_use_record_age_seconds', [` ${age}`])),
  ];
}

export function createSchedulerMetrics(): SchedulerMetrics {
  const counters = new Map<CounterName, number>();
  const gauges = new Map<GaugeName, number>();
  const histograms = new Map<HistogramName, Histogram>();
  const workMilliseconds = new Map<WorkPart, number>();
  let activeMilliseconds = 0;
  let readPastUse: (() => PastUseView) | null = null;

  return {
    count(name, amount = 1) {
      counters.set(name, (counters.get(name) ?? 0) + amount);
    },
    setGauge(name, value) {
      gauges.set(name, value);
    },
    record(name, milliseconds) {
      let histogram = histograms.get(name);
      if (!histogram) {
        histogram = build({
          bitBucketSize: 32,
          autoResize: true,
          highestTrackableValue: HIGHEST_MILLISECONDS,
          numberOfSignificantValueDigits: 2,
        });
        histograms.set(name, histogram);
      }
      histogram.recordValue(Math.max(0, Math.round(milliseconds)));
    },
    addWork({ active, parts }) {
      activeMilliseconds += active;
      parts.forEach((milliseconds, part) => {
        workMilliseconds.set(part, (workMilliseconds.get(part) ?? 0) + milliseconds);
      });
    },
    showPastUse(read) {
      readPastUse = read;
    },
    expose() {
      const counterLines = (Object.keys(COUNTERS) as CounterName[]).flatMap((name) => [
        `# HELP chicorybend_${name}_total ${COUNTERS[name]}`,
        `# TYPE chicorybend_${name}_total counter`,
        `chicorybend_${name}_total ${counters.get(name) ?? 0}`,
      ]);
      const gaugeLines = (Object.keys(GAUGES) as GaugeName[]).flatMap((name) => [
        `# HELP chicorybend_${name} ${GAUGES[name]}`,
        `# TYPE chicorybend_${name} gauge`,
        `chicorybend_${name} ${gauges.get(name) ?? 0}`,
      ]);
      const histogramLines = [...histograms].flatMap(([name, histogram]) =>
        describeHistogram(name, histogram),
      );
      const workLines = describeWork(workMilliseconds, activeMilliseconds);
      const useLines = readPastUse ? describePastUse(readPastUse()) : [];
      const lines = [...counterLines, ...gaugeLines, ...histogramLines, ...workLines, ...useLines];
      return `${lines.join('\n')}\n`;
    },
  };
}
