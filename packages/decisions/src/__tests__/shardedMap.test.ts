import test from 'ava';
import fc from 'fast-check';

import { createShardedMap } from '../utils/shardedMap.js';
import { PROPERTY } from './properties.js';

test('a sharded map agrees with a plain one, also for short and empty keys', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.constantFrom('set', 'delete'), fc.string({ maxLength: 12 }), fc.nat())),
      (steps) => {
        const map = createShardedMap<number>();
        const model = new Map<string, number>();
        steps.forEach(([kind, key, value]) => {
          if (kind === 'set') {
            map.set(key, value);
            model.set(key, value);
          } else if (map.delete(key) !== model.delete(key)) throw new Error('delete differs');
        });
        return (
          map.size() === model.size && [...model].every(([key, value]) => map.get(key) === value)
        );
      },
    ),
    PROPERTY,
  );
  t.pass();
});
