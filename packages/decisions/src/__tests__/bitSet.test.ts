import test from 'ava';
import fc from 'fast-check';

import { createBitSet } from '../utils/bitSet.js';
import { LEVEL_COUNT, toLevel } from '../utils/levels.js';
import { PROPERTY_PARAMETERS } from './properties.js';

test('the next and the previous member agree with a sorted list', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(LEVEL_COUNT - 1)),
      fc.array(fc.nat(LEVEL_COUNT - 1)),
      fc.integer({ min: 0, max: LEVEL_COUNT }),
      (added, removed, from) => {
        const set = createBitSet(LEVEL_COUNT);
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
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('a larger amount never has a lower level, so that a search never starts above a worker that fits', (t) => {
  fc.assert(
    fc.property(fc.nat(), fc.nat(), (left, right) => {
      const [small, large] = left < right ? [left, right] : [right, left];
      const level = toLevel(large, 125);
      return toLevel(small, 125) <= level && level < LEVEL_COUNT;
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});
