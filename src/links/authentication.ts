/**
 * Proofs by which the two ends of a link show each other that they know the peer key, without
 * sending it. Each side's nonce is in both proofs, so a recorded proof is of no use later.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

/** The nonces of one link, as both ends know them. */
export interface Handshake {
  serverNonce: string;
  clientNonce: string;
}

/** Which end of the link makes the proof. */
export type End = 'client' | 'server';

/** Makes a nonce for one handshake. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/**
 * Makes the proof of one end.
 *
 * @param key the peer key
 * @param end which end proves itself
 * @param node the name that this end claims
 * @param handshake the nonces of this link
 */
export function createProof(key: string, end: End, node: string, handshake: Handshake): string {
  const statement = JSON.stringify([end, node, handshake.serverNonce, handshake.clientNonce]);
  return createHmac('sha256', key).update(statement).digest('hex');
}

/**
 * Compares a proof with the expected one in constant time.
 *
 * @param expected the proof as this end computes it
 * @param received the proof as the other end sent it
 */
export function matchesProof(expected: string, received: string): boolean {
  const left = Buffer.from(expected);
  const right = Buffer.from(received);
  return left.length === right.length && timingSafeEqual(left, right);
}
