/**
 * A binary heap that finds its items again, so that any of them can be taken out or moved after its
 * key changed. Every change costs the logarithm of the size.
 */

/** A heap over items that are compared by identity. */
export interface OrderedHeap<Item> {
  push(item: Item): void;
  /** The first item, left in place. */
  peek(): Item | undefined;
  /** @returns whether the item was there */
  remove(item: Item): boolean;
  /** Restores the order after the item's key changed. */
  update(item: Item): void;
  has(item: Item): boolean;
  size(): number;
  /** All items, in no order. */
  items(): Iterable<Item>;
}

/**
 * Creates an empty heap.
 *
 * @param isBefore whether the first item goes before the second
 */
export function createOrderedHeap<Item>(
  isBefore: (left: Item, right: Item) => boolean,
): OrderedHeap<Item> {
  const heap: Item[] = [];
  const positions = new Map<Item, number>();

  function put(item: Item, position: number): void {
    heap[position] = item;
    positions.set(item, position);
  }

  function rise(item: Item, from: number): void {
    let position = from;
    while (position > 0) {
      const above = (position - 1) >> 1;
      const parent = heap[above];
      if (parent === undefined || !isBefore(item, parent)) break;
      put(parent, position);
      position = above;
    }
    put(item, position);
  }

  function sink(item: Item, from: number): void {
    let position = from;
    for (;;) {
      const below = firstBelow(position);
      const child = heap[below];
      if (child === undefined || !isBefore(child, item)) break;
      put(child, position);
      position = below;
    }
    put(item, position);
  }

  function firstBelow(position: number): number {
    const left = position * 2 + 1;
    const one = heap[left];
    const other = heap[left + 1];
    if (one === undefined || other === undefined) return left;
    return isBefore(other, one) ? left + 1 : left;
  }

  function settle(item: Item, position: number): void {
    rise(item, position);
    sink(item, positions.get(item) ?? position);
  }

  return {
    push(item) {
      rise(item, heap.length);
    },
    peek: () => heap[0],
    remove(item) {
      const position = positions.get(item);
      if (position === undefined) return false;
      positions.delete(item);
      const last = heap.pop();
      if (last !== undefined && last !== item) settle(last, position);
      return true;
    },
    update(item) {
      const position = positions.get(item);
      if (position !== undefined) settle(item, position);
    },
    has: (item) => positions.has(item),
    size: () => heap.length,
    items: () => heap,
  };
}
