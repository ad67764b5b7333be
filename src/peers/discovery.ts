/**
 * Which addresses a gateway dials beside those of its partners, so that gateways find each other at the
 * start, and again after a network partition. Dead addresses cost each gateway less the more gateways
 * there are, since one of them that gets through is enough for all.
 */
import type { RandomSource } from '../task/index.js';

/** An address at which nobody answered for so long is forgotten, in ms. */
const FORGET_MS = 60_000;
/** Dials of each dead address by all gateways together between two heartbeats: one may itself be cut off,
 * and one may have just ended. */
const DIALS_FOR_ALL = 3;

/** Addresses of which nothing is known but that a gateway was there once. */
export interface Discovery {
  /** Remembers an address; for good where the settings name it. */
  addAddress(address: string, isSeed: boolean): void;
  /** A gateway was met there, or it is this one's own address. */
  removeAddress(address: string): void;
  /**
   * Chooses addresses to dial now.
   *
   * @param need what the gateway knows
   */
  chooseAddresses(need: DiscoveryState): string[];
}

/** What the choice goes by. */
export interface DiscoveryState {
  now: number;
  /** Links that the gateway lacks to be well connected. */
  missing: number;
  /** Gateways that are believed alive. */
  alive: number;
  /** Addresses of those that are believed lost. */
  lost: readonly string[];
}

interface KnownAddress {
  learntAt: number;
  isSeed: boolean;
}

/**
 * Creates an empty set of addresses.
 *
 * @param clock tells when an address was learnt, in ms
 * @param random spreads the dials of all gateways over the addresses
 */
export function createDiscovery(clock: { now(): number }, random: RandomSource): Discovery {
  const addresses = new Map<string, KnownAddress>();

  function forgetOld(now: number): void {
    for (const [address, { learntAt, isSeed }] of addresses) {
      if (!isSeed && now - learntAt > FORGET_MS) addresses.delete(address);
    }
  }

  function draw(candidates: string[], count: number): string[] {
    const drawn: string[] = [];
    while (drawn.length < count && candidates.length > 0) {
      const index = Math.floor(random.next() * candidates.length);
      drawn.push(...candidates.splice(index, 1));
    }
    return drawn;
  }

  return {
    addAddress(address, isSeed) {
      const known = addresses.get(address);
      addresses.set(address, {
        learntAt: clock.now(),
        isSeed: isSeed || known?.isSeed === true,
      });
    },
    removeAddress(address) {
      addresses.delete(address);
    },
    chooseAddresses({ now, missing, alive, lost }) {
      forgetOld(now);
      const candidates = [...new Set([...addresses.keys(), ...lost])];
      if (missing > 0) return draw(candidates, missing);
      const share = (DIALS_FOR_ALL * candidates.length) / (alive + 1);
      return random.next() < share ? draw(candidates, 1) : [];
    },
  };
}
