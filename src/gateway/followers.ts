/**
 * Which gateways follow the store themselves. In a small fleet all do. In a large one a few do and
 * pass on what they learn, since every call to the store costs and the store bounds their number;
 * any other gateway follows by itself as soon as it does not hear enough of those few.
 */
import { createHash } from 'node:crypto';
import type { GatewayState } from '../peers/index.js';

/** Fleets of at most so many gateways follow all by themselves. */
const SMALL_FLEET = 16;
/** Gateways that follow in a large fleet: enough for one to fail and one to be slow. */
const FOLLOWERS = 4;
/** Followers that must be heard for another gateway to rely on them. */
const HEARD_FOLLOWERS = 2;
/** What the choice goes by. */
export interface FollowerView {
  node: string;
  /** Cores that the gateway may use. */
  cores: number;
  /** Peers believed alive; the same array until it changes. */
  peers: readonly GatewayState[];
  /** Whether this gateway hears its partners, through which followers pass things on. */
  isConnected: boolean;
}

/** Who follows the store, as one gateway sees it. */
export interface Followers {
  /** Whether this gateway is among those that follow the store. */
  isFollower(): boolean;
  /** Whether there are gateways that do not follow it, so that what is read there is passed on at once. */
  isLargeFleet(): boolean;
  /** Whether this gateway may rely on others for what the store holds. */
  mayRelyOnPeers(): boolean;
}

interface Count {
  of: readonly GatewayState[];
  /** Gateways that go before this one. */
  before: number;
  /** Peers that follow the store, and are answered by it. */
  following: number;
}

/**
 * Creates the choice of a gateway. It is worked out when the peers change, not for each question.
 *
 * @param look what the gateway sees now
 */
export function createFollowers(look: () => FollowerView): Followers {
  let count: Count | undefined;

  function resolveCount(view: FollowerView): Count {
    if (count?.of !== view.peers) count = countPeers(view);
    return count;
  }

  function isLargeFleet(): boolean {
    return look().peers.length >= SMALL_FLEET;
  }

  function isFollower(): boolean {
    return !isLargeFleet() || resolveCount(look()).before < FOLLOWERS;
  }

  return {
    isFollower,
    isLargeFleet,
    mayRelyOnPeers() {
      const view = look();
      if (isFollower() || !view.isConnected) return false;
      return resolveCount(view).following >= HEARD_FOLLOWERS;
    },
  };
}

/** Those with more processor go first, since they have the faster links as well, and of equals those
 * that are drawn first. */
function countPeers({ node, cores, peers }: FollowerView): Count {
  const own = draw(node);
  const count: Count = { of: peers, before: 0, following: 0 };
  for (const peer of peers) {
    const isDrawnFirst = peer.cores === cores && draw(peer.node) < own;
    if (peer.cores > cores || isDrawnFirst) count.before += 1;
    if (peer.isFollowing) count.following += 1;
  }
  return count;
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
