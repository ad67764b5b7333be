/**
 * What a stand-in received and did, in order. Proofs are judged from it.
 */
import type { Clock } from '../../src/task/index.js';

/** What every entry carries besides its event. */
export interface Stamp {
  /** Grows by one with each entry. */
  sequence: number;
  /** Time since the stand-in started, in milliseconds. */
  atMs: number;
}

/** An entry with its number and time. */
export type Stamped<Entry> = Entry & Stamp;

/** A bounded record. */
export interface History<Entry> {
  add(entry: Entry): void;
  /** Entries after a sequence number, oldest first. */
  entries(after?: number): Stamped<Entry>[];
  /** How many of the oldest entries were let go to keep the bound. */
  dropped(): number;
}

/** What a record is made of. */
export interface HistoryTerms {
  clock: Clock;
  /** Most entries kept. */
  limit: number;
}

/** Creates an empty record. */
export function createHistory<Entry extends object>(terms: HistoryTerms): History<Entry> {
  const startedAt = terms.clock.now();
  let kept: Stamped<Entry>[] = [];
  let sequence = 0;
  let dropped = 0;

  function trim(): void {
    // Letting go of half at a time keeps the cost of one entry constant
    if (kept.length <= terms.limit * 2) return;
    dropped += kept.length - terms.limit;
    kept = kept.slice(-terms.limit);
  }

  return {
    add(entry) {
      sequence += 1;
      kept.push({ ...entry, sequence, atMs: terms.clock.now() - startedAt });
      trim();
    },
    entries: (after = 0) => kept.filter((entry) => entry.sequence > after),
    dropped: () => dropped,
  };
}
