/**
 * Which gateways callers are told to use: those that are ready and believed alive. Gateways in
 * the caller's availability zone come alone where there are enough of them, since bytes between
 * zones cost; else all are named.
 */
import type { GatewayState } from '../peers/index.js';

/** Most addresses in one answer: more are not read. */
const MAX_ADDRESSES = 64;
/** With fewer gateways than this in the caller's zone, the loss of one would leave too few. */
const ENOUGH_IN_ZONE = 2;

/** A gateway that callers may use. */
export interface CallerAddress {
  address: string;
  zone: string;
}

/** This gateway as its own directory sees it. */
export interface OwnAddress extends CallerAddress {
  isReady: boolean;
}

/**
 * Lists the addresses for one caller.
 *
 * @param own this gateway
 * @param peers the peers that are believed alive
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
  const near = ready.filter((front) => front.zone === zone);
  const chosen = near.length >= ENOUGH_IN_ZONE ? near : ready;
  const addresses: string[] = [];
  for (const { address } of chosen.slice(0, MAX_ADDRESSES)) {
    addresses.push(address);
  }
  return addresses;
}
