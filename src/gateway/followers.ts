/**
 * Decides which gateways follow the store directly. In a small fleet all do. In a large one a few do and relay
 * changes, since the store limits the rate of calls; any other gateway follows the store itself while too few
 * of these are alive.
 */
import { createHash } from 'node:crypto';
import type { GatewayState } from '../peers/index.js';

/** Largest fleet in which all gateways follow the store. */
const MAX_SMALL_FLEET = 16;
/** Followers in a large fleet; one may fail and one may be slow. */
const FOLLOWER_COUNT = 4;
/** Live followers that another gateway needs to rely on them. */
const MIN_LIVE_FOLLOWERS = 2;

/** Input of the decision. */
export interface FollowerView {
  node: string;
  /** CPU cores that the gateway may use. */
  cores: number;
  /** Peers believed alive; the same array until it changes. */
  peers: readonly GatewayState[];
  /** Whether this gateway receives messages from its partners, which relay changes. */
  isConnected: boolean;
}

/** The decision of one gateway. */
export interface Followers {
  /** Whether this gateway is chosen to follow the store. */
  isFollower(): boolean;
  /** Whether some gateways do not follow the store, so that changes are announced to peers at once. */
  isLargeFleet(): boolean;
  /** Whether this gateway may rely on peers for the store's contents. */
  mayRelyOnPeers(): boolean;
}

interface Count {
  peers: readonly GatewayState[];
  /** Number of peers ranked before this gateway. */
  ahead: number;
  /** Number of peers that follow the store and reach it. */
  following: number;
}

/**
 * Creates the decision of a gateway; it is computed again only when the peers change.
 *
 * @param getView returns the current input
 */
export function createFollowers(getView: () => FollowerView): Followers {
  let count: Count | undefined;

  function resolveCount(view: FollowerView): Count {
    if (count?.peers !== view.peers) count = countPeers(view);
    return count;
  }

  function isLargeFleet(): boolean {
    return getView().peers.length >= MAX_SMALL_FLEET;
  }

  function isFollower(): boolean {
    return !isLargeFleet() || resolveCount(getView()).ahead < FOLLOWER_COUNT;
  }

  return {
    isFollower,
    isLargeFleet,
    mayRelyOnPeers() {
      const view = getView();
      if (isFollower() || !view.isConnected) return false;
      return resolveCount(view).following >= MIN_LIVE_FOLLOWERS;
    },
  };
}

/** Ranks gateways by cores, since those with more also have faster links, then by the hash of their names. */
function countPeers({ node, cores, peers }: FollowerView): Count {
  const own = hashNode(node);
  const count: Count = { peers, ahead: 0, following: 0 };
  for (const peer of peers) {
    const winsTie = peer.cores === cores && hashNode(peer.node) < own;
    if (peer.cores > cores || winsTie) count.ahead += 1;
    if (peer.isFollowing) count.following += 1;
  }
  return count;
}

/** Hashes a name, so that all gateways agree on the order without coordination. */
function hashNode(node: string): string {
  const cached = nodeHashes.get(node);
  if (cached !== undefined) return cached;
  const created = createHash('sha1').update(`follower/${node}`).digest('hex');
  nodeHashes.set(node, created);
  return created;
}

/** Hashes by name, for each gateway that was ever known. */
const nodeHashes = new Map<string, string>();
