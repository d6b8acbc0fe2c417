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

/** @returns state at the time 0 with the given use by team */
function createUse(uses: readonly number[] = []) {
  const pastUse = createPastUse(SETTINGS);
  const teams = uses.map((use, team) => [`${team}`, { use, isCharged: true }] as const);
  pastUse.restore(0, { until: 0, teams: new Map(teams) }, 0, new Map());
  return pastUse;
}

// A sum without decay, or one that depends on how often it is updated, would never let a team recover; use of idle
// room would be punished.
test('use is a mean that halves with each half-life, however often it is accounted, and idle room is free', (t) => {
  const pastUse = createUse();
  pastUse.account(HOUR, [{ team: 'alder', share: 0.5, isCharged: true }]);
  const often = createUse();
  for (let now = 1_000; now <= HOUR; now += 1_000) {
    often.account(now, [{ team: 'alder', share: 0.5, isCharged: true }]);
  }
  t.is(pastUse.useOf('alder'), 0.25);
  t.true(Math.abs(often.useOf('alder') - 0.25) < 1e-9);
  pastUse.account(2 * HOUR, [{ team: 'alder', share: 1, isCharged: false }]);
  t.is(pastUse.useOf('alder'), 0.125);
});

// Without a fair share as the measure, small uses of a quiet cell would give the largest factors.
test('the factor begins beyond the fair share of a team and ends at the cap', (t) => {
  const factorOf = (use: number) => computePastUseFactor(use, 0.25, SETTINGS);
  t.deepEqual([0, 0.25, 0.5, 0.75, 1, 100].map(factorOf), [1, 1, 1.5, 2, 2.5, 4]);
});

// The store refuses values that are too large, and a value that cannot be parsed must not end the term.
test('a record is bounded in size, and other texts are not taken for one', (t) => {
  const record = createUse(Array.from({ length: 1_000 }, (_, index) => index / 1_000)).record(0);
  t.is(parsePastUse(encodePastUse(record, 32_768))?.teams.size, 256);
  const text = encodePastUse(record, 1_000);
  t.true(Buffer.byteLength(text) <= 1_000);
  t.true(parsePastUse(text)!.teams.has('999'));
  const others = ['', '{', 'null', '{"version":2,"until":1,"teams":[]}', text.replace('true', '1')];
  t.deepEqual(others.map(parsePastUse), [null, null, null, null, null]);
});

const GROUPS = fc.array(
  fc.record({
    weight: fc.integer({ min: 1, max: 5 }),
    usePercent: fc.integer({ min: 0, max: 100 }),
    runMilliseconds: fc.oneof(fc.integer({ min: 100, max: 2_000 }), fc.constant(12_000)),
    arrivalTicks: fc.integer({ min: 1, max: 5 }),
    objectiveMilliseconds: fc.integer({ min: 200, max: 120_000 }),
  }),
  { minLength: 2, maxLength: 5 },
);
type Groups = typeof GROUPS extends fc.Arbitrary<infer Value> ? Value : never;
/** Fewer histories did not show a missing cap. */
const HISTORIES = { ...PROPERTY_PARAMETERS, numRuns: Math.max(400, PROPERTY_PARAMETERS.numRuns) };
const SIMULATED = { ...SETTINGS, weight: 3, cap: 6 };
const TICK = 100;
const END = 45_000;
const MAXIMUM_WAITING = 4;
const MEMORY_FROM = 10_000;
const SHARE_GRANULARITY = 0.05;

type OnPlacement = (now: number, chosen: number, plain: readonly { order: OrderingKey }[]) => void;

/**
 * Places the work of several teams on slots, with past use from a time on. Calls back before each placement with the
 * chosen group and the order without past use. @returns when each group was first placed after `MEMORY_FROM`
 */
