import test from 'ava';
import fc from 'fast-check';

import {
  applyPastUse,
  computePastUseFactor,
  createPastUse,
  createPutBackBounds,
  encodePastUse,
  orderSteps,
  parsePastUse,
} from '../index.js';
import type { OrderingKey } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const HOUR = 3_600_000;
const SETTINGS = { halfLifeMilliseconds: HOUR, weight: 0.5, cap: 4 };
const NONE = { until: 0, teams: new Map() };

/** @returns past use of `alder` after shares of 0.5, charged for each given period in milliseconds */
function createUsed(...periods: number[]) {
  const pastUse = createPastUse(SETTINGS);
  pastUse.restore(0, NONE, 0, new Map());
  let now = 0;
  periods.forEach((period) => {
    now += period;
    pastUse.account(now, [{ team: 'alder', share: 0.5, isCharged: true }]);
  });
  return { pastUse, now };
}

// A sum that grows without bound, or depends on how often it is updated, would never let a team recover.
test('use is a mean that halves with each half-life, however often it is accounted', (t) => {
  const { pastUse, now } = createUsed(HOUR);
  t.is(pastUse.useOf('alder'), 0.25);
  const { pastUse: often } = createUsed(...Array.from({ length: 3_600 }, () => 1_000));
  t.true(Math.abs(often.useOf('alder') - 0.25) < 1e-9);
  pastUse.account(now + HOUR, []);
  t.is(pastUse.useOf('alder'), 0.125);
});

// Teams would be punished for work at times when the room would have been idle otherwise.
test('use of room that no other team waits for is free', (t) => {
  const { pastUse, now } = createUsed();
  pastUse.account(now + HOUR, [{ team: 'alder', share: 1, isCharged: false }]);
  t.is(pastUse.useOf('alder'), 0);
});

// Without a fair share as the measure, small uses of a quiet cell would give the largest factors.
test('the factor begins beyond the fair share of a team and ends at the cap', (t) => {
  const factorOf = (use: number) => computePastUseFactor(use, 0.25, SETTINGS);
  t.deepEqual([0, 0.25, 0.5, 0.75, 1, 100].map(factorOf), [1, 1, 1.5, 2, 2.5, 4]);
});

// A successor that starts from nothing forgets; one that adds its own count of the same time counts twice.
test('a record handed over in the middle gives the same use as one owner', (t) => {
  const { pastUse: whole } = createUsed(20_000, 10_000, 20_000);
  const { pastUse: first } = createUsed(20_000);
  const text = encodePastUse(first.record(20_000), 32_768);
  const second = createPastUse(SETTINGS);
  second.restore(30_000, parsePastUse(text)!, 10_000, new Map([['alder', 0.5]]));
  second.account(50_000, [{ team: 'alder', share: 0.5, isCharged: true }]);
  t.true(Math.abs(second.useOf('alder') / whole.useOf('alder') - 1) < 1e-5);
});

// A wall clock set forward by a day would charge a day of use that never was.
test('at most 30 s of the gap before a recovery are counted', (t) => {
  const { pastUse } = createUsed(1_000);
  const successor = createPastUse(SETTINGS);
  successor.restore(0, pastUse.record(0), 24 * HOUR, new Map([['alder', 0.5]]));
  t.true(successor.useOf('alder') < 0.5 * (1 - 2 ** (-30_000 / HOUR)) + 1e-6);
});

// The store refuses values that are too large, and a value that cannot be parsed must not end the term.
test('a record is bounded in size, and other texts are not taken for one', (t) => {
  const pastUse = createPastUse(SETTINGS);
  pastUse.restore(0, NONE, 0, new Map());
  pastUse.account(
    HOUR,
    Array.from({ length: 1_000 }, (_, index) => ({
      team: `team-${index}`,
      share: (index + 1) / 1_000,
      isCharged: true,
    })),
  );
  t.is(parsePastUse(encodePastUse(pastUse.record(0), 32_768))?.teams.size, 256);
  const text = encodePastUse(pastUse.record(0), 1_000);
  t.true(Buffer.byteLength(text) <= 1_000);
  t.true(parsePastUse(text)!.teams.has('team-999'));
  const others = ['', '{', 'null', '{"version":2,"until":1,"teams":[]}', text.replace('true', '1')];
  t.deepEqual(others.map(parsePastUse), [null, null, null, null, null]);
});

