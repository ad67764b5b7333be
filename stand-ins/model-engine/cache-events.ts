/**
 * The cache events of an engine, shown late and with some of them lost.
 */
import type { CacheEvent } from '../../src/ports/index.js';
import type { Clock, RandomSource } from '../../src/task/index.js';

/** Events of one engine's prefix cache. */
export interface CacheEvents {
  add(kind: CacheEvent['kind'], prefixes: string[]): void;
  /** Events after a sequence number that can be seen by now. */
  list(after: number): CacheEvent[];
}

/** What the events are made of. */
export interface CacheEventTerms {
  clock: Clock;
  random: RandomSource;
  lagMs: number;
  /** Share that gets lost. */
  loss: number;
}

interface PendingEvent {
  shownAt: number;
  event: CacheEvent;
}

const MAX_EVENTS = 2_048;

/** Creates an empty list of events. */
export function createCacheEvents(terms: CacheEventTerms): CacheEvents {
  const { clock, random, lagMs, loss } = terms;
  let events: PendingEvent[] = [];
  let sequence = 0;

  return {
    add(kind, prefixes) {
      sequence += 1;
      if (random.next() < loss) return;
      events.push({ shownAt: clock.now() + lagMs, event: { sequence, kind, prefixes } });
      if (events.length > MAX_EVENTS * 2) events = events.slice(-MAX_EVENTS);
    },
    list(after) {
      const now = clock.now();
      const shown: CacheEvent[] = [];
      for (const { shownAt, event } of events) {
        if (shownAt > now) break;
        if (event.sequence > after) shown.push(event);
      }
      return shown;
    },
  };
}
