import test from 'ava';
import fc from 'fast-check';

import {
  addResources,
  coversResources,
  hasRoomBeside,
  isWithinLimit,
  NO_RESOURCES,
} from '../utils/resourceAmounts.js';

const amounts = fc.record({
  processors: fc.integer({ min: 0, max: 64_000 }).map((units) => units / 1_000),
  memoryBytes: fc.integer({ min: 0, max: 1_000_000_000_000 }),
  accelerators: fc.integer({ min: 0, max: 8 }),
});

// Sums of fractions of processors kept rounding errors, which an exact comparison with a limit then saw.
test('amounts that are added and subtracted in any order leave nothing behind', (t) => {
  fc.assert(
    fc.property(fc.array(amounts, { maxLength: 50 }), fc.integer(), (list, seed) => {
      const order = list
        .map((added, index) => ({ added, key: Math.sin(seed + index) }))
        .sort((left, right) => left.key - right.key);
      const sum = list.reduce((total, added) => addResources(total, added), NO_RESOURCES);
      const rest = order.reduce((total, { added }) => addResources(total, added, -1), sum);
      return (
        hasRoomBeside(NO_RESOURCES, rest, NO_RESOURCES) &&
        rest.processors + rest.memoryBytes + rest.accelerators === 0
      );
    }),
    { seed: 1 },
  );
  t.pass();
});

test('a limit covers the sum of its parts, and not a thousandth of a processor more', (t) => {
  fc.assert(
    fc.property(fc.array(amounts, { minLength: 1, maxLength: 50 }), (list) => {
      const sum = list.reduce((total, added) => addResources(total, added), NO_RESOURCES);
      const more = addResources(sum, { ...NO_RESOURCES, processors: 0.001 });
      return (
        isWithinLimit(sum, sum) &&
        coversResources(sum, sum) &&
        (sum.processors === 0 || !isWithinLimit(sum, more)) &&
        !coversResources(sum, more)
      );
    }),
    { seed: 2 },
  );
  t.pass();
});

test('a dimension with a limit of 0 is not limited', (t) => {
  const limit = { ...NO_RESOURCES, processors: 1 };
  t.true(isWithinLimit(limit, { processors: 1, memoryBytes: 1e12, accelerators: 9 }));
  t.false(isWithinLimit(limit, { processors: 1.001, memoryBytes: 0, accelerators: 0 }));
});
