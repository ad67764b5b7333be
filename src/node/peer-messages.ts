/**
 * The task that takes in the messages of other nodes, one at a time and in their order, whichever
 * link they came on: which part of the node hears each, and what is answered. A message that cannot
 * be handled is logged and harms no other.
 */
import { match } from 'ts-pattern';
import type { ConfigurationReplica } from '../configuration/index.js';
import { createRefusal } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { LimitHome } from '../limits/index.js';
import type { Answer, Notice, PermitAnswer, PermitQuery, Query } from '../links/index.js';
import type { Membership } from '../membership/index.js';
import type { ShardHolder } from '../permits/index.js';
import type { RequestStatuses } from '../router/index.js';
import { createTask } from '../task/index.js';
import type { HeldShards } from './held-shards.js';

/** The tasks that hear other nodes. */
export interface PeerMessagesParts {
  node: string;
  incarnation: string;
  log: Log;
  membership: () => Pick<Membership, 'receive' | 'isMeshed' | 'vmsSince'>;
  held: () => Pick<HeldShards, 'find'>;
  replica: () => Pick<ConfigurationReplica, 'receive' | 'caughtUp' | 'changesAfter'>;
  limitHome: () => Pick<LimitHome, 'draw'>;
  requestStatuses: Pick<RequestStatuses, 'find'>;
}

/** What another node sent, as the task takes it. */
type PeerMessage =
  | { kind: 'notice'; peer: string; notice: Notice }
  | { kind: 'query'; peer: string; query: Query; answer: (answer: Promise<Answer>) => void };

/** Said to a query that could not be handled; whoever asked takes it for no answer. */
const NO_ANSWER: Answer = { kind: 'done' };

/** Receives messages of other nodes. */
export interface PeerMessages {
  noticeReceived: (peer: string, notice: Notice) => void;
  queryReceived: (peer: string, query: Query) => Promise<Answer>;
}

/**
 * Creates the receiver. The tasks are asked for when a message comes, since they send messages
 * themselves and so are made later.
 *
 * @param parts the tasks
 */
export function createPeerMessages(parts: PeerMessagesParts): PeerMessages {
  const { node, incarnation, log, membership, held, replica, limitHome, requestStatuses } = parts;

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
    const fate = requestStatuses.find(requestId);
    const found = fate === undefined ? {} : { fate };
    return { kind: 'request.fate.answer', ...found };
  }

  function hear(peer: string, notice: Notice): void {
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
  }

  function reply(peer: string, query: Query): Promise<Answer> {
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
  }

  function reportError(error: unknown, message: PeerMessage): void {
    const what = message.kind === 'notice' ? message.notice.kind : message.query.kind;
    const { peer } = message;
    log.write('taskFailed', { task: 'peer messages', peer, message: what, error: String(error) });
    if (message.kind === 'query') message.answer(Promise.resolve(NO_ANSWER));
  }

  const task = createTask<PeerMessage>({
    name: 'peer messages',
    handle(message) {
      if (message.kind === 'notice') hear(message.peer, message.notice);
      else message.answer(reply(message.peer, message.query));
    },
    onError: reportError,
  });

  return {
    noticeReceived(peer, notice) {
      task.send({ kind: 'notice', peer, notice });
    },
    async queryReceived(peer, query) {
      try {
        return await new Promise<Answer>((answer) => {
          task.send({ kind: 'query', peer, query, answer });
        });
      } catch (error) {
        log.write('taskFailed', { task: 'peer messages', peer, error: String(error) });
        return NO_ANSWER;
      }
    },
  };
}
