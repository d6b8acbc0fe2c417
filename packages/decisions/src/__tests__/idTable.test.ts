import test from 'ava';
import fc from 'fast-check';

import { createIdTable } from '../utils/idTable.js';
import type { TableEntry } from '../utils/idTable.js';
import { PROPERTY_PARAMETERS } from './properties.js';

interface Item extends TableEntry<Item> {
  readonly id: string;
  readonly value: number;
}

const ID = fc.oneof(
  fc.string({ maxLength: 12 }),
  // Few distinct ids, so that removals often find an entry.
  fc.nat({ max: 30 }).map((index) => `task-${index}`),
);

test('an id table agrees with a Map, also for short and empty ids', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.constantFrom('set', 'remove'), ID, fc.nat()), { maxLength: 300 }),
      (steps) => {
        const table = createIdTable<Item>(({ id }) => id);
        const model = new Map<string, number>();
        steps.forEach(([kind, id, value]) => {
          const removed = table.remove(id);
          if (removed?.value !== model.get(id)) throw new Error('remove differs from the Map');
          model.delete(id);
          if (kind === 'remove') return;
          table.add({ id, value, nextInBucket: null });
          model.set(id, value);
        });
        return (
          table.size() === model.size &&
          [...model].every(([id, value]) => table.get(id)?.value === value)
        );
      },
    ),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('an id table keeps every entry while it grows and removes each entry once', (t) => {
  const table = createIdTable<Item>(({ id }) => id);
  const ids = Array.from({ length: 5_000 }, (_, index) => `${index % 7}-job-${index}/0`);
  ids.forEach((id, value) => table.add({ id, value, nextInBucket: null }));
  t.true(ids.every((id, value) => table.get(id)?.value === value));
  t.true(ids.every((id, value) => table.remove(id)?.value === value));
  t.is(table.size(), 0);
  t.is(table.remove(ids[0]!), null);
});
