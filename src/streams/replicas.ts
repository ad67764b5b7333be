/**
 * Chooses the gateways that keep where a stream began. Every gateway finds them from the attempt's id alone, by
 * rendezvous hashing. Ids are grouped into a fixed number of buckets, so that the links that a gateway needs for this
 * are bounded in a fleet of any size.
 */
import { hashName } from '../gossip/index.js';

/** Number of buckets of attempts. A gateway has links to at most this many times `QUERIED` others. */
export const BUCKETS = 16;
/** Replicas beside the gateway that began the stream; two of them may be lost with it. */
const REPLICAS = 3;
/** Gateways that are asked: the replicas leave out the gateway that began the stream, which may be anyone. */
const QUERIED = REPLICAS + 1;

/** Chooses replicas. */
export interface Replicas {
  /** Gateways that keep where a stream began, beside this one. */
  toRecord(attempt: string): readonly string[];
  /** Gateways to ask where a stream began, beside this one. */
  toQuery(attempt: string): readonly string[];
  /** Whether this gateway is the first replica of a bucket, which stores its records on the platform. */
  isFirst(bucket: number): boolean;
}

/** The bucket of an attempt, the same at every gateway. */
export function resolveBucket(attempt: string): number {
  return hashName(attempt) % BUCKETS;
}

/**
 * Creates the choice.
 *
 * @param self name of this gateway
 * @param peers the others that keep records; the same array until they change
 */
export function createReplicas(self: string, peers: () => readonly string[]): Replicas {
  /** By bucket, best first, this gateway included; cached until the peers change. */
  const rankings = new Map<number, readonly string[]>();
  let rankedFrom: readonly string[] | undefined;

  function rank(bucket: number): readonly string[] {
    const names = peers();
    if (names !== rankedFrom) {
      rankings.clear();
      rankedFrom = names;
    }
    const known = rankings.get(bucket);
    if (known !== undefined) return known;
    const weightOf = (node: string) => hashName(`${bucket}/${node}`);
    const all = [self, ...names].sort((left, right) => weightOf(right) - weightOf(left));
    const ranking = all.slice(0, QUERIED);
    rankings.set(bucket, ranking);
    return ranking;
  }

  function rankOthers(attempt: string): string[] {
    return rank(resolveBucket(attempt)).filter((node) => node !== self);
  }

  return {
    toRecord: (attempt) => rankOthers(attempt).slice(0, REPLICAS),
    toQuery: rankOthers,
    isFirst: (bucket) => rank(bucket)[0] === self,
  };
}
