/**
 * Virtual time for one run: events in the order of their times, with every promise settled between
 * two of them. Nothing here waits for real, so a run depends on its seed alone.
 */
import type { Timer } from '../../../src/task/index.js';

interface Event {
  at: number;
  sequence: number;
  action: () => void;
  isCancelled: boolean;
}

const MOST_AT_ONCE = 20_000;

/** The time of one run, in milliseconds from 0. */
export interface VirtualTime {
  now(): number;
  /** Calls `action` once after `delayMs`. */
  after(delayMs: number, action: () => void): Timer;
  /** Runs all events up to a time, and stands there. */
  runUntil(until: number): Promise<void>;
}

/** Creates a time that stands at 0. */
export function createVirtualTime(): VirtualTime {
  const heap: Event[] = [];
  let now = 0;
  let sequence = 0;
  let eventsAtOnce = 0;

  /** A task that sets timers of no length for ever would keep the time from going on. */
  function noteEvent(at: number): void {
    eventsAtOnce = at === now ? eventsAtOnce + 1 : 0;
    if (eventsAtOnce > MOST_AT_ONCE) throw new Error(`time stands still at ${at} ms`);
  }

  async function runUntil(until: number): Promise<void> {
    await settle();
    for (let next = heap[0]; next !== undefined && next.at <= until; next = heap[0]) {
      takeFirst(heap);
      if (next.isCancelled) continue;
      noteEvent(next.at);
      now = next.at;
      next.action();
      await settle();
    }
    now = until;
  }

  return {
    now: () => now,
    after(delayMs, action) {
      const at = now + Math.max(0, delayMs);
      const event: Event = { at, sequence, action, isCancelled: false };
      sequence += 1;
      insert(heap, event);
      return {
        cancel: () => {
          event.isCancelled = true;
        },
      };
    },
    runUntil,
  };
}

/** Lets every promise that can settle do so. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isBefore(left: Event | undefined, right: Event | undefined): boolean {
  if (left === undefined || right === undefined) return right === undefined;
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}

function insert(heap: Event[], event: Event): void {
  let index = heap.length;
  heap.push(event);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(heap[index], heap[parent])) return;
    swap(heap, index, parent);
    index = parent;
  }
}

function takeFirst(heap: Event[]): void {
  const last = heap.pop();
  if (last === undefined || heap.length === 0) return;
  heap[0] = last;
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    const child = isBefore(heap[left + 1], heap[left]) ? left + 1 : left;
    if (heap[child] === undefined || !isBefore(heap[child], heap[index])) return;
    swap(heap, index, child);
    index = child;
  }
}

function swap(heap: Event[], left: number, right: number): void {
  const [first, second] = [heap[left], heap[right]];
  if (first === undefined || second === undefined) return;
  heap[left] = second;
  heap[right] = first;
}
