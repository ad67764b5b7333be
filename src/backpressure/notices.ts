/**
 * What servers ask of all gateways together, by incarnation: a small table that all gateways keep alike. The latest
 * answer of a server counts; gateways tell each other its age, since their clocks differ.
 */
import * as z from 'zod';
import { hashName } from '../gossip/index.js';

/** A limit that differs by less than this part from the one that others were told is not told again: a server that works
 * out its limit anew for each answer would have them all tell each other without end. */
const TOLD_SHARE = 0.1;
/** What no answer has confirmed for so long is dropped, in ms: the server is gone, or nothing is sent to it, and the
 * next answer says it again. */
const MEMORY_MS = 60_000;

/** What a server asks of all gateways. */
export interface ServerNotice {
  /** The incarnation. */
  server: string;
  /** It takes nothing new until it is gone. */
  isLeaving: boolean;
  /** Requests a second; `undefined` where it names no limit any more. */
  limitPerS: number | undefined;
  /** When its answer said so, on this gateway's clock in ms. */
  at: number;
}

export const noticeRowSchema = z.object({
  server: z.string(),
  isLeaving: z.boolean().default(false),
  limitPerS: z.number().nonnegative().optional(),
  /** Time since the answer, in ms. */
  ageMs: z.number(),
});

/** A notice as it is told. */
export type NoticeRow = z.infer<typeof noticeRowSchema>;

export const noticesMessageSchema = z.object({
  kind: z.literal('notices'),
  rows: z.array(noticeRowSchema),
});

/** What servers ask for, as one gateway tells another. */
export type NoticesMessage = z.infer<typeof noticesMessageSchema>;

interface Entry extends ServerNotice {
  /** The limit as others were told it last, or told it. */
  toldPerS: number | undefined;
}

/** The table of one gateway. */
export interface ServerNotices {
  limitOf: (server: string) => number | undefined;
  isLeaving: (server: string) => boolean;
  /**
   * Takes an answer in.
   *
   * @param notice what it said
   * @param isTold whether it is another gateway's word
   * @returns whether others are to be told
   */
  apply(notice: ServerNotice, isTold: boolean): boolean;
  /** All that is known, to be told. */
  rows(now: number): NoticeRow[];
  rowOf(server: string, now: number): NoticeRow | undefined;
  /** A number that is the same in all gateways that know the same; 0 where no server asks for anything. */
  digest: () => number;
  forget(server: string): void;
}

/** Creates an empty table. */
export function createServerNotices(): ServerNotices {
  const entries = new Map<string, Entry>();

  function isNews(before: number | undefined, after: number | undefined): boolean {
    if (before === undefined || after === undefined) return before !== after;
    return Math.abs(after - before) > TOLD_SHARE * before;
  }

  function pack({ server, isLeaving, limitPerS, at }: Entry, now: number): NoticeRow {
    return { server, isLeaving, ageMs: now - at, ...(limitPerS !== undefined && { limitPerS }) };
  }

  return {
    limitOf: (server) => entries.get(server)?.limitPerS,
    isLeaving: (server) => entries.get(server)?.isLeaving === true,
    apply(notice, isTold) {
      const { server } = notice;
      const known = entries.get(server);
      const isLeaving = notice.isLeaving || known?.isLeaving === true;
      const hasLeft = isLeaving && known?.isLeaving !== true;
      // an incarnation that leaves doesn't come back, whichever answer comes last
      const isOlder =
        known !== undefined && (isTold ? notice.at <= known.at : notice.at < known.at);
      const latest = isOlder ? known : notice;
      if (latest === known && !hasLeft) return false;
      const { limitPerS, at } = latest;
      if (known === undefined && limitPerS === undefined && !isLeaving) return false;
      const hasChanged = isNews(known?.toldPerS, limitPerS);
      const toldPerS = isTold || hasChanged ? limitPerS : known?.toldPerS;
      entries.set(server, { server, isLeaving, limitPerS, at, toldPerS });
      return hasChanged || hasLeft;
    },
    rows(now) {
      const found: NoticeRow[] = [];
      for (const entry of [...entries.values()]) {
        if (now - entry.at > MEMORY_MS) entries.delete(entry.server);
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
      for (const { server, isLeaving, toldPerS } of entries.values()) {
        if (!isLeaving && toldPerS === undefined) continue;
        sum = (sum + hashName(`${server}/${isLeaving}/${toldPerS ?? ''}`)) >>> 0;
      }
      return sum;
    },
    forget(server) {
      entries.delete(server);
    },
  };
}

/**
 * Reads a notice that was told.
 *
 * @param row a peer's
 * @param now this gateway's clock, in ms
 */
export function unpackNotice(row: NoticeRow, now: number): ServerNotice {
  const { server, isLeaving, limitPerS, ageMs } = row;
  return { server, isLeaving, limitPerS, at: now - Math.max(0, ageMs) };
}
