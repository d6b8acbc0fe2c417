/**
 * Groups items.
 *
 * @param items items to group
 * @param keyOf gives the group of an item
 * @returns items by group, in their order
 */
export function groupBy<Item, Key>(
  items: readonly Item[],
  keyOf: (item: Item) => Key,
): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  });
  return groups;
}
