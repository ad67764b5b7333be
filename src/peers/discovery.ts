/**
 * Chooses addresses to dial beside those of partners, so that gateways discover each other at start and
 * after a network partition. The dial rate for dead addresses is shared by all gateways, since one that
 * connects is enough for all.
 */
import type { RandomSource } from '../task/index.js';

/** Time after which an address without an answer is removed, in ms. */
const RETENTION_MS = 60_000;
/** Dials of each dead address per heartbeat interval, by all gateways together. More than one, since a
 * dialling gateway may itself be cut off or stopping. */
const FLEET_DIALS_PER_ADDRESS = 3;

/** Addresses at which a gateway may be. */
export interface Discovery {
  /** Adds an address; one from the settings (a seed) does not expire. */
  addAddress(address: string, isSeed: boolean): void;
  /** Removes an address that is now known as a peer's or as this gateway's own. */
  removeAddress(address: string): void;
  /** Number of addresses at which no gateway has answered yet. */
  count(): number;
  /**
   * Chooses addresses to dial now.
   *
   * @param state links and members of this gateway
   */
  chooseAddresses(state: DiscoveryState): string[];
}

/** Input of {@link Discovery.chooseAddresses}. */
export interface DiscoveryState {
  now: number;
  /** How many links the gateway lacks to be well connected. */
  missing: number;
  /** Number of peers believed alive. */
  alive: number;
  /** Addresses of peers believed lost. */
  lost: readonly string[];
}

interface KnownAddress {
  addedAt: number;
  isSeed: boolean;
}

/**
 * Creates an empty set of addresses.
 *
 * @param clock the gateway's clock, in ms
 * @param random spreads the dials of the gateways over the addresses
 */
export function createDiscovery(clock: { now(): number }, random: RandomSource): Discovery {
  const addresses = new Map<string, KnownAddress>();

  function removeExpired(now: number): void {
    for (const [address, { addedAt, isSeed }] of addresses) {
      if (!isSeed && now - addedAt > RETENTION_MS) addresses.delete(address);
    }
  }

  function pickRandom(candidates: string[], count: number): string[] {
    const picked: string[] = [];
    while (picked.length < count && candidates.length > 0) {
      const index = Math.floor(random.next() * candidates.length);
      picked.push(...candidates.splice(index, 1));
    }
    return picked;
  }

  return {
    addAddress(address, isSeed) {
      const previous = addresses.get(address);
      addresses.set(address, {
        addedAt: clock.now(),
        isSeed: isSeed || previous?.isSeed === true,
      });
    },
    removeAddress(address) {
      addresses.delete(address);
    },
    count: () => addresses.size,
    chooseAddresses({ now, missing, alive, lost }) {
      removeExpired(now);
      const candidates = [...new Set([...addresses.keys(), ...lost])];
      if (missing > 0) return pickRandom(candidates, missing);
      const chance = (FLEET_DIALS_PER_ADDRESS * candidates.length) / (alive + 1);
      return random.next() < chance ? pickRandom(candidates, 1) : [];
    },
  };
}
