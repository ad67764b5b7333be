/**
 * The relays between the processes of a cluster, and which of them are cut.
 */
import {
  listEngines,
  listNodes,
  listServices,
  resolveAddresses,
  resolvePlatform,
  resolveServerAddress,
  type ClusterPlan,
  type PlatformOrigins,
} from '../common/index.js';
import { createListView, type ListView } from './list-view.js';
import { createRelay, type Relay } from './relay.js';
import { listLocalPorts } from './sockets.js';
import type { CutSide } from './steps.js';

/** All relays of a cluster. */
export interface Network {
  platformOf(node: string): PlatformOrigins;
  settingsOf(node: string): Record<string, unknown>;
  /**
   * Cuts a node off.
   *
   * @param pid the node's process
   */
  cut(node: string, side: CutSide, pid: number): void;
  restore(node: string, side: CutSide): void;
  close(): Promise<void>;
}

interface NodeRelays {
  table: Relay;
  list: Relay;
  /** Before the node's own peer address. */
  peers: Relay;
  servers: Map<string, Relay>;
  view: ListView;
}

/** Starts the relays of all nodes of a plan. */
export async function createNetwork(plan: ClusterPlan): Promise<Network> {
  const nodes = new Map<string, NodeRelays>();
  const peers = new Map<string, Relay>();
  for (const node of listNodes(plan)) {
    peers.set(node, await createRelay(resolveAddresses(plan, node).peer));
  }
  for (const [node, own] of peers) nodes.set(node, await createNodeRelays(plan, own, peers));

  function find(node: string): NodeRelays {
    const relays = nodes.get(node);
    if (relays === undefined) throw new Error(`there is no node ${node}`);
    return relays;
  }

  function relaysOf(node: string, side: CutSide): Relay[] {
    const relays = find(node);
    if (side === 'table') return [relays.table];
    if (side === 'list') return [relays.list];
    if (side === 'servers') return [...relays.servers.values()];
    return [...nodes.values()].map(({ peers }) => peers);
  }

  return {
    platformOf(node) {
      const relays = find(node);
      const { objectStore, weightStore } = resolvePlatform(plan);
      const tableService = `http://${relays.table.address}`;
      return { tableService, objectStore, vmList: `http://${relays.list.address}`, weightStore };
    },
    settingsOf: (node) => ({ advertise: { peer: find(node).peers.address } }),
    cut(node, side, pid) {
      for (const relay of relaysOf(node, side)) {
        const isOwn = side !== 'peers' || relay === find(node).peers;
        relay.cut(isOwn ? undefined : (port) => listLocalPorts(pid).has(port));
      }
    },
    restore(node, side) {
      for (const relay of relaysOf(node, side)) relay.restore();
    },
    async close() {
      for (const { table, list, peers, servers, view } of nodes.values()) {
        for (const relay of [table, list, peers, ...servers.values()]) await relay.close();
        await view.close();
      }
    },
  };
}

async function createNodeRelays(
  plan: ClusterPlan,
  own: Relay,
  peers: ReadonlyMap<string, Relay>,
): Promise<NodeRelays> {
  const platform = resolvePlatform(plan);
  const servers = new Map<string, Relay>();
  for (const id of [...listEngines(plan), ...listServices(plan)]) {
    servers.set(id, await createRelay(resolveServerAddress(plan, id)));
  }
  const view = await createListView(platform.vmList, (vm) => {
    return (servers.get(vm) ?? peers.get(vm))?.address;
  });
  const table = await createRelay(new URL(platform.tableService).host);
  const list = await createRelay(new URL(view.origin).host);
  return { table, list, peers: own, servers, view };
}
