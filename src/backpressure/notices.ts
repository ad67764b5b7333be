/**
 * Table of the signals that servers send to all gateways together, by incarnation. Gateways replicate
 * it by gossip; the latest answer of a server wins, by the stamp of the gateway that heard it. A stamp stays as it is
 * however often its row is passed on, so that each gateway applies a row once and rows that contradict each other come
 * to rest. Rows also carry the age of the answer, as of their sender, by which they expire.
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
  /** `undefined` for an answer to this gateway, and from gateways of an earlier version. */
  stamp: NoticeStamp | undefined;
}

const stampSchema = z.object({ time: z.number(), node: z.string() });

/** Order of notices: a hybrid logical time in ms, of the gateway that heard the answer; names decide between equal ones. */
export type NoticeStamp = z.infer<typeof stampSchema>;

export const noticeRowSchema = z.object({
  server: z.string(),
  isLeaving: z.boolean().default(false),
  limitPerS: z.number().nonnegative().optional(),
  /** Time since the answer, in ms. */
  ageMs: z.number(),
  /** Absent in rows of gateways of an earlier version. */
  stamp: stampSchema.optional(),
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

/**
 * Creates an empty table.
 *
 * @param node the gateway's name
 * @param timeOfDay the time of day in ms; stamps stay above those seen where it is behind
 */
export function createServerNotices(node: string, timeOfDay: () => number): ServerNotices {
  const entries = new Map<string, TableEntry>();
  let newestTime = 0;

  function createStamp(): NoticeStamp {
    newestTime = Math.max(newestTime + 1, timeOfDay());
    return { time: newestTime, node };
  }

  function isOlder(notice: ServerNotice, known: TableEntry, isFromPeer: boolean): boolean {
    if (!isFromPeer) return notice.at < known.at;
    const { stamp } = notice;
    if (stamp === undefined) return notice.at <= known.at;
    return known.stamp !== undefined && compareStamps(stamp, known.stamp) <= 0;
  }

  function isSignificantChange(before: number | undefined, after: number | undefined): boolean {
    if (before === undefined || after === undefined) return before !== after;
    return Math.abs(after - before) > MIN_CHANGE_SHARE * before;
  }

  function pack({ server, isLeaving, limitPerS, at, stamp }: TableEntry, now: number): NoticeRow {
    const row: NoticeRow = { server, isLeaving, ageMs: now - at };
    if (limitPerS !== undefined) row.limitPerS = limitPerS;
    if (stamp !== undefined) row.stamp = stamp;
    return row;
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
      newestTime = Math.max(newestTime, notice.stamp?.time ?? 0);
      const latest = known !== undefined && isOlder(notice, known, isFromPeer) ? known : notice;
      if (latest === known && !startsLeaving) return false;
      const { limitPerS, at } = latest;
      if (known === undefined && limitPerS === undefined && !isLeaving) return false;
      const hasChanged = isSignificantChange(known?.sharedPerS, limitPerS);
      const sharedPerS = isFromPeer || hasChanged ? limitPerS : known?.sharedPerS;
      const isShared = hasChanged || startsLeaving;
      const ownStamp = isShared ? createStamp() : known?.stamp;
      const stamp = isFromPeer ? latest.stamp : ownStamp;
      entries.set(server, { server, isLeaving, limitPerS, at, sharedPerS, stamp });
      return isShared;
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

/** Negative where the first stamp is older. */
function compareStamps(first: NoticeStamp, second: NoticeStamp): number {
  if (first.time !== second.time) return first.time - second.time;
  if (first.node === second.node) return 0;
  return first.node < second.node ? -1 : 1;
}

/**
 * Converts a row from another gateway.
 *
 * @param row the row
 * @param now this gateway's clock, in ms
 */
export function unpackNotice(row: NoticeRow, now: number): ServerNotice {
  const { server, isLeaving, limitPerS, ageMs, stamp } = row;
  return { server, isLeaving, limitPerS, at: now - Math.max(0, ageMs), stamp };
}
