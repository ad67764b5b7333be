/**
 * Partitions backend servers into shards of bounded size. Each shard has one holder, the only node
 * that gives orders to its engines and grants permits for them.
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

/** Settings of the partition; must be equal on all nodes. */
export interface PartitionTerms {
  maxServers: number;
}

/**
 * Partitions backend servers into shards. A fleet within the limit is one shard with a single queue;
 * a larger one is split by availability zone and then by a hash of the server id.
 *
 * @param vms the platform's list, entry VMs included
 * @param terms the maximum size of a shard
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

/** Rounds up to a power of two, so that small changes of a fleet's size do not repartition it. */
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
 * Ranks nodes for a shard by rendezvous hashing: the order is the same on every node, and the loss
 * of a node affects only the shards for which it was first.
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

/** A node and its availability zone. */
export interface ZonedNode {
  node: string;
  zone: string;
}

/**
 * Selects the nodes that may hold a shard: those of its availability zone, to avoid traffic between
 * zones, or all nodes if the shard spans zones or too few nodes are in its zone.
 *
 * @param shard the shard
 * @param nodes the nodes that may hold shards
 * @param minNear minimum number of nodes in the zone
 */
export function selectNearNodes(
  shard: Shard,
  nodes: readonly ZonedNode[],
  minNear: number,
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
  return zones.size === 1 && near.length >= minNear ? near : all;
}
