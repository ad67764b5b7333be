/**
 * How much work generating is, in engines that it would keep busy: requests that run, as a share of an
 * engine's slots or of its memory, whichever is more, and transfers of prompts, which an engine's link takes one after another. The peak
 * counts, since a change of roles takes longer than a burst.
 */
import { createRecentLoad } from './recent-load.js';

/** Time over which running requests are averaged, in ms. */
const MEMORY_MS = 1_000;
/** Time in which a peak fades to a third, in ms: several swings of the mix. */
const PEAK_MEMORY_MS = 30_000;
/** Observations before which nothing is said. */
const LEAST_NOTES = 200;
/** Time for which traffic must have been seen before anything is said, in ms: two swings of the mix. */
const LEAST_SEEN_MS = 5_000;

/** The work of generating. */
export interface DecodeLoad {
  /** Requests run now, in full engines. */
  observe(running: number, now: number): void;
  /** A transfer begins that takes so many milliseconds. */
  observeTransfer(transferMs: number, now: number): void;
  /** The most of the latest time; `undefined` while too little was seen. */
  peak(now: number): number | undefined;
}

/** Creates a record of no work. */
export function createDecodeLoad(): DecodeLoad {
  const transfers = createRecentLoad();
  let running = 0;
  let peak = 0;
  let at = 0;
  let notes = 0;
  let firstAt: number | undefined;

  function follow(now: number): void {
    const load = running + transfers.busyEngines(now);
    const faded = peak * Math.exp((at - now) / PEAK_MEMORY_MS);
    peak = Math.max(load, faded);
    at = now;
  }

  return {
    observe(value, now) {
      notes += 1;
      firstAt ??= now;
      running += (1 - Math.exp((at - now) / MEMORY_MS)) * (value - running);
      follow(now);
    },
    observeTransfer(transferMs, now) {
      transfers.record(transferMs, now);
    },
    peak(now) {
      if (notes < LEAST_NOTES || now - (firstAt ?? now) < LEAST_SEEN_MS) return undefined;
      follow(now);
      return peak;
    },
  };
}