function simulate(groups: Groups, slots: number, memoryFrom: number, onPlacement: OnPlacement) {
  const totalWeight = groups.reduce((sum, { weight }) => sum + weight, 0);
  const bounds = createPutBackBounds();
  const pastUse = createUse(groups.map(({ usePercent }) => usePercent / 100));
  const waiting: { group: number; sentAt: number }[] = [];
  let running: { group: number; endsAt: number }[] = [];
  const first = new Map<number, number>();
  const shareOf = (group: number) => running.filter((run) => run.group === group).length / slots;

  function placeOne(now: number): void {
    const steps = waiting.map(({ group, sentAt }) => {
      const objectiveAt = sentAt + groups[group]!.objectiveMilliseconds;
      const order: OrderingKey = {
        groupId: `${group}`,
        priority: 0,
        punctuality: now <= objectiveAt ? 'on-time' : 'late',
        objectiveAt,
        remainingMilliseconds: 0,
        weightedShare: shareOf(group) / groups[group]!.weight,
      };
      return { group, order };
    });
    const orders = steps.map(({ order }) => order);
    bounds.observe(now, orders);
    const applied = applyPastUse(steps, ({ group, order: { groupId } }) => {
      if (now < memoryFrom || !bounds.mayPutBack(groupId, now)) return 1;
      const entitlement = groups[group]!.weight / totalWeight;
      return computePastUseFactor(pastUse.useOf(groupId), entitlement, SIMULATED);
    });
    const { group } = orderSteps(applied)[0]!;
    onPlacement(now, group, orderSteps(steps));
    bounds.recordPlacement(`${group}`);
    const position = waiting.findIndex((entry) => entry.group === group);
    waiting.splice(position, 1);
    running.push({ group, endsAt: now + groups[group]!.runMilliseconds });
    if (now >= MEMORY_FROM && !first.has(group)) first.set(group, now);
  }

  for (let now = 0; now < END; now += TICK) {
    running = running.filter(({ endsAt }) => endsAt > now);
    groups.forEach(({ arrivalTicks }, group) => {
      const isFull = waiting.filter((entry) => entry.group === group).length >= MAXIMUM_WAITING;
      if (!isFull && now % (TICK * arrivalTicks) === 0) waiting.push({ group, sentAt: now });
    });
    const isCharged = (group: number) => waiting.some((other) => other.group !== group);
    const sampleOf = (group: number) => ({ share: shareOf(group), isCharged: isCharged(group) });
    pastUse.account(
      now,
      groups.map((_, group) => ({ team: `${group}`, ...sampleOf(group) })),
    );
    while (running.length < slots && waiting.length > 0) placeOne(now);
  }
  return first;
}

// A team whose use was high for hours would wait without limit while others keep submitting work.
test('past use puts a team back for a bounded time and never while nothing of it runs', (t) => {
  fc.assert(
    fc.property(GROUPS, fc.integer({ min: 4, max: 20 }), (groups, slots) => {
      const waitingSince = new Map<string, number>();
      const delayed = simulate(groups, slots, MEMORY_FROM, (now, chosen, plain) => {
        const orderOf = (group: number) =>
          plain.findIndex(({ order: { groupId } }) => groupId === `${group}`);
        const chosenShare = plain[orderOf(chosen)]!.order.weightedShare;
        groups.forEach((_, group) => {
          const order = plain[orderOf(group)]?.order;
          if (!order) waitingSince.delete(`${group}`);
          else if (group !== chosen) {
            const since = waitingSince.get(order.groupId) ?? now;
            waitingSince.set(order.groupId, since);
            t.true(chosenShare < SIMULATED.cap * order.weightedShare + SHARE_GRANULARITY);
            const isPutBack = orderOf(group) < orderOf(chosen);
            t.true(!isPutBack || (now - since < 5_000 && order.weightedShare > 0));
          }
        });
        waitingSince.delete(`${chosen}`);
      });
      // The runs of the team count: a moment at which it came first may return only once they have ended.
      const longest = Math.max(...groups.map(({ runMilliseconds }) => runMilliseconds));
      simulate(groups, slots, Infinity, () => {}).forEach((at, group) => {
        const latest = at + 5_000 + longest;
        t.true(latest >= END || (delayed.get(group) ?? Infinity) <= latest);
      });
    }),
    HISTORIES,
  );
});

const TIMES = { punctuality: 'on-time', objectiveAt: 90_000, remainingMilliseconds: 200 } as const;
const ORDER: OrderingKey = { groupId: 'alder', priority: 0, weightedShare: 0.5, ...TIMES };

// Urgent work of a team with past use would wait for batch work, or for work that is too late to be of use.
test('no factor puts work behind that of a lower priority or behind overdue work', (t) => {
  const overdue: OrderingKey = { ...ORDER, punctuality: 'overdue', weightedShare: 0 };
  [overdue, { ...ORDER, priority: 1, weightedShare: 0 }].forEach((other) => {
    const steps = [{ order: other }, { order: ORDER }];
    const applied = applyPastUse(steps, ({ order }) => (order === ORDER ? 100 : 1));
    t.is(orderSteps(applied)[1]!.order.weightedShare, 0);
  });
});

// Half of the time to spare is left for waits that are not due to past use.
test('work that can be on time is put back by at most half the time it has to spare', (t) => {
  const bounds = createPutBackBounds();
  bounds.observe(0, [ORDER]);
  t.deepEqual(
    [4_999, 5_000].map((now) => bounds.mayPutBack('alder', now)),
    [true, false],
  );
  bounds.observe(0, [{ ...ORDER, objectiveAt: 1_000 }]);
  bounds.observe(300, [{ ...ORDER, objectiveAt: 1_000 }]);
  t.deepEqual(
    [399, 400].map((now) => bounds.mayPutBack('alder', now)),
    [true, false],
  );
  bounds.recordPlacement('alder');
  t.true(bounds.mayPutBack('alder', 400));
});
