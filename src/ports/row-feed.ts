/**
 * The port to a part of the store that others write: read whole once, then followed by its changes.
 */
import type { Result } from 'ts-results-es';

/** Why a read brought nothing. */
export interface FeedFailure {
  /** `history-lost`: the store no longer has the changes asked for; read the whole again. */
  kind: 'unavailable' | 'history-lost' | 'cancelled';
  reason: string;
}

/** What a read brought. */
export interface FeedBatch<Item> {
  items: Item[];
  /** Where to go on from. */
  revision: number;
}

/** A part of the store. */
export interface RowFeed<Item> {
  /**
   * Reads everything.
   *
   * @param begun called when an answer begins to come
   */
  readAll(signal: AbortSignal, begun?: () => void): Promise<Result<FeedBatch<Item>, FeedFailure>>;
  /**
   * Waits for changes.
   *
   * @param after the revision of the last read
   * @param waitMs how long the store may wait for a change
   * @param begun called when the answer begins to come
   */
  next(
    after: number,
    waitMs: number,
    signal: AbortSignal,
    begun?: () => void,
  ): Promise<Result<FeedBatch<Item>, FeedFailure>>;
}
