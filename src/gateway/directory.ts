/**
 * Chooses the gateways in a directory response: those that are ready and believed alive. If there are enough
 * in the caller's availability zone, only these are listed, since traffic between zones is charged.
 */
import type { GatewayState } from '../peers/index.js';

/** Most addresses in one response; callers do not read more. */
const MAX_ADDRESSES = 64;
/** Gateways in the caller's zone that are enough to list only these, so that one may be lost. */
const MIN_IN_ZONE = 2;

/** Address of a gateway for callers. */
export interface CallerAddress {
  address: string;
  zone: string;
}

/** This gateway's own address and readiness. */
export interface OwnAddress extends CallerAddress {
  isReady: boolean;
}

/**
 * Lists the addresses for one caller.
 *
 * @param own this gateway
 * @param peers peers believed alive
 * @param zone the caller's availability zone
 */
export function resolveGatewayAddresses(
  own: OwnAddress,
  peers: readonly GatewayState[],
  zone: string | undefined,
): string[] {
  const ready: CallerAddress[] = own.isReady ? [own] : [];
  for (const peer of peers) {
    if (peer.isReady) ready.push({ address: peer.front, zone: peer.zone });
  }
  const inZone = ready.filter((candidate) => candidate.zone === zone);
  const chosen = inZone.length >= MIN_IN_ZONE ? inZone : ready;
  const addresses: string[] = [];
  for (const { address } of chosen.slice(0, MAX_ADDRESSES)) {
    addresses.push(address);
  }
  return addresses;
}
