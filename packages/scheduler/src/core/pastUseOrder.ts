import {
  addResources,
  applyPastUse,
  computeDominantShare,
  computePastUseFactor,
  createPastUse,
  createPutBackBounds,
  encodePastUse,
  MAXIMUM_COUNTED_GAP_MILLISECONDS,
  NO_RESOURCES,
  orderSteps,
  parsePastUse,
} from '@chicorybend/decisions';
import type {
  OrderingKey,
  PastUseRecord,
  PastUseSettings,
  TeamShareSample,
} from '@chicorybend/decisions';
import { sleep } from '@chicorybend/common';
import type { Resources } from '@chicorybend/common';

import type { StoredItem } from '../types/clusterStore.js';
import type { StepRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import { PAST_USE_KEY } from '../utils/storeKeys.js';
import { sumCapacity } from './stepOrder.js';
import type { BlockingReason } from './waitingTasks.js';

/** Interval of charging what runs; shorter than most runs, so that few of them escape it. */
const ACCOUNTING_INTERVAL_MILLISECONDS = 250;
/** Minimum time between two writes of the record; bounds what a successor has to count from start times. */
const WRITE_INTERVAL_MILLISECONDS = 5_000;
const MAXIMUM_RECORD_BYTES = 32_768;
/** Minimum time between two log lines about rounds whose order was changed. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Maximum number of teams in such a line. */
const MAXIMUM_LOGGED_TEAMS = 10;

/** A released step that a round is to order. */
interface OrderedStep {
  readonly step: StepRecord;
  readonly order: OrderingKey;
}

/** Order of waiting work in a term, with past use if the deployment has set it. */
export interface PastUseOrder {
  /** Recovers past use, then charges and stores it until the term ends. */
  run(): Promise<void>;
  /** Begins a round. @returns the steps in the order in which they are to be placed */
  order<Step extends OrderedStep>(steps: readonly Step[]): readonly Step[];
  /** Notes that tasks of a step remain after its turn in the round, and why. */
  recordBlocked(step: StepRecord, reason: BlockingReason): void;
  /** Notes that tasks of a group were placed. */
  recordPlacement(order: OrderingKey): void;
  close(): void;
}

export interface PastUseOrderOptions {
  readonly context: TermContext;
  readonly settings: PastUseSettings;
  /** Maximum size of a value in the store, in bytes. */
  readonly maximumValueBytes: number;
  /** Reads the record until the store answers. @returns null if the term ended first */
  readonly readRecord: () => Promise<{ readonly value: StoredItem | null } | null>;
}

/** Creates the order of a deployment that has not set past use. */
export function createPlainOrder(): PastUseOrder {
  return {
    run: () => Promise.resolve(),
    order: orderSteps,
    recordBlocked() {},
    recordPlacement() {},
    close() {},
  };
}

/** Creates the order of a term that knows no past use until {@link PastUseOrder.run} has recovered it. */
export function createPastUseOrder(options: PastUseOrderOptions): PastUseOrder {
  const { context, settings } = options;
  const { clock, log, metrics, table } = context;
  const pastUse = createPastUse(settings);
  const bounds = createPutBackBounds();
  /** Teams whose work waited for room in the last round. */
  const waitingTeams = new Set<string>();
  let isRecovered = false;
  /** Whether a round has shown who waits; until then a record would not tell who is charged. */
  let hasOrdered = false;
  let accountedAt = 0;
  /** Monotonic time up to which the durable record contains use; null if there is none. */
  let recordedUntil: number | null = null;
  let stagedAt = -Infinity;
  let isWriting = false;
  let hasChanged = false;
  let wasCharged = false;
  let changedRounds = 0;
  let loggedAt = -Infinity;

  function factorOf(team: string): number {
    const weight = context.settings.weightOf({ team });
    const total = context.configuration().teams.reduce((sum, other) => sum + other.weight, 0);
    const entitlement = weight / Math.max(total, weight);
    return computePastUseFactor(pastUse.useOf(team), entitlement, settings);
  }

  function recordAge(): number | null {
    return recordedUntil === null ? null : clock.monotonicMilliseconds() - recordedUntil;
  }

  /** @returns mean resources of the present runs by team over the time from `since` until `now`, in monotonic time */
  function meanShares(since: number, now: number): Map<string, number> {
    const used = new Map<string, Resources>();
    for (const { runs } of table.all()) {
      runs.forEach(({ placedAt, step }) => {
        const fraction = Math.min(1, (now - placedAt) / Math.max(1, now - since));
        const { team } = step.job;
        const sum = used.get(team) ?? NO_RESOURCES;
        used.set(team, addResources(sum, step.specification.resources, fraction));
      });
    }
    const total = sumCapacity(context);
    return new Map([...used].map(([team, amount]) => [team, computeDominantShare(amount, total)]));
  }

  function restore(record: PastUseRecord): void {
    const now = clock.monotonicMilliseconds();
    const age = Math.max(0, clock.wallMilliseconds() - record.until);
    const counted = Math.min(age, MAXIMUM_COUNTED_GAP_MILLISECONDS);
    pastUse.restore(now, record, age, meanShares(now - counted, now));
    recordedUntil = now - age;
    wasCharged = [...record.teams.values()].some(({ isCharged }) => isCharged);
    log.info('past use recovered', {
      teams: record.teams.size,
      age: Math.round(age),
      counted: Math.round(counted),
      isOlderThanHalfLife: age > settings.halfLifeMilliseconds,
    });
  }

  async function recover(): Promise<void> {
    const outcome = await options.readRecord();
    if (!outcome || context.hasEnded()) return;
    const record = outcome.value && parsePastUse(outcome.value.value);
    if (record) restore(record);
    else {
      pastUse.restore(clock.monotonicMilliseconds(), { until: 0, teams: new Map() }, 0, new Map());
      log.info('past use not recovered', { reason: outcome.value ? 'unreadable' : 'missing' });
    }
    accountedAt = clock.monotonicMilliseconds();
    isRecovered = true;
    metrics.showPastUse(() => ({
      recordAgeMilliseconds: recordAge(),
      teams: pastUse.uses().map(([team, use]) => ({ team, use, factor: factorOf(team) })),
    }));
  }

  function takeSamples(): TeamShareSample[] {
    const total = sumCapacity(context);
    return [...table.teams()].map((team) => ({
      team,
      share: computeDominantShare(table.usedByTeam(team), total),
      isCharged: waitingTeams.size > (waitingTeams.has(team) ? 1 : 0),
    }));
  }

  async function write(): Promise<void> {
    stagedAt = clock.monotonicMilliseconds();
    isWriting = true;
    hasChanged = false;
    let encodedUntil = accountedAt;
    const isDurable = await context.commits.stage(
      PAST_USE_KEY,
      () => {
        encodedUntil = accountedAt;
        const until = clock.wallMilliseconds() - (clock.monotonicMilliseconds() - accountedAt);
        const limit = Math.min(MAXIMUM_RECORD_BYTES, options.maximumValueBytes);
        return encodePastUse(pastUse.record(until), limit);
      },
      'deferred',
    );
    isWriting = false;
    if (isDurable) recordedUntil = encodedUntil;
  }

  /** While nothing is charged, the age of the record tells the decay, so that it needs no write. */
  function account(): void {
    const now = clock.monotonicMilliseconds();
    const samples = takeSamples();
    pastUse.account(now, samples);
    accountedAt = now;
    const isCharged = samples.some((sample) => sample.isCharged && sample.share > 0);
    hasChanged ||= isCharged || wasCharged;
    wasCharged = isCharged;
    const isDue = now - stagedAt >= WRITE_INTERVAL_MILLISECONDS;
    if (hasChanged && isDue && !isWriting) void write();
  }

  function describeTeams(steps: readonly OrderedStep[]) {
    const teams = [...new Set(steps.map(({ step }) => step.job.team))]
      .map((team) => ({ team, use: pastUse.useOf(team), factor: factorOf(team) }))
      .filter(({ factor }) => factor > 1)
      .sort((left, right) => right.factor - left.factor);
    return teams.slice(0, MAXIMUM_LOGGED_TEAMS);
  }

  function reportChange(steps: readonly OrderedStep[]): void {
    metrics.count('past_use_rounds');
    changedRounds += 1;
    const now = clock.monotonicMilliseconds();
    if (now - loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    const age = recordAge();
    log.info('order changed by past use', {
      rounds: changedRounds,
      teams: describeTeams(steps),
      recordAge: age === null ? null : Math.round(age),
    });
    loggedAt = now;
    changedRounds = 0;
  }

  return {
    async run() {
      await recover();
      while (!context.hasEnded()) {
        if (hasOrdered) context.workMeter.measure('housekeeping', account);
        await sleep(clock, ACCOUNTING_INTERVAL_MILLISECONDS);
      }
    },
    order(steps) {
      waitingTeams.clear();
      hasOrdered = true;
      const now = clock.monotonicMilliseconds();
      bounds.observe(
        now,
        steps.map(({ order }) => order),
      );
      const plain = orderSteps(steps);
      if (!isRecovered) return plain;
      const factors = new Map<string, number>();
      const applied = applyPastUse(steps, ({ step: { job }, order: { groupId } }) => {
        if (!bounds.mayPutBack(groupId, now)) return 1;
        const factor = factors.get(job.team) ?? factorOf(job.team);
        factors.set(job.team, factor);
        return factor;
      });
      if (applied === steps) return plain;
      const ordered = orderSteps(applied);
      if (ordered.some(({ step }, position) => step !== plain[position]!.step)) {
        reportChange(steps);
      }
      return ordered;
    },
    recordBlocked({ job }, reason) {
      if (reason === 'room' || reason === 'turn') waitingTeams.add(job.team);
    },
    recordPlacement: ({ groupId }) => bounds.recordPlacement(groupId),
    close() {
      if (isRecovered) metrics.showPastUse(null);
    },
  };
}
