/**
 * An indexed binary heap: any item can be removed, or moved after its key changed, in O(log n).
 */

/** A heap of items that are identified by reference. */
export interface OrderedHeap<Item> {
  push(item: Item): void;
  /** The first item, without removing it. */
  peek(): Item | undefined;
  /** @returns whether the item was in the heap */
  remove(item: Item): boolean;
  /** Restores the order after the item's key changed. */
  update(item: Item): void;
  has(item: Item): boolean;
  size(): number;
  /** All items, in no particular order; the heap must not change during the iteration. */
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

  function siftUp(item: Item, from: number): void {
    let position = from;
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = heap[parentPosition];
      if (parent === undefined || !isBefore(item, parent)) break;
      put(parent, position);
      position = parentPosition;
    }
    put(item, position);
  }

  function siftDown(item: Item, from: number): void {
    let position = from;
    for (;;) {
      const childPosition = firstChild(position);
      const child = heap[childPosition];
      if (child === undefined || !isBefore(child, item)) break;
      put(child, position);
      position = childPosition;
    }
    put(item, position);
  }

  /** Position of the child that goes before the other one. */
  function firstChild(position: number): number {
    const leftPosition = position * 2 + 1;
    const left = heap[leftPosition];
    const right = heap[leftPosition + 1];
    if (left === undefined || right === undefined) return leftPosition;
    return isBefore(right, left) ? leftPosition + 1 : leftPosition;
  }

  function restoreOrder(item: Item, position: number): void {
    siftUp(item, position);
    siftDown(item, positions.get(item) ?? position);
  }

  return {
    push(item) {
      siftUp(item, heap.length);
    },
    peek: () => heap[0],
    remove(item) {
      const position = positions.get(item);
      if (position === undefined) return false;
      positions.delete(item);
      const last = heap.pop();
      if (last !== undefined && last !== item) restoreOrder(last, position);
      return true;
    },
    update(item) {
      const position = positions.get(item);
      if (position !== undefined) restoreOrder(item, position);
    },
    has: (item) => positions.has(item),
    size: () => heap.length,
    items: () => heap,
  };
}
