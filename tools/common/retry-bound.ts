/**
 * A judge of the retries of a service, which counts every window as the bound for all gateways does.
 */

/** The bound on retries, for all gateways together. */
export interface FleetBound {
  /** Retries per request. */
  ratio: number;
  /** Additional retries per window. */
  allowance: number;
  windowMs: number;
}

/** Times at which requests were sent and retries reached a server, in ms, in order. */
export interface FleetRecord {
  requests: number[];
  retries: number[];
}

/** A window with more retries than allowed. */
export interface BrokenWindow {
  fromMs: number;
  retries: number;
  allowed: number;
}

/**
 * Finds the window that exceeds its bound most. A window's requests are those in it, in the one before it or in the
 * one half a window before it, whichever has most.
 */
export function findBrokenWindow(
  record: FleetRecord,
  { ratio, allowance, windowMs }: FleetBound,
): BrokenWindow | undefined {
  let worst: BrokenWindow | undefined;
  let worstExcess = 0;
  for (const fromMs of record.retries) {
    const retries = countBetween(record.retries, fromMs, fromMs + windowMs);
    const starts = [fromMs, fromMs - windowMs, fromMs - windowMs / 2];
    const counts = starts.map((start) => countBetween(record.requests, start, start + windowMs));
    const allowed = ratio * Math.max(...counts) + allowance;
    if (retries - allowed <= worstExcess) continue;
    worstExcess = retries - allowed;
    worst = { fromMs, retries, allowed };
  }
  return worst;
}

function countBetween(times: readonly number[], from: number, to: number): number {
  return findFirst(times, (at) => at > to) - findFirst(times, (at) => at >= from);
}

/** Index of the first time that a condition holds for; it holds for all later ones. */
function findFirst(times: readonly number[], holds: (at: number) => boolean): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (holds(times[middle] ?? 0)) high = middle;
    else low = middle + 1;
  }
  return low;
}
