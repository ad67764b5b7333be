/**
 * Which backend servers belong together. A shard holds up to some number of servers of one fleet
 * and has one holder, which alone orders its engines and grants permits for them.
 */
import { hashName } from '../gossip/index.js';
import type { Vm } from '../ports/index.js';

/** The servers of one shard. */
export interface Shard {
  name: string;
  kind: 'model-engine' | 'plain-service';
  /** Ordered by id. */
  vms: Vm[];
}

/** What the partition depends on; the same on every node. */
export interface PartitionTerms {
  maxServers: number;
}

/**
 * Sorts backend servers into shards. A fleet within the limit is one shard, so that its queue is
 * one; a larger one is split by availability zone first and then evenly by a hash of the id.
 *
 * @param vms the platform's list, entry VMs included
 * @param terms the limit on a shard's size
 */
export function resolveShards(vms: readonly Vm[], terms: PartitionTerms): Shard[] {
  const shards: Shard[] = [];
  for (const fleet of groupVms(vms, fleetOf).values()) {
    shards.push(...splitFleet(fleet, terms));
  }
  shards.sort((left, right) => left.name.localeCompare(right.name));
  return shards;
}

function fleetOf(vm: Vm): string {
  return `${vm.kind}/${vm.service}`;
}

function splitFleet(fleet: Vm[], terms: PartitionTerms): Shard[] {
  const first = fleet[0];
  if (first === undefined || first.kind === 'entry') return [];
  if (fleet.length <= terms.maxServers) return [createShard(first.service, first.kind, fleet)];
  const shards: Shard[] = [];
  for (const [zone, vms] of groupVms(fleet, (vm) => vm.zone)) {
    const buckets = bucketCount(vms.length, terms.maxServers);
    const byBucket = groupVms(vms, (vm) => String(hashName(vm.id) % buckets));
    for (const [bucket, members] of byBucket) {
      shards.push(createShard(`${first.service}.${zone}.${bucket}`, first.kind, members));
    }
  }
  return shards;
}

/** A power of two with room to spare, so that a fleet of about the same size stays as it is. */
function bucketCount(servers: number, maxServers: number): number {
  let buckets = 1;
  while (buckets * maxServers < servers) buckets *= 2;
  return buckets;
}

function createShard(name: string, kind: Shard['kind'], vms: Vm[]): Shard {
  vms.sort((left, right) => left.id.localeCompare(right.id));
  return { name, kind, vms };
}

function groupVms(vms: readonly Vm[], keyOf: (vm: Vm) => string): Map<string, Vm[]> {
  const groups = new Map<string, Vm[]>();
  for (const vm of vms) {
    if (vm.kind === 'entry') continue;
    const key = keyOf(vm);
    const group = groups.get(key) ?? [];
    group.push(vm);
    groups.set(key, group);
  }
  return groups;
}

/**
 * Orders nodes by how much they want a shard (rendezvous hashing): the same order on every node,
 * and the loss of one node moves only what that node had.
 *
 * @param shard name of the shard
 * @param nodes names of the nodes that may hold it
 */
export function rankNodes(shard: string, nodes: readonly string[]): string[] {
  const scored = [];
  for (const node of nodes) {
    scored.push({ node, score: hashName(`${shard}@${node}`) });
  }
  scored.sort((left, right) => right.score - left.score || left.node.localeCompare(right.node));
  return scored.map(({ node }) => node);
}

/** A node, as far as its nearness to servers goes. */
export interface ZonedNode {
  node: string;
  zone: string;
}

/**
 * Names of the nodes that are to hold a shard: those of its availability zone, so that permits and
 * watches stay within it, or all when the shard spans zones or too few nodes are in its zone.
 *
 * @param shard the shard
 * @param nodes the nodes that may hold shards
 * @param least how many must be near for the others to be left out
 */
export function selectNearNodes(
  shard: Shard,
  nodes: readonly ZonedNode[],
  least: number,
): string[] {
  const zones = new Set<string>();
  for (const { zone } of shard.vms) {
    zones.add(zone);
  }
  const near: string[] = [];
  const all: string[] = [];
  for (const { node, zone } of nodes) {
    all.push(node);
    if (zones.has(zone)) near.push(node);
  }
  return zones.size === 1 && near.length >= least ? near : all;
}
