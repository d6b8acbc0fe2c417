import test from 'ava';

import { createOwnerPreference } from '../core/ownerPreference.js';

const STRONG = { address: '10.0.0.1:1', processors: 1.35 };
const WEAK = { address: '10.0.0.2:1', processors: 0.324 };

test('a weak owner yields to a peer with twice its processors that stays in contact', (t) => {
  const preference = createOwnerPreference(0.324);
  preference.recordContact(WEAK, 0);
  preference.recordContact(STRONG, 0);
  t.is(preference.chooseBetterOwner(0, 500), null, 'the term is too young');
  preference.recordContact(STRONG, 1_000);
  t.is(preference.chooseBetterOwner(500, 1_200), null, 'the term is too young');
  t.is(preference.chooseBetterOwner(0, 1_200), STRONG);
});

test('a peer that was silent has to stay in contact again before it counts', (t) => {
  const preference = createOwnerPreference(0.324);
  preference.recordContact(STRONG, 0);
  preference.recordContact(STRONG, 1_000);
  t.is(preference.chooseBetterOwner(0, 4_000), null);
  preference.recordContact(STRONG, 4_100);
  t.is(preference.chooseBetterOwner(0, 4_200), null);
  preference.recordContact(STRONG, 5_100);
  t.is(preference.chooseBetterOwner(0, 5_200), STRONG);
});

test('VMs with similar processors never yield to each other', (t) => {
  const preference = createOwnerPreference(0.675);
  for (let now = 0; now < 5_000; now += 1_000) preference.recordContact(STRONG, now);
  t.is(preference.chooseBetterOwner(0, 4_500)?.processors, 1.35);
  const other = createOwnerPreference(0.7);
  for (let now = 0; now < 5_000; now += 1_000) other.recordContact(STRONG, now);
  t.is(other.chooseBetterOwner(0, 4_500), null);
});

test('a process yields once, and then not again for a while if nobody has taken the ownership over', (t) => {
  const preference = createOwnerPreference(0.324);
  for (let now = 0; now <= 40_000; now += 1_000) preference.recordContact(STRONG, now);
  t.is(preference.chooseBetterOwner(0, 2_000), STRONG);
  t.is(preference.chooseBetterOwner(3_000, 10_000), null);
  t.is(preference.chooseBetterOwner(3_000, 40_000), STRONG);
});

test('a VM offers itself only to an owner with half of its processors or less', (t) => {
  t.true(createOwnerPreference(1.35).isBetterThan(0.675));
  t.false(createOwnerPreference(1.35).isBetterThan(0.7));
});
