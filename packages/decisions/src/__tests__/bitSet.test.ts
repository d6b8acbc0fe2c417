import test from 'ava';
import fc from 'fast-check';

import { createBitSet } from '../utils/bitSet.js';
import { LEVELS, levelOf } from '../utils/levels.js';
import { PROPERTY } from './properties.js';

test('the next and the previous member agree with a sorted list', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(LEVELS - 1)),
      fc.array(fc.nat(LEVELS - 1)),
      fc.integer({ min: 0, max: LEVELS }),
      (added, removed, from) => {
        const set = createBitSet(LEVELS);
        added.forEach(set.add);
        removed.forEach(set.remove);
        const members = added.filter((member) => !removed.includes(member));
        const above = members.filter((member) => member >= from);
        const below = members.filter((member) => member < from);
        return (
          set.next(from) === (above.length > 0 ? Math.min(...above) : -1) &&
          set.previous(from - 1) === (below.length > 0 ? Math.max(...below) : -1)
        );
      },
    ),
    PROPERTY,
  );
  t.pass();
});

test('levels never fall with the amount, so that a search never starts above a worker with room', (t) => {
  fc.assert(
    fc.property(fc.nat(), fc.nat(), (left, right) => {
      const [small, large] = left < right ? [left, right] : [right, left];
      const level = levelOf(large, 125);
      return levelOf(small, 125) <= level && level < LEVELS;
    }),
    PROPERTY,
  );
  t.pass();
});