interface Group {
  readonly weight: number;
  readonly use: number;
  readonly runMilliseconds: number;
  readonly arrivalMilliseconds: number;
  readonly objectiveMilliseconds: number;
}

const GROUPS = fc.array(
  fc.record({
    weight: fc.integer({ min: 1, max: 5 }),
    use: fc.integer({ min: 0, max: 100 }).map((percent) => percent / 100),
    runMilliseconds: fc.oneof(fc.integer({ min: 100, max: 2_000 }), fc.constant(12_000)),
    arrivalMilliseconds: fc.integer({ min: 100, max: 500 }),
    objectiveMilliseconds: fc.integer({ min: 200, max: 120_000 }),
  }),
  { minLength: 2, maxLength: 5 },
);

/** Fewer histories did not show a missing cap or a missing bound in time. */
const HISTORIES = { ...PROPERTY_PARAMETERS, numRuns: Math.max(400, PROPERTY_PARAMETERS.numRuns) };
const TICK = 100;
const MAXIMUM_WAITING = 4;
const END = 45_000;
const SIMULATED = { ...SETTINGS, weight: 3, cap: 6 };
const SHARE_GRANULARITY = 0.05;

interface SimulatedStep {
  readonly group: number;
  readonly order: OrderingKey;
}

/**
 * Places the work of several teams on slots with past use in effect.
 *
 * @param memoryFrom when past use comes into effect, in milliseconds
 * @param onPlacement called before each placement with the order in effect and the one without past use
 */
function simulate(
  groups: readonly Group[],
  slots: number,
  memoryFrom: number,
  onPlacement: (
    now: number,
    ordered: readonly SimulatedStep[],
    plain: readonly SimulatedStep[],
  ) => void,
): void {
  const entitlements = groups.map(
    ({ weight }) => weight / groups.reduce((sum, group) => sum + group.weight, 0),
  );
  const bounds = createPutBackBounds();
  const pastUse = createPastUse({ halfLifeMilliseconds: HOUR });
  const stored = groups.map(({ use }, index) => [`${index}`, { use, isCharged: true }] as const);
  pastUse.restore(0, { until: 0, teams: new Map(stored) }, 0, new Map());
  const waiting: { group: number; sentAt: number }[] = [];
  let running: { group: number; endsAt: number }[] = [];
  const shareOf = (group: number) => running.filter((run) => run.group === group).length / slots;

  function toStep(now: number, { group, sentAt }: (typeof waiting)[number]): SimulatedStep {
    const { weight, objectiveMilliseconds } = groups[group]!;
    const objectiveAt = sentAt + objectiveMilliseconds;
    return {
      group,
      order: {
        groupId: `${group}`,
        priority: 0,
        punctuality: now <= objectiveAt ? 'on-time' : 'late',
        objectiveAt,
        remainingMilliseconds: 0,
        weightedShare: shareOf(group) / weight,
      },
    };
  }

  for (let now = 0; now < END; now += TICK) {
    running = running.filter(({ endsAt }) => endsAt > now);
    groups.forEach(({ arrivalMilliseconds }, group) => {
      const isFull = waiting.filter((entry) => entry.group === group).length >= MAXIMUM_WAITING;
      if (!isFull && now % (TICK * Math.ceil(arrivalMilliseconds / TICK)) === 0) {
        waiting.push({ group, sentAt: now });
      }
    });
    const samples = groups.map((_, group) => ({
      team: `${group}`,
      share: shareOf(group),
      isCharged: waiting.some((other) => other.group !== group),
    }));
    pastUse.account(now, samples);
    while (running.length < slots && waiting.length > 0) {
      const steps = waiting.map((entry) => toStep(now, entry));
      bounds.observe(
        now,
        steps.map(({ order }) => order),
      );
      const at = now;
      const applied = applyPastUse(steps, ({ group, order: { groupId } }) =>
        at >= memoryFrom && bounds.mayPutBack(groupId, at)
          ? computePastUseFactor(pastUse.useOf(groupId), entitlements[group]!, SIMULATED)
          : 1,
      );
      const ordered = orderSteps(applied);
      onPlacement(now, ordered, orderSteps(steps));
      const { group } = ordered[0]!;
      bounds.recordPlacement(`${group}`);
      waiting.splice(
        waiting.findIndex((entry) => entry.group === group),
        1,
      );
      running.push({ group, endsAt: now + groups[group]!.runMilliseconds });
    }
  }
}

