/**
 * Number of gateways in the fleet, for dividing what all of them share. Too small a number would let the gateways
 * exceed the whole together, so lost gateways count until they are forgotten, addresses that were not reached yet
 * count too, and a number that has just grown is withheld until it has settled.
 */
import type { Clock } from '../task/index.js';

/** Time without new gateways after which the number is used, in ms: discovery of all of a fleet that starts at
 * once, or a heartbeat of a partner that knows them. */
const SETTLE_MS = 1_000;

/** The number of gateways. */
export interface FleetSize {
  /** Takes note of the number now; one that grew unseen would not be withheld. */
  observe: () => void;
  /** The number, this gateway included; `undefined` while it grows. */
  settled: () => number | undefined;
}

/**
 * Creates the number.
 *
 * @param clock the gateway's clock
 * @param count counts the known gateways, this one included
 */
export function createFleetSize(clock: Clock, count: () => number): FleetSize {
  let size = 0;
  let grownAt = clock.now();

  function observe(): void {
    const counted = count();
    if (counted > size) grownAt = clock.now();
    size = counted;
  }

  return {
    observe,
    settled() {
      observe();
      return clock.now() - grownAt < SETTLE_MS ? undefined : size;
    },
  };
}
