/**
 * What a node does with each message of another node: which of its tasks hears it, and what is
 * answered.
 */
import { match } from 'ts-pattern';
import type { ConfigurationReplica } from '../configuration/index.js';
import { createRefusal } from '../errors/index.js';
import type { LimitHome } from '../limits/index.js';
import type { Answer, Notice, PermitAnswer, PermitQuery, Query } from '../links/index.js';
import type { Membership } from '../membership/index.js';
import type { ShardHolder } from '../permits/index.js';
import type { Fates } from '../router/index.js';
import type { HeldShards } from './held-shards.js';

/** The tasks that hear other nodes. */
export interface PeerMessagesParts {
  node: string;
  incarnation: string;
  membership: () => Pick<Membership, 'receive' | 'isMeshed' | 'vmsSince'>;
  held: () => Pick<HeldShards, 'find'>;
  replica: () => Pick<ConfigurationReplica, 'receive' | 'caughtUp' | 'changesAfter'>;
  limitHome: () => Pick<LimitHome, 'draw'>;
  fates: Pick<Fates, 'find'>;
}

/** Receives messages of other nodes. */
export interface PeerMessages {
  noticed: (peer: string, notice: Notice) => void;
  asked: (peer: string, query: Query) => Promise<Answer>;
}

/**
 * Creates the receiver. The tasks are asked for when a message comes, since they send messages
 * themselves and so are made later.
 *
 * @param parts the tasks
 */
export function createPeerMessages(parts: PeerMessagesParts): PeerMessages {
  const { node, incarnation, membership, held, replica, limitHome, fates } = parts;

  async function askPermit(peer: string, query: PermitQuery): Promise<Answer> {
    await replica().caughtUp(query.configurationVersion);
    const holder = held().find(query.shard);
    if (holder !== undefined) return addSummary(holder, await holder.ask(peer, query));
    const failure = createRefusal({
      code: 'lease-lost',
      message: 'the shard is not held here',
      step: 'permit.ask',
      peer: node,
    });
    return { kind: 'permit.refused', failure };
  }

  /** Where routers do not hear from every holder, the answer to a request for a permit tells them. */
  function addSummary(holder: ShardHolder, answer: PermitAnswer): PermitAnswer {
    if (membership().isMeshed()) return answer;
    return { ...answer, summary: { ...holder.summary(), incarnation } };
  }

  function findFate(requestId: string): Answer {
    const fate = fates.find(requestId);
    const found = fate === undefined ? {} : { fate };
    return { kind: 'request.fate.answer', ...found };
  }

  return {
    noticed(peer, notice) {
      match(notice)
        .with({ kind: 'heartbeat' }, { kind: 'news' }, (word) => {
          membership().receive(peer, word);
        })
        .with({ kind: 'permit.release' }, (release) => {
          held().find(release.shard)?.release(release);
        })
        .with({ kind: 'permit.progress' }, (progress) => {
          held().find(progress.shard)?.progress(progress);
        })
        .with({ kind: 'permit.cancel' }, ({ shard, requestId, attempt }) => {
          held().find(shard)?.cancel(peer, requestId, attempt);
        })
        .with({ kind: 'permit.adopt' }, (adoption) => {
          held().find(adoption.shard)?.adopt(adoption);
        })
        .with({ kind: 'configuration.push' }, ({ changes }) => {
          replica().receive(changes);
        })
        .exhaustive();
    },
    asked(peer, query) {
      return match(query)
        .returnType<Promise<Answer>>()
        .with({ kind: 'permit.request' }, (wish) => askPermit(peer, wish))
        .with({ kind: 'limits.draw' }, (draw) => Promise.resolve(limitHome().draw(peer, draw)))
        .with({ kind: 'configuration.fetch' }, ({ after }) =>
          Promise.resolve({ kind: 'configuration.changes', ...replica().changesAfter(after) }),
        )
        .with({ kind: 'request.fate' }, ({ requestId }) => Promise.resolve(findFate(requestId)))
        .with({ kind: 'vms.fetch' }, ({ digest }) => Promise.resolve(membership().vmsSince(digest)))
        .exhaustive();
    },
  };
}
