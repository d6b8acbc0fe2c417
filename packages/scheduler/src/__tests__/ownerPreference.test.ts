import test from 'ava';

import { createOwnerPreference } from '../core/ownerPreference.js';
import type { OwnerPreference, VmCapacity } from '../core/ownerPreference.js';

const STRONG = { address: '10.0.0.1:1', ...capacity(1.35) };
const WEAK = { address: '10.0.0.2:1', ...capacity(0.324) };

function capacity(processors: number, linkMegabitsPerSecond: number | null = null): VmCapacity {
  return { processors, linkMegabitsPerSecond };
}

function createPreference(...own: Parameters<typeof capacity>): OwnerPreference {
  return createOwnerPreference(capacity(...own));
}

test('a weak owner yields to a peer with twice its processors that stays in contact', (t) => {
  const preference = createPreference(0.324);
  preference.recordContact(WEAK, 0);
  preference.recordContact(STRONG, 0);
  t.is(preference.chooseBetterOwner(0, 500), null, 'the term is too young');
  preference.recordContact(STRONG, 1_000);
  t.is(preference.chooseBetterOwner(500, 1_200), null, 'the term is too young');
  t.is(preference.chooseBetterOwner(0, 1_200), STRONG);
});

test('a peer that was silent has to stay in contact again before it counts', (t) => {
  const preference = createPreference(0.324);
  preference.recordContact(STRONG, 0);
  preference.recordContact(STRONG, 1_000);
  t.is(preference.chooseBetterOwner(0, 4_000), null);
  preference.recordContact(STRONG, 4_100);
  t.is(preference.chooseBetterOwner(0, 4_200), null);
  preference.recordContact(STRONG, 5_100);
  t.is(preference.chooseBetterOwner(0, 5_200), STRONG);
});

test('VMs with similar processors never yield to each other', (t) => {
  const preference = createPreference(0.675);
  for (let now = 0; now < 5_000; now += 1_000) preference.recordContact(STRONG, now);
  t.is(preference.chooseBetterOwner(0, 4_500)?.processors, 1.35);
  const other = createPreference(0.7);
  for (let now = 0; now < 5_000; now += 1_000) other.recordContact(STRONG, now);
  t.is(other.chooseBetterOwner(0, 4_500), null);
});

test('a process yields once, and then not again for a while if nobody has taken the ownership over', (t) => {
  const preference = createPreference(0.324);
  for (let now = 0; now <= 40_000; now += 1_000) preference.recordContact(STRONG, now);
  t.is(preference.chooseBetterOwner(0, 2_000), STRONG);
  t.is(preference.chooseBetterOwner(3_000, 10_000), null);
  t.is(preference.chooseBetterOwner(3_000, 40_000), STRONG);
});

test('a VM offers itself only to an owner with half of its processors or less', (t) => {
  t.true(createPreference(1.35).isBetterThan(capacity(0.675)));
  t.false(createPreference(1.35).isBetterThan(capacity(0.7)));
});

test('a VM behind a slow link leaves the ownership to one that is ahead in its link and behind in nothing', (t) => {
  const strong = createPreference(1.35, 200);
  t.true(strong.isBetterThan(capacity(0.81, 10)), 'the owner with a link of 10 Mbit/s was full');
  t.false(createPreference(0.81, 200).isBetterThan(capacity(1.35, 10)));
  t.false(strong.isBetterThan(capacity(1.35, 100)), 'both links are fast enough');
  t.false(strong.isBetterThan(capacity(0.81)), 'a link that is not known decides nothing');
});
