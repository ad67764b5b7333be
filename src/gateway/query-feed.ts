/**
 * Hedged queries to a feed of the store. A call that was lost in an outage or on a dead connection ends only
 * with its timeout, which is longer than the time allowed for a change; so another call is sent while a
 * response is overdue. Earlier calls stay open, so that the response of a slow store is used as well.
 */
import { Err, type Result } from 'ts-results-es';
import type { Log } from '../events/index.js';
import type { FeedBatch, FeedFailure, RowFeed } from '../ports/row-feed.js';
import type { Clock, Timer } from '../task/index.js';
import type { StoreHealth } from './store-health.js';

/** Dependencies of a feed query. */
export interface FeedQueryParts<Item> {
  name: string;
  feed: RowFeed<Item>;
  clock: Clock;
  log: Log;
  storeHealth: StoreHealth;
  signal: AbortSignal;
}

/** One query. */
export interface FeedQuery {
  /** Revision of the last read; `undefined` reads everything. */
  after: number | undefined;
  /** Long-poll time of the first call, in ms; further calls return at once. */
  longPollMs: number;
  /** Time after the long poll without a first byte until the response is overdue, in ms. */
  overdueMs: number;
}

/** A call in flight. */
interface SentCall {
  /** Send time on the gateway's clock, in ms. */
  at: number;
}

/**
 * Queries a feed until a call succeeds or none is in flight.
 *
 * @param parts the feed, and where failed calls are recorded
 * @param query what to read, and for how long
 */
export function queryFeed<Item>(
  parts: FeedQueryParts<Item>,
  query: FeedQuery,
): Promise<Result<FeedBatch<Item>, FeedFailure>> {
  const { feed, clock, storeHealth, signal } = parts;
  const { after, longPollMs, overdueMs } = query;
  const abortAll = new AbortController();
  const inFlight = new Set<SentCall>();
  let latest: SentCall = { at: clock.now() };
  let hasBegun = false;
  let timer: Timer | undefined;

  return new Promise((resolve) => {
    const stopListening = storeHealth.onRecovered(() => {
      send(0);
    });
    signal.addEventListener('abort', cancel);
    send(longPollMs);

    function send(waitMs: number): void {
      const sent = { at: clock.now() };
      latest = sent;
      inFlight.add(sent);
      timer?.cancel();
      timer = clock.after(waitMs + overdueMs, hedge);
      void callStore(waitMs).then((result) => {
        handleResult(result, sent);
      });
    }

    function callStore(waitMs: number): Promise<Result<FeedBatch<Item>, FeedFailure>> {
      if (after === undefined) return feed.readAll(abortAll.signal, markBegun);
      return feed.next(after, waitMs, abortAll.signal, markBegun);
    }

    function markBegun(): void {
      hasBegun = true;
    }

    /** Sends another call, unless a response is already arriving: it may be long and the link slow. */
    function hedge(): void {
      if (!hasBegun) {
        reportFailure('the response is overdue', latest);
        if (storeHealth.mayProbe(overdueMs)) {
          send(0);
          return;
        }
      }
      timer = clock.after(overdueMs, hedge);
    }

    function handleResult(result: Result<FeedBatch<Item>, FeedFailure>, sent: SentCall): void {
      if (abortAll.signal.aborted) return;
      inFlight.delete(sent);
      if (result.isOk() || result.error.kind === 'history-lost') {
        finish(result);
        return;
      }
      hasBegun = false;
      reportFailure(result.error.reason, sent);
      if (inFlight.size === 0) finish(Err(result.error));
    }

    function reportFailure(reason: string, { at }: SentCall): void {
      const waitedMs = Math.round(clock.now() - at);
      parts.log.write('storeCallFailed', { feed: parts.name, after, waitedMs, reason });
      storeHealth.failed({ feed: parts.name, sentAt: at, reason });
    }

    function finish(result: Result<FeedBatch<Item>, FeedFailure>): void {
      timer?.cancel();
      stopListening();
      signal.removeEventListener('abort', cancel);
      abortAll.abort();
      resolve(result);
    }

    function cancel(): void {
      finish(Err({ kind: 'cancelled', reason: 'the gateway is stopping' }));
    }
  });
}
