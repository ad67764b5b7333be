/**
 * Work that one engine does piece after piece, as its scheduler follows it from the outside: reads of
 * prompts, or transfers over its link. The time that the engine was busy with a piece counts, not the
 * time that the piece waited behind others.
 */

interface Piece {
  expectedMs: number;
  startedAt: number;
}

/** Work that was given to one engine and has not ended. */
export interface SerialWork {
  count(): number;
  /** Time until all of it has ended, in milliseconds. */
  remainingMs(now: number): number;
  start(key: string, expectedMs: number, now: number): void;
  /**
   * A piece has ended.
   *
   * @returns how long the engine was busy with it, in milliseconds; `undefined` for a piece that is
   * not known
   */
  end(key: string, now: number): number | undefined;
}

/** Creates an engine with nothing to do. */
export function createSerialWork(): SerialWork {
  const pieces = new Map<string, Piece>();
  let lastEndAt = Number.NEGATIVE_INFINITY;

  /** How long the engine has been busy with the oldest piece. */
  function busyMs(piece: Piece, now: number): number {
    return now - Math.max(piece.startedAt, lastEndAt);
  }

  return {
    count: () => pieces.size,
    remainingMs(now) {
      let totalMs = 0;
      let oldest: Piece | undefined;
      for (const piece of pieces.values()) {
        oldest ??= piece;
        totalMs += piece.expectedMs;
      }
      if (oldest === undefined) return 0;
      const workedMs = busyMs(oldest, now);
      // an engine that is late with a piece is expected to be late by as much again
      const overdueMs = Math.max(0, workedMs - oldest.expectedMs);
      return totalMs - Math.min(oldest.expectedMs, workedMs) + overdueMs;
    },
    start(key, expectedMs, now) {
      pieces.set(key, { expectedMs, startedAt: now });
    },
    end(key, now) {
      const piece = pieces.get(key);
      if (piece === undefined) return undefined;
      pieces.delete(key);
      const tookMs = busyMs(piece, now);
      lastEndAt = now;
      return tookMs;
    },
  };
}
