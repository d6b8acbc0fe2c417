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
  starts_sent: 'Orders to start a run.',
  starts_refused: 'Orders to start that an endpoint refused.',
  starts_unanswered: 'Orders to start without an answer.',
  starts_outstanding: 'Starts that were given up and may still be executed.',
  unknown_runs_stopped: 'Runs that an endpoint lists and that are not recorded there.',
  starts_withdrawn:
    'Starts not sent because they no longer fitted, or the capacity was not known any more.',
  stops_sent: 'Orders to stop a run.',
  capacity_changes: 'Changes of the capacity that an endpoint reports during one incarnation.',
  holds_sent: 'Calls that extend leases on an endpoint.',
  holds_failed: 'Such calls without an answer.',
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
  commits: 'Groups of changes made durable.',
  commit_keys: 'Keys written by them.',
  advice_calls: 'Calls for eligibility advice.',
  advice_failed: 'Such calls without tickets in time.',
  advice_overdue: 'Such calls that took so long that another VM was asked.',
  advice_lost_at_peer: 'Such calls through another VM that did not answer.',
  rounds: 'Rounds of placement.',
  terms: 'Terms of ownership of this process.',
  terms_yielded: 'Terms ended in favour of a VM with more processors.',
} as const;

export type CounterName = keyof typeof COUNTERS;

/** Gauges of the scheduler, with their help texts. */
export const GAUGES = {
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
  advice_milliseconds: 'Time of a call for eligibility advice.',
  round_milliseconds: 'Duration of a round of placement.',
  round_gap_milliseconds: 'Time from the request of a round until it begins.',
} as const;

export type HistogramName = keyof typeof HISTOGRAMS;

/** Counters and histograms of a process. */
export interface SchedulerMetrics {
  count(name: CounterName, amount?: number): void;
  setGauge(name: GaugeName, value: number): void;
  record(name: HistogramName, milliseconds: number): void;
  /** Adds the time that an owner has worked. */
  addWork(reading: WorkReading): void;
  /** @returns all values in the text format of Prometheus */
  expose(): string;
}

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

export function createSchedulerMetrics(): SchedulerMetrics {
  const counters = new Map<CounterName, number>();
  const gauges = new Map<GaugeName, number>();
  const histograms = new Map<HistogramName, Histogram>();
  const workMilliseconds = new Map<WorkPart, number>();
  let activeMilliseconds = 0;

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
    expose() {
      const counterLines = (Object.keys(COUNTERS) as CounterName[]).flatMap((name) => [
        `# HELP chicorybend_${name}_total ${COUNTERS[name]}`,
        `# TYPE chicorybend_${name}_total counter`,
        `chicorybend_${name}_total ${counters.get(name) ?? 0}`,
      ]);
      const gaugeLines = [...gauges].flatMap(([name, value]) => [
        `# HELP chicorybend_${name} ${GAUGES[name]}`,
        `# TYPE chicorybend_${name} gauge`,
        `chicorybend_${name} ${value}`,
      ]);
      const histogramLines = [...histograms].flatMap(([name, histogram]) =>
        describeHistogram(name, histogram),
      );
      const workLines = describeWork(workMilliseconds, activeMilliseconds);
      return `${[...counterLines, ...gaugeLines, ...histogramLines, ...workLines].join('\n')}\n`;
    },
  };
}
