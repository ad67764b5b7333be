/**
 * Which gateways follow the store themselves. In a small fleet all do. In a large one a few do and
 * pass on what they learn, since every call to the store costs and the store bounds their number;
 * any other gateway follows by itself as soon as it does not hear enough of those few.
 */
import { createHash } from 'node:crypto';
import type { Peer } from '../peers/index.js';

/** Fleets of at most so many gateways follow all by themselves. */
const SMALL_FLEET = 16;
/** Gateways that follow in a large fleet: enough for one to fail and one to be slow. */
const FOLLOWERS = 4;
/** Followers that pass on at once what they learn; the others make good what gets lost. Two, so that
 * one may stand still or be cut off from the store without a delay for everybody. */
const ANNOUNCERS = 2;
/** Followers that must be heard for another gateway to rely on them. */
const HEARD_FOLLOWERS = 2;
/** A follower is heard while its last word is younger than so many heartbeats. */
const FRESH_BEATS = 2.2;

/** What the choice goes by. */
export interface FollowerView {
  node: string;
  /** Cores that the gateway may use. */
  cores: number;
  peers: readonly Peer[];
  now: number;
  /** Time between two heartbeats, in milliseconds. */
  beatMs: number;
}

/**
 * Whether a gateway is among those that follow the store.
 *
 * @param view the gateway and its peers
 */
export function isFollower(view: FollowerView): boolean {
  return view.peers.length < SMALL_FLEET || countBefore(view) < FOLLOWERS;
}

/**
 * Whether a gateway passes changes on as soon as it learns them: in a large fleet the first of the
 * followers do; the others make good what gets lost.
 *
 * @param view the gateway and its peers
 */
export function isAnnouncer(view: FollowerView): boolean {
  return view.peers.length >= SMALL_FLEET && countBefore(view) < ANNOUNCERS;
}

/**
 * How many gateways go before one: those with more processor, which have the faster links as well, and
 * of equals those that are drawn first.
 */
function countBefore({ node, cores, peers }: FollowerView): number {
  const own = draw(node);
  let before = 0;
  for (const { introduction } of peers) {
    const isStronger = introduction.cores > cores;
    const isDrawnFirst = introduction.cores === cores && draw(introduction.node) < own;
    if (isStronger || isDrawnFirst) before += 1;
  }
  return before;
}

/**
 * Whether a gateway may rely on others for what the store holds.
 *
 * @param view the gateway and its peers
 */
export function mayRely(view: FollowerView): boolean {
  if (isFollower(view)) return false;
  let heard = 0;
  for (const { beat, heardAt } of view.peers) {
    const isFresh = view.now - heardAt < FRESH_BEATS * view.beatMs;
    if (beat?.isFollowing === true && isFresh) heard += 1;
  }
  return heard >= HEARD_FOLLOWERS;
}

/** A fixed number for each name, so that all gateways agree without a word. */
function draw(node: string): string {
  const known = draws.get(node);
  if (known !== undefined) return known;
  const created = createHash('sha1').update(`follower/${node}`).digest('hex');
  draws.set(node, created);
  return created;
}

/** Draws so far; one for each gateway that was ever known. */
const draws = new Map<string, string>();
