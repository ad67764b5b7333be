/**
 * Bounded table of where streams began, by the attempt that began them. A stream begins once: where records of an attempt
 * contradict each other, it is not known which holds.
 */
import { isSameOrigin, type StreamOrigin } from './messages.js';

/** Most records; when there are more, the oldest is dropped. Each takes some 240 bytes. */
export const MAX_RECORDS = 30_000;
/** Records that are checked for expiry with each new one, so that expiry never takes long at once. */
const CHECKED_PER_RECORD = 2;

/** A record of where a stream began. */
interface OriginRecord {
  /** More than one if records contradict each other. */
  origins: readonly StreamOrigin[];
  /** On the gateway's clock, in ms. */
  expiresAt: number;
}

/** Where streams began. */
export interface OriginRecords {
  /**
   * Adds a record, or prolongs the one that there is.
   *
   * @param keepMs how long the stream may be continued, in milliseconds
   */
  add(attempt: string, origin: StreamOrigin, keepMs: number, now: number): void;
  /** Where the stream began; `undefined` without a record, or if records contradict each other. */
  find(attempt: string, now: number): StreamOrigin | undefined;
  /** Whether records of an attempt contradict each other, so that nobody can tell where the stream began. */
  isContradicted(attempt: string, now: number): boolean;
  /** The records that have not expired, contradicting ones too, with how long their streams may still be continued, in
   * milliseconds. */
  list(now: number): Iterable<[attempt: string, origin: StreamOrigin, keepMs: number]>;
  size(): number;
}

/** Creates an empty table. */
export function createOriginRecords(): OriginRecords {
  /** In the order in which they were added or prolonged. */
  const records = new Map<string, OriginRecord>();

  function dropOldest(now: number): void {
    let checked = 0;
    for (const [attempt, { expiresAt }] of records) {
      if (checked >= CHECKED_PER_RECORD) return;
      checked += 1;
      if (expiresAt > now && records.size <= MAX_RECORDS) return;
      records.delete(attempt);
    }
  }

  function originsOf(attempt: string, now: number): readonly StreamOrigin[] {
    const record = records.get(attempt);
    return record === undefined || record.expiresAt <= now ? [] : record.origins;
  }

  return {
    add(attempt, origin, keepMs, now) {
      const known = records.get(attempt);
      const isKnown = known !== undefined && known.expiresAt > now;
      const expiresAt = Math.max(now + keepMs, isKnown ? known.expiresAt : 0);
      records.delete(attempt);
      records.set(attempt, { origins: merge(isKnown ? known.origins : [], origin), expiresAt });
      dropOldest(now);
    },
    find(attempt, now) {
      const [origin, contradicting] = originsOf(attempt, now);
      return contradicting === undefined ? origin : undefined;
    },
    isContradicted: (attempt, now) => originsOf(attempt, now).length > 1,
    *list(now) {
      for (const [attempt, { origins, expiresAt }] of records) {
        if (expiresAt <= now) continue;
        for (const origin of origins) yield [attempt, origin, expiresAt - now];
      }
    },
    size: () => records.size,
  };
}

/** Adds an origin; two that contradict each other say all that there is to know. */
function merge(origins: readonly StreamOrigin[], added: StreamOrigin): readonly StreamOrigin[] {
  if (origins.length > 1 || origins.some((origin) => isSameOrigin(origin, added))) return origins;
  return [...origins, added];
}
