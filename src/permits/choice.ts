/**
 * Which server a request gets, once it is its turn. A pure decision over the tallies.
 */
import type { PermitQuery } from '../links/index.js';
import { freeSlots, type Server } from './server.js';

/** Chooses among servers that have room. */
export interface ServerChoice {
  choose(query: PermitQuery, candidates: readonly Server[]): Server | undefined;
}

/** Tokens in one block of the prefix hashes. */
const BLOCK_TOKENS = 64;
/** Prompt tokens that one more running request is worth in the comparison of two servers. */
const TOKENS_PER_RUNNING = 96;

/** Prefers the server that has most of the prompt cached, weighed against how busy it is. */
export class AffinityChoice implements ServerChoice {
  choose(query: PermitQuery, candidates: readonly Server[]): Server | undefined {
    let best: Server | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const server of candidates) {
      const cost = this.#cost(query, server);
      if (cost >= bestCost) continue;
      best = server;
      bestCost = cost;
    }
    return best;
  }

  /** Prompt tokens still to be read here, with the server's load in the same unit. */
  #cost(query: PermitQuery, server: Server): number {
    const cached = server.prefixes.countCached(query.prefixes) * BLOCK_TOKENS;
    const toRead = Math.max(0, query.promptTokens - cached);
    return toRead + server.permits.size * TOKENS_PER_RUNNING;
  }
}

/** Prefers the server with most free places and looks at nothing else. */
export class LeastPermitsChoice implements ServerChoice {
  choose(_query: PermitQuery, candidates: readonly Server[]): Server | undefined {
    let best: Server | undefined;
    for (const server of candidates) {
      if (best === undefined || freeSlots(server) > freeSlots(best)) best = server;
    }
    return best;
  }
}
