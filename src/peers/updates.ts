/**
 * Membership updates that gateways gossip to their partners: states and suspicions.
 */
import type { ItemOrder } from '../gossip/index.js';
import type { GatewayState, GatewaySuspicion, PeerMessage } from './messages.js';

/** One membership update. */
export type PeerUpdate =
  { kind: 'state'; record: GatewayState } | { kind: 'suspicion'; record: GatewaySuspicion };

/** An update supersedes those of the same kind and node that have a lower sequence number. */
export const peerUpdateOrder: ItemOrder<PeerUpdate> = {
  key: ({ kind, record }) => `${kind}/${record.node}`,
  version: ({ record }) => record.sequence,
};

/**
 * Combines updates into one message.
 *
 * @param kind `news` is relayed by the receiver, `view` is not
 * @param items the updates
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
