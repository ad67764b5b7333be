/**
 * Follows a feed of the store while the gateway runs: reads it whole, then long-polls for changes, and reads
 * it whole again if the store has dropped the history.
 */
import type { FeedBatch } from '../ports/row-feed.js';
import { wait, type RandomSource } from '../task/index.js';
import { queryFeed, type FeedQueryParts } from './query-feed.js';

/** Time within which a change must be in force if the settings name none, in ms. */
const DEFAULT_CHANGE_MS = 2_000;
/** Share of that time for a long poll. A lost call is detected only after it, so this and the share below must
 * leave time for a response within the time for a change. */
const LONG_POLL_SHARE = 0.75;
/** Share of that time after which a response that has not begun is overdue. */
const OVERDUE_SHARE = 0.2;
/** First backoff after a failed call, in ms; doubles up to the longest. */
const FIRST_BACKOFF_MS = 100;
/** Longest backoff, in ms. Together with the 2.2 s that lapsed entries are kept, a server that leaves just after
 * an outage is removed within the required three seconds. */
const MAX_BACKOFF_MS = 400;
/** Number of readers above which each queries the store less often during an outage, since the store limits the
 * reads of all gateways together. */
const FULL_RATE_READERS = 64;

/** Interval of checking whether peers still relay the store's contents, in ms. */
const PAUSE_CHECK_MS = 200;

/** Dependencies of following a feed. */
export interface FollowParts<Item> extends FeedQueryParts<Item> {
  random: RandomSource;
  /** Time within which a change must be in force, in ms. */
  changeMs?: number | undefined;
  /** Number of gateways that read the store directly; 1 if absent. */
  readerCount?(): number;
  /** Whether peers relay the store's contents, so that no query is needed now. */
  mayPause(): boolean;
  /** Called with all rows after a full read. */
  replaced(batch: FeedBatch<Item>): void;
  /** Called with the changes since the last batch. */
  changed(batch: FeedBatch<Item>): void;
}

/**
 * Follows a feed until the signal aborts.
 *
 * @param parts the feed and its callbacks
 */
export async function follow<Item>(parts: FollowParts<Item>): Promise<void> {
  const { clock, random, signal, storeHealth } = parts;
  const changeMs = parts.changeMs ?? DEFAULT_CHANGE_MS;
  let revision: number | undefined;
  let backoffMs = FIRST_BACKOFF_MS;
  while (!signal.aborted) {
    if (revision !== undefined && parts.mayPause()) {
      await wait(clock, PAUSE_CHECK_MS);
      continue;
    }
    const slowdown = Math.max(1, (parts.readerCount?.() ?? 1) / FULL_RATE_READERS);
    const isLongPoll = revision !== undefined && backoffMs === FIRST_BACKOFF_MS;
    const result = await queryFeed(parts, {
      after: revision,
      longPollMs: isLongPoll ? Math.round(changeMs * LONG_POLL_SHARE) : 0,
      overdueMs: changeMs * OVERDUE_SHARE * slowdown,
    });
    if (result.isOk()) {
      storeHealth.succeeded(parts.name);
      backoffMs = FIRST_BACKOFF_MS;
      if (revision === undefined) parts.replaced(result.value);
      else parts.changed(result.value);
      revision = result.value.revision;
      continue;
    }
    if (result.error.kind === 'history-lost') {
      parts.log.write('storeHistoryLost', { feed: parts.name, after: revision });
      revision = undefined;
      continue;
    }
    await wait(clock, backoffMs * slowdown * (0.5 + random.next()));
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
  }
}