// A team whose use was high for hours would wait without limit while others keep submitting work.
test('past use puts a team back for a bounded time and never while nothing of it runs', (t) => {
  fc.assert(
    fc.property(GROUPS, fc.integer({ min: 4, max: 20 }), (groups, slots) => {
      /** By group: since when it waits without a placement. */
      const waitingSince = new Map<number, number>();
      simulate(groups, slots, 0, (now, ordered, plain) => {
        const chosen = ordered[0]!;
        const chosenBefore = plain.findIndex(({ group }) => group === chosen.group);
        groups.forEach((_, group) => {
          const position = plain.findIndex((step) => step.group === group);
          if (position === -1) waitingSince.delete(group);
          else if (!waitingSince.has(group)) waitingSince.set(group, now);
          if (position === -1 || group === chosen.group) return;
          const { weightedShare } = plain[position]!.order;
          const chosenShare = plain[chosenBefore]!.order.weightedShare;
          t.true(chosenShare < SIMULATED.cap * weightedShare + SHARE_GRANULARITY);
          if (position > chosenBefore) return;
          t.true(now - waitingSince.get(group)! < 5_000);
          t.true(weightedShare > 0);
        });
        waitingSince.delete(chosen.group);
      });
    }),
    HISTORIES,
  );
});

const MEMORY_FROM = 10_000;

/** @returns when each group had its first placement after `MEMORY_FROM`, in milliseconds */
function firstPlacements(groups: readonly Group[], slots: number, memoryFrom: number) {
  const first = new Map<number, number>();
  simulate(groups, slots, memoryFrom, (now, ordered) => {
    const { group } = ordered[0]!;
    if (now >= MEMORY_FROM && !first.has(group)) first.set(group, now);
  });
  return first;
}

// Work that is started ahead of a team must not hold back its next start for longer than the stated bound.
test('past use delays the next start of a team by at most 5 s and the longest run', (t) => {
  fc.assert(
    fc.property(GROUPS, fc.integer({ min: 4, max: 20 }), (groups, slots) => {
      const plain = firstPlacements(groups, slots, Infinity);
      const delayed = firstPlacements(groups, slots, MEMORY_FROM);
      // Its own runs count: a moment at which it came first may return only once they have ended.
      const longest = Math.max(...groups.map(({ runMilliseconds }) => runMilliseconds));
      plain.forEach((at, group) => {
        const latest = at + 5_000 + longest;
        if (latest < END) t.true((delayed.get(group) ?? Infinity) <= latest);
      });
    }),
    HISTORIES,
  );
});

// Half of the time to spare is left for waits that are not due to past use.
test('work that can be on time is put back by at most half the time it has to spare', (t) => {
  const order: OrderingKey = {
    groupId: 'alder/entries',
    priority: 0,
    punctuality: 'on-time',
    objectiveAt: 1_000,
    remainingMilliseconds: 200,
    weightedShare: 0.5,
  };
  const bounds = createPutBackBounds();
  bounds.observe(0, [{ ...order, objectiveAt: 90_000 }]);
  t.deepEqual(
    [4_999, 5_000].map((now) => bounds.mayPutBack(order.groupId, now)),
    [true, false],
  );
  bounds.observe(0, [order]);
  bounds.observe(300, [order]);
  t.deepEqual(
    [399, 400].map((now) => bounds.mayPutBack(order.groupId, now)),
    [true, false],
  );
  bounds.recordPlacement(order.groupId);
  t.true(bounds.mayPutBack(order.groupId, 400));
});
