/**
 * Follows a part of the store for as long as the gateway runs: reads it whole, then waits for its
 * changes, and starts over where the store has forgotten them.
 */
import type { FeedBatch } from '../ports/row-feed.js';
import { wait, type RandomSource } from '../task/index.js';
import { queryFeed, type FeedQueryParts } from './query-feed.js';

/** Time within which an accepted change must be in force where the settings do not say, in ms. */
const DEFAULT_CHANGE_MS = 2_000;
/** Share of that time for which the store may hold a call. A call that an outage or a silent connection
 * swallowed is found out when the hold is over; with the share below and an answer, that is within the
 * time for a change. Longer would cost fewer calls. */
const HOLD_SHARE = 0.75;
/** Share of that time after which an answer that has not begun is overdue and the store is asked again. */
const OVERDUE_SHARE = 0.2;
/** First pause after a call that failed, in ms; doubles up to the longest. */
const FIRST_PAUSE_MS = 100;
/** Longest pause, in ms. With the 2.2 s that lapsed entries get, a server that left just after the store's
 * return is out within the three seconds after which gateways answer for that. */
const MAX_PAUSE_MS = 400;
/** With more gateways than this asking, each asks less often during an outage: the store bounds the reads of
 * all of them, and 64 gateways with two feeds ask for 320 of 2,000 a second. */
const ASKING_AT_FULL_PACE = 64;

/** Time between two looks at whether others still pass on what the store holds, in ms. */
const REST_MS = 200;

/** What following needs. */
export interface FollowParts<Item> extends FeedQueryParts<Item> {
  random: RandomSource;
  /** Time within which an accepted change must be in force, in ms. */
  changeMs?: number | undefined;
  /** How many gateways ask the store as this one does; one where absent. */
  readerCount?(): number;
  /** Others pass on what the store holds; nothing need be asked now. */
  mayPause(): boolean;
  /** Everything there is. */
  replaced(batch: FeedBatch<Item>): void;
  /** What has changed. */
  changed(batch: FeedBatch<Item>): void;
}

/**
 * Follows a part of the store until the signal ends it.
 *
 * @param parts the feed and who listens
 */
export async function follow<Item>(parts: FollowParts<Item>): Promise<void> {
  const { clock, random, signal, storeHealth } = parts;
  const changeMs = parts.changeMs ?? DEFAULT_CHANGE_MS;
  let revision: number | undefined;
  let pauseMs = FIRST_PAUSE_MS;
  while (!signal.aborted) {
    if (revision !== undefined && parts.mayPause()) {
      await wait(clock, REST_MS);
      continue;
    }
    const crowding = Math.max(1, (parts.readerCount?.() ?? 1) / ASKING_AT_FULL_PACE);
    const isHeld = revision !== undefined && pauseMs === FIRST_PAUSE_MS;
    const result = await queryFeed(parts, {
      after: revision,
      longPollMs: isHeld ? Math.round(changeMs * HOLD_SHARE) : 0,
      overdueMs: changeMs * OVERDUE_SHARE * crowding,
    });
    if (result.isOk()) {
      storeHealth.succeeded(parts.name);
      pauseMs = FIRST_PAUSE_MS;
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
    await wait(clock, pauseMs * crowding * (0.5 + random.next()));
    pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
  }
}
