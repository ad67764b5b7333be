/**
 * Watches how long a server that has requests to answer is silent on all connections of this gateway. The limit follows
 * the silences that occur, as the retransmission timeout of TCP follows round trips (RFC 6298), so that a server that
 * is slow by nature is not taken for one that cannot be reached.
 */
import { setPeerTimeout, type Clock, type Timer } from '../task/index.js';

/** Weight of the newest silence in the average, and of its deviation in the average deviation (RFC 6298). */
const AVERAGE_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations above the average that are no reason for suspicion (RFC 6298). */
const DEVIATIONS = 4;
/** Bounds of the limit, in ms: above the delays of a busy process, and well below what callers wait. */
const MIN_LIMIT_MS = 100;
const MAX_LIMIT_MS = 400;

/** An exchange with the server. */
export interface WatchedExchange {
  /** Bytes of the answer have arrived. */
  heard(): void;
  ended(): void;
}

/** Watches one server. */
export interface SilenceWatch {
  /**
   * Starts to watch an exchange.
   *
   * @param abandon ends the exchange if it may be made again elsewhere
   */
  started(abandon: () => void): WatchedExchange;
  /** Abandons exchanges that have heard nothing for as long as the limit. */
  abandonSilent(): void;
  /** Stops the timer. */
  close(): void;
}

interface ExchangeRecord {
  heardAt: number;
  abandon: () => void;
}

/**
 * Creates a watch without exchanges.
 *
 * @param clock the gateway's clock
 * @param silent called when the server has been silent for longer than the limit; again after each further limit
 */
export function createSilenceWatch(clock: Clock, silent: () => void): SilenceWatch {
  const exchanges = new Set<ExchangeRecord>();
  /** When bytes last arrived, or when the first exchange began. */
  let heardAt = 0;
  let average: number | undefined;
  let deviation = 0;
  let timer: Timer | undefined;

  function limitMs(): number {
    if (average === undefined) return MAX_LIMIT_MS;
    return Math.min(MAX_LIMIT_MS, Math.max(MIN_LIMIT_MS, average + DEVIATIONS * deviation));
  }

  function observe(silenceMs: number): void {
    if (average === undefined) {
      average = silenceMs;
      deviation = silenceMs / 2;
      return;
    }
    deviation += DEVIATION_WEIGHT * (Math.abs(silenceMs - average) - deviation);
    average += AVERAGE_WEIGHT * (silenceMs - average);
  }

  function schedule(delayMs: number): void {
    timer = setPeerTimeout(clock, delayMs, check);
  }

  function check(): void {
    timer = undefined;
    if (exchanges.size === 0) return;
    const leftMs = heardAt + limitMs() - clock.now();
    if (leftMs > 0) {
      schedule(leftMs);
      return;
    }
    schedule(limitMs());
    silent();
  }

  return {
    started(abandon) {
      const record: ExchangeRecord = { heardAt: clock.now(), abandon };
      if (exchanges.size === 0) heardAt = record.heardAt;
      exchanges.add(record);
      if (timer === undefined) schedule(limitMs());
      return {
        heard() {
          const now = clock.now();
          observe(now - heardAt);
          heardAt = now;
          record.heardAt = now;
        },
        ended() {
          exchanges.delete(record);
        },
      };
    },
    abandonSilent() {
      const before = clock.now() - limitMs();
      for (const record of [...exchanges]) {
        if (record.heardAt <= before) record.abandon();
      }
    },
    close() {
      timer?.cancel();
    },
  };
}
