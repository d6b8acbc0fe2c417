import { sleep, TIMED_OUT, withTimeout } from '@chicorybend/common';
import type { Clock, Log } from '@chicorybend/common';

import type { EvacuationSettings } from '../types/evacuation.js';
import { callWithAdaptiveTimeout } from '../utils/adaptiveTimeout.js';
import { createLatencyEstimate } from '../utils/latencyEstimate.js';
import type { EndpointTable } from './endpointTable.js';
import type { SchedulerMetrics } from './schedulerMetrics.js';

/** Interval between the beginnings of two reads; with the lateness of the process at most 600 ms. */
const READ_INTERVAL_MILLISECONDS = 500;
/** Delay before a failed read is repeated. */
const RETRY_DELAY_MILLISECONDS = 100;
/** Bounds of the timeout of a read. */
const READ_TIMEOUTS = { minimumMilliseconds: 250, maximumMilliseconds: 2_000 };
/** Part of the bound that is left for the drift of an endpoint's clock, and for beginning a run it has accepted. */
const BOUND_MARGIN_MILLISECONDS = 300;
/** Time that a start has at least to reach its endpoint, in milliseconds. */
const MINIMUM_TRANSIT_MILLISECONDS = 500;

/** Data centres that the operator has taken out of service, as far as the owner knows. */
export interface EvacuationWatch {
  /** @returns whether a data centre was in service at the last answered read; true before the first one */
  isInService(dataCentre: string): boolean;
  /** @returns whether a start can be sent to a data centre now, and be executed before the last read is too old */
  mayStart(dataCentre: string): boolean;
  /**
   * @returns time for which starts may still begin by the last answered read, in milliseconds; 0 or less if none may,
   *   Infinity if the deployment has no bound
   */
  remainingMilliseconds(): number;
  /** Records the age of the last answered read on the metrics page, right before a start is sent. */
  noteStart(): void;
  /** @returns names of the data centres out of service */
  outOfService(): readonly string[];
  /** Reads the entries until the term ends. */
  run(): Promise<void>;
}

export interface EvacuationWatchOptions {
  /** Null if the deployment does not take data centres out of service; nothing is read then. */
  readonly settings: EvacuationSettings | null;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly table: EndpointTable;
  readonly hasEnded: () => boolean;
  /** Called when a data centre changes, or starts may be sent again. */
  readonly onChange: () => void;
}

/** Creates the watch of one term, which knows nothing until its first read is answered. */
export function createEvacuationWatch(options: EvacuationWatchOptions): EvacuationWatch {
  const { settings, clock, log, metrics, table, hasEnded, onChange } = options;
  const latency = createLatencyEstimate(READ_TIMEOUTS);
  /** By name, since when it is known to be out of service, in monotonic milliseconds. */
  const outSince = new Map<string, number>();
  /** When the last answered read began, in monotonic milliseconds. */
  let readAt = -Infinity;
  let revision = -Infinity;
  let wasRecent = false;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  function remainingMilliseconds(): number {
    if (!settings) return Infinity;
    return readAt + settings.boundMilliseconds - BOUND_MARGIN_MILLISECONDS - now();
  }

  function isRecent(): boolean {
    return remainingMilliseconds() >= MINIMUM_TRANSIT_MILLISECONDS;
  }

  function countEndpoints(dataCentre: string): number {
    return [...table.all()].filter(
      ({ entry, isListed }) => isListed && entry.dataCentre === dataCentre,
    ).length;
  }

  function apply(dataCentres: ReadonlySet<string>): void {
    const added = [...dataCentres].filter((name) => !outSince.has(name));
    const removed = [...outSince].filter(([name]) => !dataCentres.has(name));
    added.forEach((dataCentre) => {
      outSince.set(dataCentre, now());
      log.info('data centre out of service', {
        dataCentre,
        revision,
        endpoints: countEndpoints(dataCentre),
      });
    });
    removed.forEach(([dataCentre, since]) => {
      outSince.delete(dataCentre);
      log.info('data centre in service again', {
        dataCentre,
        revision,
        endpoints: countEndpoints(dataCentre),
        milliseconds: Math.round(now() - since),
      });
    });
    if (added.length + removed.length > 0) onChange();
  }

  /** @returns whether the read was answered */
  async function read({ source }: EvacuationSettings): Promise<boolean> {
    const beganAt = now();
    const outcome = await callWithAdaptiveTimeout(
      clock,
      latency,
      (timeout) => source.read(timeout),
      ({ kind }) => kind === 'failed',
    );
    if (hasEnded()) return false;
    if (outcome.kind === 'failed') {
      metrics.count('evacuation_reads_failed');
      return false;
    }
    // An answer that was overtaken by that of a later read tells nothing new.
    if (beganAt <= readAt || outcome.revision < revision) return true;
    readAt = beganAt;
    revision = outcome.revision;
    apply(outcome.dataCentres);
    return true;
  }

  function noteAge(): void {
    if (isRecent() === wasRecent) return;
    wasRecent = !wasRecent;
    const details = { age: Number.isFinite(readAt) ? Math.round(now() - readAt) : null };
    if (!wasRecent) log.warn('starts stopped: data centres in service not known', details);
    else {
      log.info('data centres in service known', { ...details, outOfService: [...outSince.keys()] });
      onChange();
    }
  }

  const isInService = (dataCentre: string) => !outSince.has(dataCentre);
  return {
    isInService,
    mayStart: (dataCentre) => isInService(dataCentre) && isRecent(),
    remainingMilliseconds,
    noteStart() {
      if (settings) metrics.record('evacuation_age_milliseconds', now() - readAt);
    },
    outOfService: () => [...outSince.keys()],
    async run() {
      if (!settings) return;
      while (!hasEnded()) {
        const beganAt = now();
        // A read that gets no answer does not delay the next one.
        const outcome = await withTimeout(clock, read(settings), READ_INTERVAL_MILLISECONDS);
        if (hasEnded()) return;
        noteAge();
        if (outcome === false) await sleep(clock, RETRY_DELAY_MILLISECONDS);
        else if (outcome !== TIMED_OUT) {
          await sleep(clock, Math.max(0, beganAt + READ_INTERVAL_MILLISECONDS - now()));
        }
      }
    },
  };
}
