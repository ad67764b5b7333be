/**
 * Decode load in engines: running requests, as utilization of slots or memory, plus KV cache
 * transfers. The decaying peak is used, since changing an engine's role takes longer than a burst.
 */
import { createRecentLoad } from './recent-load.js';

/** Time constant of the average over running requests, in ms. */
const AVERAGING_MS = 1_000;
/** Time constant of the peak's decay, in ms; several swings of the mix of requests. */
const PEAK_DECAY_MS = 30_000;
/** Minimum number of observations before the load is reported. */
const MIN_OBSERVATIONS = 200;
/** Minimum time since the first observation before the load is reported, in ms; two swings of the mix. */
const MIN_OBSERVED_MS = 5_000;

/** Decode load of a service. */
export interface DecodeLoad {
  /** Records the utilization of all decode engines, in fully used engines. */
  observe(utilization: number, now: number): void;
  /** Records a transfer that takes `transferMs` milliseconds. */
  observeTransfer(transferMs: number, now: number): void;
  /** The decaying peak, in engines; `undefined` while there are too few observations. */
  peak(now: number): number | undefined;
}

/** Creates a record without load. */
export function createDecodeLoad(): DecodeLoad {
  const transfers = createRecentLoad();
  let utilization = 0;
  let peak = 0;
  let at = 0;
  let observations = 0;
  let firstAt: number | undefined;

  function updatePeak(now: number): void {
    const load = utilization + transfers.busyEngines(now);
    const decayed = peak * Math.exp((at - now) / PEAK_DECAY_MS);
    peak = Math.max(load, decayed);
    at = now;
  }

  return {
    observe(value, now) {
      observations += 1;
      firstAt ??= now;
      utilization += (1 - Math.exp((at - now) / AVERAGING_MS)) * (value - utilization);
      updatePeak(now);
    },
    observeTransfer(transferMs, now) {
      transfers.record(transferMs, now);
    },
    peak(now) {
      if (observations < MIN_OBSERVATIONS || now - (firstAt ?? now) < MIN_OBSERVED_MS)
        return undefined;
      updatePeak(now);
      return peak;
    },
  };
}
