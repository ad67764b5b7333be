/**
 * Table of the signals that servers send to all gateways together, by incarnation. Gateways replicate
 * it by gossip; the latest answer of a server wins. Rows carry the age of the answer, since the
 * gateways' clocks differ.
 */
import * as z from 'zod';
import { hashName } from '../gossip/index.js';

/** Minimum relative change of a limit that is sent to other gateways, so that a server that
 * recalculates its limit for each answer does not cause constant gossip. */
const MIN_CHANGE_SHARE = 0.1;
/** Retention of an entry that no answer has confirmed, in ms; a later answer restores it. */
const RETENTION_MS = 60_000;

/** Signals of a server to all gateways. */
export interface ServerNotice {
  /** The incarnation. */
  server: string;
  /** The server is draining. */
  isLeaving: boolean;
  /** Requests per second; `undefined` without a limit. */
  limitPerS: number | undefined;
  /** When the server answered, on this gateway's clock in ms. */
  at: number;
}

export const noticeRowSchema = z.object({
  server: z.string(),
  isLeaving: z.boolean().default(false),
  limitPerS: z.number().nonnegative().optional(),
  /** Time since the answer, in ms. */
  ageMs: z.number(),
});

/** A notice on the wire. */
export type NoticeRow = z.infer<typeof noticeRowSchema>;

export const noticesMessageSchema = z.object({
  kind: z.literal('notices'),
  rows: z.array(noticeRowSchema),
});

/** Notices from one gateway to another. */
export type NoticesMessage = z.infer<typeof noticesMessageSchema>;

interface TableEntry extends ServerNotice {
  /** The limit that was last sent to or received from other gateways; the digest covers it. */
  sharedPerS: number | undefined;
}

/** The table of one gateway. */
export interface ServerNotices {
  limitOf: (server: string) => number | undefined;
  isLeaving: (server: string) => boolean;
  /**
   * Applies a notice if it is newer than the known one.
   *
   * @param notice the notice
   * @param isFromPeer whether it came from another gateway
   * @returns whether to send it to other gateways
   */
  apply(notice: ServerNotice, isFromPeer: boolean): boolean;
  /** All rows, without expired ones. */
  rows(now: number): NoticeRow[];
  rowOf(server: string, now: number): NoticeRow | undefined;
  /** Hash of the table, equal on gateways with the same content; 0 without signals. */
  digest: () => number;
  forget(server: string): void;
}

/** Creates an empty table. */
export function createServerNotices(): ServerNotices {
  const entries = new Map<string, TableEntry>();

  function isSignificantChange(before: number | undefined, after: number | undefined): boolean {
    if (before === undefined || after === undefined) return before !== after;
    return Math.abs(after - before) > MIN_CHANGE_SHARE * before;
  }

  function pack({ server, isLeaving, limitPerS, at }: TableEntry, now: number): NoticeRow {
    return { server, isLeaving, ageMs: now - at, ...(limitPerS !== undefined && { limitPerS }) };
  }

  return {
    limitOf: (server) => entries.get(server)?.limitPerS,
    isLeaving: (server) => entries.get(server)?.isLeaving === true,
    apply(notice, isFromPeer) {
      const { server } = notice;
      const known = entries.get(server);
      // leaving is final for an incarnation, so that it applies even from an older notice
      const isLeaving = notice.isLeaving || known?.isLeaving === true;
      const startsLeaving = isLeaving && known?.isLeaving !== true;
      const isOlder =
        known !== undefined && (isFromPeer ? notice.at <= known.at : notice.at < known.at);
      const latest = isOlder ? known : notice;
      if (latest === known && !startsLeaving) return false;
      const { limitPerS, at } = latest;
      if (known === undefined && limitPerS === undefined && !isLeaving) return false;
      const hasChanged = isSignificantChange(known?.sharedPerS, limitPerS);
      const sharedPerS = isFromPeer || hasChanged ? limitPerS : known?.sharedPerS;
      entries.set(server, { server, isLeaving, limitPerS, at, sharedPerS });
      return hasChanged || startsLeaving;
    },
    rows(now) {
      const found: NoticeRow[] = [];
      for (const entry of [...entries.values()]) {
        if (now - entry.at > RETENTION_MS) entries.delete(entry.server);
        else found.push(pack(entry, now));
      }
      return found;
    },
    rowOf(server, now) {
      const entry = entries.get(server);
      return entry === undefined ? undefined : pack(entry, now);
    },
    digest() {
      let sum = 0;
      for (const { server, isLeaving, sharedPerS } of entries.values()) {
        if (!isLeaving && sharedPerS === undefined) continue;
        sum = (sum + hashName(`${server}/${isLeaving}/${sharedPerS ?? ''}`)) >>> 0;
      }
      return sum;
    },
    forget(server) {
      entries.delete(server);
    },
  };
}

/**
 * Converts a row from another gateway.
 *
 * @param row the row
 * @param now this gateway's clock, in ms
 */
export function unpackNotice(row: NoticeRow, now: number): ServerNotice {
  const { server, isLeaving, limitPerS, ageMs } = row;
  return { server, isLeaving, limitPerS, at: now - Math.max(0, ageMs) };
}
