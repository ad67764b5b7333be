/**
 * Asks the store for changes, and asks again while an answer is overdue. A call that went into an outage
 * or a silent connection never ends by itself, and waiting for its timeout would cost the time in which a
 * change has to be in force. Earlier calls stay open until then, so a slow store is heard as well.
 */
import { Err, type Result } from 'ts-results-es';
import type { Log } from '../events/index.js';
import type { FeedBatch, FeedFailure, RowFeed } from '../ports/row-feed.js';
import type { Clock, Timer } from '../task/index.js';
import type { StoreHealth } from './store-health.js';

/** What asking needs. */
export interface FeedQueryParts<Item> {
  name: string;
  feed: RowFeed<Item>;
  clock: Clock;
  log: Log;
  storeHealth: StoreHealth;
  signal: AbortSignal;
}

/** One question. */
export interface FeedQuery {
  /** The revision of the last read; `undefined` asks for everything. */
  after: number | undefined;
  /** How long the store may hold the first call, in ms; further calls are not held. */
  longPollMs: number;
  /** An answer that has not begun so long after the hold is overdue, in ms. */
  overdueMs: number;
}

/** A call that is out. */
interface Sent {
  /** On the gateway's clock, in ms. */
  at: number;
}

/**
 * Asks until a call is answered or none is out any more.
 *
 * @param parts the feed and who hears of lost calls
 * @param question what is asked
 */
export function queryFeed<Item>(
  parts: FeedQueryParts<Item>,
  question: FeedQuery,
): Promise<Result<FeedBatch<Item>, FeedFailure>> {
  const { feed, clock, storeHealth, signal } = parts;
  const { after, longPollMs, overdueMs } = question;
  const ending = new AbortController();
  const out = new Set<Sent>();
  let newest: Sent = { at: clock.now() };
  let hasBegun = false;
  let timer: Timer | undefined;

  return new Promise((resolve) => {
    const stopListening = storeHealth.onRecovered(() => {
      send(0);
    });
    signal.addEventListener('abort', end);
    send(longPollMs);

    function send(waitMs: number): void {
      const sent = { at: clock.now() };
      newest = sent;
      out.add(sent);
      timer?.cancel();
      timer = clock.after(waitMs + overdueMs, sendAgain);
      void call(waitMs).then((result) => {
        take(result, sent);
      });
    }

    function call(waitMs: number): Promise<Result<FeedBatch<Item>, FeedFailure>> {
      if (after === undefined) return feed.readAll(ending.signal, begin);
      return feed.next(after, waitMs, ending.signal, begin);
    }

    function begin(): void {
      hasBegun = true;
    }

    /** A long answer over a slow link is not asked for twice. */
    function sendAgain(): void {
      if (!hasBegun) {
        note('the answer is overdue', newest);
        if (storeHealth.mayProbe(overdueMs)) {
          send(0);
          return;
        }
      }
      timer = clock.after(overdueMs, sendAgain);
    }

    function take(result: Result<FeedBatch<Item>, FeedFailure>, sent: Sent): void {
      if (ending.signal.aborted) return;
      out.delete(sent);
      if (result.isOk() || result.error.kind === 'history-lost') {
        finish(result);
        return;
      }
      hasBegun = false;
      note(result.error.reason, sent);
      if (out.size === 0) finish(Err(result.error));
    }

    function note(reason: string, { at }: Sent): void {
      const waitedMs = Math.round(clock.now() - at);
      parts.log.write('storeCallFailed', { feed: parts.name, after, waitedMs, reason });
      storeHealth.failed({ feed: parts.name, sentAt: at, reason });
    }

    function finish(result: Result<FeedBatch<Item>, FeedFailure>): void {
      timer?.cancel();
      stopListening();
      signal.removeEventListener('abort', end);
      ending.abort();
      resolve(result);
    }

    function end(): void {
      finish(Err({ kind: 'cancelled', reason: 'the gateway ends' }));
    }
  });
}
