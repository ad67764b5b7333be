/**
 * What gateways tell their partners when it changes: a gateway's own state, and that one is silent.
 */
import type { ItemOrder } from '../gossip/index.js';
import type { GatewayState, GatewaySuspicion, PeerMessage } from './messages.js';

/** One thing that partners are to hear. */
export type PeerNews =
  { kind: 'state'; record: GatewayState } | { kind: 'suspicion'; record: GatewaySuspicion };

/** How news of gateways relate. */
export const peerNewsOrder: ItemOrder<PeerNews> = {
  key: ({ kind, record }) => `${kind}/${record.node}`,
  age: ({ record }) => record.sequence,
};

/**
 * Puts news into one message.
 *
 * @param kind whether it is passed on
 * @param items the news
 */
export function packNews(kind: 'news' | 'view', items: Iterable<PeerNews>): PeerMessage {
  const states: GatewayState[] = [];
  const suspicions: GatewaySuspicion[] = [];
  for (const item of items) {
    if (item.kind === 'state') states.push(item.record);
    else suspicions.push(item.record);
  }
  return { kind, states, suspicions };
}
