import test from 'ava';
import fc from 'fast-check';

import { createIndexedHeap } from '../utils/indexedHeap.js';
import type { HeapNode } from '../utils/indexedHeap.js';
import { PROPERTY_PARAMETERS } from './properties.js';

interface Value {
  key: number;
}

test('a heap stays ordered when any element is removed or updated', (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(fc.constantFrom('push', 'pop', 'remove', 'update'), fc.nat(50), fc.nat(50)),
        { maxLength: 120 },
      ),
      (steps) => {
        const heap = createIndexedHeap<Value>((left, right) => left.key < right.key);
        let nodes: HeapNode<Value>[] = [];
        steps.forEach(([kind, key, pick]) => {
          const node = nodes[pick % Math.max(1, nodes.length)];
          if (kind === 'push') nodes.push(heap.push({ key }));
          if (kind === 'pop') {
            const smallest = Math.min(...nodes.map(({ value }) => value.key));
            const popped = heap.pop();
            if (popped && popped.key !== smallest) throw new Error('not the smallest');
            nodes = nodes.filter(({ value }) => value !== popped);
          }
          if (kind === 'remove' && node) {
            if (!heap.remove(node) || heap.remove(node)) throw new Error('node not removed once');
            nodes = nodes.filter((other) => other !== node);
          }
          if (kind === 'update' && node) {
            node.value.key = key;
            heap.update(node);
          }
        });
        const rest = Array.from({ length: heap.size() }, () => heap.pop()!.key);
        const expected = nodes.map(({ value }) => value.key).sort((left, right) => left - right);
        return JSON.stringify(rest) === JSON.stringify(expected);
      },
    ),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});
