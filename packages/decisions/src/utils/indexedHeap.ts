/** An element of an {@link IndexedHeap}. It stores its own position, so that removal needs no search. */
export interface HeapNode<Value> {
  readonly value: Value;
  /** Index in the heap, or -1 after removal. */
  position: number;
}

/** Binary heap with removal of any element in logarithmic time. */
export interface IndexedHeap<Value> {
  push(value: Value): HeapNode<Value>;
  peek(): Value | null;
  pop(): Value | null;
  /** @returns false if the node is no longer in the heap */
  remove(node: HeapNode<Value>): boolean;
  /** Restores the order after the value of a node changed. */
  update(node: HeapNode<Value>): void;
  size(): number;
}

/**
 * Creates an empty heap.
 *
 * @param isBefore strict order; the top is the value that precedes all others
 */
export function createIndexedHeap<Value>(
  isBefore: (left: Value, right: Value) => boolean,
): IndexedHeap<Value> {
  const nodes: HeapNode<Value>[] = [];

  function put(node: HeapNode<Value>, position: number): void {
    nodes[position] = node;
    node.position = position;
  }

  function siftUp(node: HeapNode<Value>): void {
    let { position } = node;
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = nodes[parentPosition]!;
      if (!isBefore(node.value, parent.value)) break;
      put(parent, position);
      position = parentPosition;
    }
    put(node, position);
  }

  function firstChildOf(position: number): number {
    const left = 2 * position + 1;
    const right = left + 1;
    if (right >= nodes.length) return left;
    return isBefore(nodes[right]!.value, nodes[left]!.value) ? right : left;
  }

  function siftDown(node: HeapNode<Value>): void {
    let { position } = node;
    let child = firstChildOf(position);
    while (child < nodes.length && isBefore(nodes[child]!.value, node.value)) {
      put(nodes[child]!, position);
      position = child;
      child = firstChildOf(position);
    }
    put(node, position);
  }

  function update(node: HeapNode<Value>): void {
    if (node.position < 0) return;
    siftUp(node);
    siftDown(node);
  }

  function remove(node: HeapNode<Value>): boolean {
    const { position } = node;
    if (position < 0) return false;
    const last = nodes.pop()!;
    node.position = -1;
    if (last !== node) {
      put(last, position);
      update(last);
    }
    return true;
  }

  return {
    push(value) {
      const node = { value, position: nodes.length };
      nodes.push(node);
      siftUp(node);
      return node;
    },
    peek: () => nodes[0]?.value ?? null,
    pop() {
      const top = nodes[0];
      if (!top) return null;
      remove(top);
      return top.value;
    },
    remove,
    update,
    size: () => nodes.length,
  };
}
