import { expect } from 'chai';
import { createFollowers } from '../../src/gateway/followers.js';
import type { GatewayState } from '../../src/peers/index.js';

/** The first ten gateways have more cores than the others. */
function coresOf(node: string): number {
  return Number(node.slice('node-'.length)) < 10 ? 1.35 : 0.324;
}

function peer(node: string, isFollowing: boolean): GatewayState {
  return {
    node,
    incarnation: node,
    sequence: 1,
    address: '',
    front: '',
    zone: 'a',
    cores: coresOf(node),
    isReady: true,
    isFollowing,
  };
}

function names(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `node-${index}`);
}

/** The decision of one gateway, which believes those alive for which `alive` holds. */
function createFollowersOf(
  node: string,
  all: readonly string[],
  alive: (peer: string) => boolean = () => true,
  isConnected = true,
) {
  const others = all.filter((name) => name !== node && alive(name));
  const createBeforeFollowing = (name: string) =>
    createFollowers(() => ({
      node: name,
      cores: coresOf(name),
      peers: all.filter((other) => other !== name).map((other) => peer(other, false)),
      isConnected,
    }));
  const peers = others.map((name) => peer(name, createBeforeFollowing(name).isFollower()));
  return createFollowers(() => ({ node, cores: coresOf(node), peers, isConnected }));
}

describe('the gateways that follow the store', () => {
  it('are all gateways in a small fleet', () => {
    const all = names(9);
    for (const node of all) {
      const followers = createFollowersOf(node, all);
      expect(followers.isFollower()).to.equal(true);
      expect(followers.mayRelyOnPeers()).to.equal(false);
      expect(followers.isLargeFleet()).to.equal(false);
    }
  });

  it('are a few in a large fleet', () => {
    const all = names(80);
    const followers = all.filter((node) => createFollowersOf(node, all).isFollower());
    const relying = all.filter((node) => createFollowersOf(node, all).mayRelyOnPeers());
    expect(followers).to.have.length(4);
    expect(relying).to.have.length(76);
  });

  it('are those with the most cores', () => {
    const all = names(80);
    const followers = all.filter((node) => createFollowersOf(node, all).isFollower());
    expect(followers.map(coresOf)).to.deep.equal([1.35, 1.35, 1.35, 1.35]);
  });

  it('are joined by a gateway that believes too few of them alive', () => {
    const all = names(80);
    const followers = new Set(all.filter((node) => createFollowersOf(node, all).isFollower()));
    const node = all.find((name) => !followers.has(name)) ?? '';
    expect(createFollowersOf(node, all).mayRelyOnPeers()).to.equal(true);
    expect(createFollowersOf(node, all, (name) => !followers.has(name)).mayRelyOnPeers()).to.equal(
      false,
    );
  });

  it('are joined by a gateway that is cut off from its partners', () => {
    const all = names(80);
    const node = all.find((name) => createFollowersOf(name, all).mayRelyOnPeers()) ?? '';
    expect(createFollowersOf(node, all, () => true, false).mayRelyOnPeers()).to.equal(false);
  });
});
