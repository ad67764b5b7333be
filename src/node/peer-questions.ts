/**
 * What a node asks of others beside permits: changes of the configuration that it lacks, the fate
 * of a request of theirs, and allowances of teams' limits.
 */
import type { ChangeBatch } from '../configuration/index.js';
import type { RequestStatus, LimitAllowance, LimitDraw, Links } from '../links/index.js';

const ANSWER_TIMEOUT_MS = 1_000;
/** A request waits for its team's allowance, so the home of a team is not waited for long. */
const LIMITS_TIMEOUT_MS = 250;

/** Asks other nodes. */
export interface PeerQuestions {
  /** Changes after a version, from the first peer that answers; `undefined` when none did. */
  fetchChanges: (after: number) => Promise<ChangeBatch | undefined>;
  /** The fate of a request, from the node that its id names. */
  findRequestStatus: (requestId: string) => Promise<RequestStatus | undefined>;
  /** An allowance from a team's home node; `undefined` when it did not answer. */
  drawLimits: (home: string, draw: LimitDraw) => Promise<LimitAllowance | undefined>;
}

/**
 * Creates the asking side over a node's links.
 *
 * @param links the node's links
 */
export function createPeerQuestions(links: () => Pick<Links, 'peers' | 'query'>): PeerQuestions {
  return {
    async fetchChanges(after) {
      for (const peer of links().peers()) {
        const query = { kind: 'configuration.fetch' as const, after };
        const answer = await links().query(peer, query, ANSWER_TIMEOUT_MS);
        if (answer.isOk() && answer.value.kind === 'configuration.changes') return answer.value;
      }
      return undefined;
    },
    async findRequestStatus(requestId) {
      const peer = resolveNodeOf(requestId);
      const query = { kind: 'request.fate' as const, requestId };
      const answer = await links().query(peer, query, ANSWER_TIMEOUT_MS);
      if (answer.isErr() || answer.value.kind !== 'request.fate.answer') return undefined;
      return answer.value.fate;
    },
    async drawLimits(home, draw) {
      const answer = await links().query(home, draw, LIMITS_TIMEOUT_MS);
      if (answer.isErr() || answer.value.kind !== 'limits.allowance') return undefined;
      return answer.value;
    },
  };
}

const NODE_MARK = '~';

/**
 * Makes the id of a request, which names the node that took it.
 *
 * @param node the node's name
 * @param unique what tells the request from the node's others
 */
export function createRequestId(node: string, unique: string): string {
  return `${node}${NODE_MARK}${unique}`;
}

function resolveNodeOf(requestId: string): string {
  const end = requestId.lastIndexOf(NODE_MARK);
  return end < 0 ? '' : requestId.slice(0, end);
}
