/**
 * What nodes tell their partners when it changes, and how it is put into one message.
 */
import { match } from 'ts-pattern';
import type { ItemOrder } from '../gossip/index.js';
import type { GossipMessage, NodeState, ShardSummary, Suspicion } from '../links/index.js';

/** One thing that partners are to hear. */
export type MembershipUpdate =
  | { kind: 'state'; state: NodeState }
  | { kind: 'suspicion'; suspicion: Suspicion }
  | { kind: 'reached'; node: string; version: number }
  | { kind: 'shard'; summary: ShardSummary }
  | { kind: 'list'; digest: string };

/** How news items relate. */
export const membershipUpdateOrder: ItemOrder<MembershipUpdate> = {
  key: resolveKey,
  version: resolveVersion,
};

function resolveKey(item: MembershipUpdate): string {
  return match(item)
    .with({ kind: 'state' }, ({ state }) => `state/${state.node}`)
    .with({ kind: 'suspicion' }, ({ suspicion }) => `suspicion/${suspicion.node}`)
    .with({ kind: 'reached' }, ({ node }) => `reached/${node}`)
    .with({ kind: 'shard' }, ({ summary }) => `shard/${summary.shard}`)
    .with({ kind: 'list' }, () => 'list')
    .exhaustive();
}

function resolveVersion(item: MembershipUpdate): number {
  return match(item)
    .with({ kind: 'state' }, ({ state }) => state.sequence)
    .with({ kind: 'suspicion' }, ({ suspicion }) => suspicion.sequence)
    .with({ kind: 'reached' }, ({ version }) => version)
    .with({ kind: 'shard' }, ({ summary }) => summary.fence * 2 + Number(summary.released ?? false))
    .with({ kind: 'list' }, () => 0)
    .exhaustive();
}

/** Creates news of nothing. */
export function createEmptyGossipMessage(): GossipMessage {
  return { kind: 'news', states: [], suspicions: [], reached: [], shards: [] };
}

/** Creates news of some items. */
export function createGossipMessage(items: Iterable<MembershipUpdate>): GossipMessage {
  const news = createEmptyGossipMessage();
  const byVersion = new Map<number, string[]>();
  for (const item of items) {
    match(item)
      .with({ kind: 'state' }, ({ state }) => news.states.push(state))
      .with({ kind: 'suspicion' }, ({ suspicion }) => news.suspicions.push(suspicion))
      .with({ kind: 'reached' }, ({ node, version }) => {
        byVersion.set(version, [...(byVersion.get(version) ?? []), node]);
      })
      .with({ kind: 'shard' }, ({ summary }) => news.shards.push(summary))
      .with({ kind: 'list' }, ({ digest }) => {
        news.listDigest = digest;
      })
      .exhaustive();
  }
  for (const [version, nodes] of byVersion) {
    news.reached.push({ version, nodes });
  }
  return news;
}
