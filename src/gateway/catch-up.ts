/**
 * Decides when a gateway requests missing routes or registry changes from a peer. A gateway that relies on
 * peers asks the first one that is ahead, so that each change is sent to it once; one that follows the store
 * waits for its own read first. Pure: the caller passes the time.
 */
import type { StoreVersions } from '../peers/index.js';

/** The parts of the store's contents that a peer can be asked for. */
export type StorePart = keyof StoreVersions;

/** Time that a gateway that follows the store waits for its own read, in ms; longer than a change usually
 * takes through the store, plus one heartbeat. */
const OWN_READ_TIMEOUT_MS = 600;
/** Time after which another peer is asked, in ms: enough to transfer some hundred kilobytes at a few Mbit/s,
 * and two heartbeats. */
const RESPONSE_TIMEOUT_MS = 900;

/** Input of {@link CatchUp.chooseParts}. */
export interface PeerProgress {
  now: number;
  theirs: StoreVersions;
  own: StoreVersions;
  /** Whether this gateway relies on peers for the store's contents. */
  reliesOnPeers: boolean;
}

/** Decides what to request from peers. */
export interface CatchUp {
  /** Chooses what to request from a peer now, by its versions. */
  chooseParts(progress: PeerProgress): StorePart[];
}

interface Lag {
  /** When a peer was first known to be ahead. */
  since: number;
  requestedAt: number;
  /** Version that the peer had when it was last asked. */
  requestedVersion: number;
}

/** Creates the decisions of a gateway that is up to date. */
export function createCatchUp(): CatchUp {
  const lags = new Map<StorePart, Lag>();

  function shouldRequest(
    part: StorePart,
    { now, theirs, own, reliesOnPeers }: PeerProgress,
  ): boolean {
    if (theirs[part] <= own[part]) return false;
    let lag = lags.get(part);
    if (lag === undefined || own[part] >= lag.requestedVersion) {
      lag = { since: now, requestedAt: Number.NEGATIVE_INFINITY, requestedVersion: theirs[part] };
      lags.set(part, lag);
    }
    if (!reliesOnPeers && now - lag.since < OWN_READ_TIMEOUT_MS) return false;
    if (now - lag.requestedAt < RESPONSE_TIMEOUT_MS) return false;
    lag.requestedAt = now;
    lag.requestedVersion = theirs[part];
    return true;
  }

  return {
    chooseParts(progress) {
      const parts: StorePart[] = [];
      for (const part of ['routes', 'fleet'] as const) {
        if (shouldRequest(part, progress)) parts.push(part);
      }
      return parts;
    },
  };
}
