/**
 * News that is to be passed on, for each partner what it has not heard yet. Items of one key
 * replace each other, the newer the older; an item that a partner sent us is not sent back. So each
 * item crosses a link about once, whichever way it came.
 */
import { match } from 'ts-pattern';
import type { News, NodeState, ShardSummary, Suspicion } from '../links/index.js';

/** One thing that partners are to hear. */
export type NewsItem =
  | { kind: 'state'; state: NodeState }
  | { kind: 'suspicion'; suspicion: Suspicion }
  | { kind: 'reached'; node: string; version: number }
  | { kind: 'shard'; summary: ShardSummary }
  | { kind: 'list'; digest: string };

/** What partners have yet to hear. */
export interface Outbox {
  /** Queues an item for each partner but the one it came from. */
  add(item: NewsItem, from?: string): void;
  /** A partner sent an item, so that it need not be sent to it. */
  heard(item: NewsItem, from: string): void;
  /** Takes what a partner has yet to hear; `undefined` when there is nothing. */
  take(partner: string): News | undefined;
  /** Whether a partner has anything left to hear. */
  isEmpty(): boolean;
}

/**
 * Creates an empty outbox.
 *
 * @param partners names of the partners at the moment
 */
export function createOutbox(partners: () => string[]): Outbox {
  const queues = new Map<string, Map<string, NewsItem>>();

  function queueOf(partner: string): Map<string, NewsItem> {
    const queue = queues.get(partner) ?? new Map<string, NewsItem>();
    queues.set(partner, queue);
    return queue;
  }

  return {
    add(item, from) {
      const key = resolveKey(item);
      for (const partner of partners()) {
        if (partner !== from) queueOf(partner).set(key, item);
      }
    },
    heard(item, from) {
      const queue = queues.get(from);
      const key = resolveKey(item);
      const queued = queue?.get(key);
      if (queued !== undefined && resolveAge(queued) <= resolveAge(item)) queue?.delete(key);
    },
    take(partner) {
      const queue = queues.get(partner);
      queues.delete(partner);
      if (queue === undefined || queue.size === 0) return undefined;
      return createNews(queue.values());
    },
    isEmpty() {
      for (const queue of queues.values()) {
        if (queue.size > 0) return false;
      }
      return true;
    },
  };
}

function resolveKey(item: NewsItem): string {
  return match(item)
    .with({ kind: 'state' }, ({ state }) => `state/${state.node}`)
    .with({ kind: 'suspicion' }, ({ suspicion }) => `suspicion/${suspicion.node}`)
    .with({ kind: 'reached' }, ({ node }) => `reached/${node}`)
    .with({ kind: 'shard' }, ({ summary }) => `shard/${summary.shard}`)
    .with({ kind: 'list' }, () => 'list')
    .exhaustive();
}

/** Among items of one key, the greater is the newer. */
function resolveAge(item: NewsItem): number {
  return match(item)
    .with({ kind: 'state' }, ({ state }) => state.sequence)
    .with({ kind: 'suspicion' }, ({ suspicion }) => suspicion.sequence)
    .with({ kind: 'reached' }, ({ version }) => version)
    .with({ kind: 'shard' }, ({ summary }) => summary.fence * 2 + Number(summary.released ?? false))
    .with({ kind: 'list' }, () => 0)
    .exhaustive();
}

/** Creates news of nothing. */
export function createEmptyNews(): News {
  return { kind: 'news', states: [], suspicions: [], reached: [], shards: [] };
}

function createNews(items: Iterable<NewsItem>): News {
  const news = createEmptyNews();
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
