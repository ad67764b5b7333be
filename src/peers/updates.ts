/**
 * What gateways tell their partners when it changes: a gateway's own state, and that one is silent.
 */
import type { ItemOrder } from '../gossip/index.js';
import type { GatewayState, GatewaySuspicion, PeerMessage } from './messages.js';

/** One thing that partners are to hear. */
export type PeerUpdate =
  { kind: 'state'; record: GatewayState } | { kind: 'suspicion'; record: GatewaySuspicion };

/** How news of gateways relate. */
export const peerUpdateOrder: ItemOrder<PeerUpdate> = {
  key: ({ kind, record }) => `${kind}/${record.node}`,
  version: ({ record }) => record.sequence,
};

/**
 * Puts news into one message.
 *
 * @param kind whether it is passed on
 * @param items the news
 */
export function packUpdates(kind: 'news' | 'view', items: Iterable<PeerUpdate>): PeerMessage {
  const states: GatewayState[] = [];
  const suspicions: GatewaySuspicion[] = [];
  for (const item of items) {
    if (item.kind === 'state') states.push(item.record);
    else suspicions.push(item.record);
  }
  return { kind, states, suspicions };
}
