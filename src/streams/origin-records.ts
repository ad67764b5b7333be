/**
 * Bounded table of where streams began, by the attempt that began them. The first record of an attempt holds: a stream
 * begins once.
 */
import type { StreamOrigin } from './messages.js';

/** Most records; when there are more, the oldest is dropped. Each takes some 240 bytes. */
export const MAX_RECORDS = 30_000;
/** Records that are checked for expiry with each new one, so that expiry never takes long at once. */
const CHECKED_PER_RECORD = 2;

/** A record of where a stream began. */
interface OriginRecord {
  origin: StreamOrigin;
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
  find(attempt: string, now: number): StreamOrigin | undefined;
  /** The records that have not expired, with how long their streams may still be continued, in milliseconds. */
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

  return {
    add(attempt, origin, keepMs, now) {
      const known = records.get(attempt);
      const isKnown = known !== undefined && known.expiresAt > now;
      const expiresAt = Math.max(now + keepMs, isKnown ? known.expiresAt : 0);
      records.delete(attempt);
      records.set(attempt, { origin: isKnown ? known.origin : origin, expiresAt });
      dropOldest(now);
    },
    find(attempt, now) {
      const record = records.get(attempt);
      return record === undefined || record.expiresAt <= now ? undefined : record.origin;
    },
    *list(now) {
      for (const [attempt, { origin, expiresAt }] of records) {
        if (expiresAt > now) yield [attempt, origin, expiresAt - now];
      }
    },
    size: () => records.size,
  };
}
