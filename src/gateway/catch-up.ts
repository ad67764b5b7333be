/**
 * When a gateway asks a peer for routes or registry changes that it lacks. A gateway that relies on
 * others asks the first that knows more, so that what has changed crosses one link to each gateway; one
 * that follows the store by itself waits for its own read first. Decides on what it is told, the time
 * among it.
 */
import type { StoreVersions } from '../peers/index.js';

/** What a peer can be asked for. */
export type StorePart = keyof StoreVersions;

/** How long the store is waited for by a gateway that follows it, in ms: well beyond the way of a change
 * through the store, and one heartbeat. */
const OWN_READ_MS = 600;
/** After so long without what was asked for another peer is asked, in ms: some hundred kilobytes on a link of
 * a few Mbit/s, or two heartbeats of a peer that is cut off. */
const ANSWER_MS = 900;

/** What is known when a peer says how far it is. */
export interface PeerProgress {
  now: number;
  theirs: StoreVersions;
  own: StoreVersions;
  /** Whether this gateway relies on others for what the store holds. */
  reliesOnPeers: boolean;
}

/** Decides what to ask peers for. */
export interface CatchUp {
  /** Says what to ask a peer for now, by how far it is. */
  chooseParts(progress: PeerProgress): StorePart[];
}

interface Lag {
  /** Since when a peer is known to be ahead. */
  since: number;
  askedAt: number;
  /** What was asked for is at least this new. */
  askedFor: number;
}

/** Creates the decisions of a gateway that is behind nobody. */
export function createCatchUp(): CatchUp {
  const lags = new Map<StorePart, Lag>();

  function isToBeAsked(
    part: StorePart,
    { now, theirs, own, reliesOnPeers }: PeerProgress,
  ): boolean {
    if (theirs[part] <= own[part]) return false;
    let lag = lags.get(part);
    if (lag === undefined || own[part] >= lag.askedFor) {
      lag = { since: now, askedAt: Number.NEGATIVE_INFINITY, askedFor: theirs[part] };
      lags.set(part, lag);
    }
    if (!reliesOnPeers && now - lag.since < OWN_READ_MS) return false;
    if (now - lag.askedAt < ANSWER_MS) return false;
    lag.askedAt = now;
    lag.askedFor = theirs[part];
    return true;
  }

  return {
    chooseParts(progress) {
      const parts: StorePart[] = [];
      for (const part of ['routes', 'fleet'] as const) {
        if (isToBeAsked(part, progress)) parts.push(part);
      }
      return parts;
    },
  };
}
