/**
 * News that is to be passed on, for each partner what it has not heard yet. Items of one key
 * replace each other, the newer the older; an item that a partner sent is not sent back. So each
 * item crosses a link about once, whichever way it came.
 */

/** What partners have yet to hear. */
export interface Outbox<Item> {
  /** Queues an item for each partner but the one it came from. */
  add(item: Item, from?: string): void;
  /** A partner sent an item, so that it need not be sent to it. */
  markKnown(item: Item, from: string): void;
  /** Takes what a partner has yet to hear. */
  take(partner: string): Item[];
  /** Whether no partner has anything left to hear. */
  isEmpty(): boolean;
}

/** How items relate. */
export interface ItemOrder<Item> {
  /** Items of one key replace each other. */
  key(item: Item): string;
  /** Among items of one key, the greater is the newer. */
  version(item: Item): number;
}

/**
 * Creates an empty outbox.
 *
 * @param partners names of the partners at the moment
 * @param order how items relate
 */
export function createOutbox<Item>(
  partners: () => readonly string[],
  order: ItemOrder<Item>,
): Outbox<Item> {
  const queues = new Map<string, Map<string, Item>>();

  function queueOf(partner: string): Map<string, Item> {
    const queue = queues.get(partner) ?? new Map<string, Item>();
    queues.set(partner, queue);
    return queue;
  }

  return {
    add(item, from) {
      const key = order.key(item);
      for (const partner of partners()) {
        if (partner !== from) queueOf(partner).set(key, item);
      }
    },
    markKnown(item, from) {
      const queue = queues.get(from);
      const key = order.key(item);
      const queued = queue?.get(key);
      if (queued !== undefined && order.version(queued) <= order.version(item)) queue?.delete(key);
    },
    take(partner) {
      const queue = queues.get(partner);
      queues.delete(partner);
      return queue === undefined ? [] : [...queue.values()];
    },
    isEmpty() {
      for (const queue of queues.values()) {
        if (queue.size > 0) return false;
      }
      return true;
    },
  };
}
