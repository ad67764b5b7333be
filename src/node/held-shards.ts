/**
 * The shards that this node holds at the moment: for each a holder with its tally, and a watch over
 * each of its servers.
 */
import { explainNoNewWork, isMember, type ConfigurationReplica } from '../configuration/index.js';
import type { ShardSummary } from '../links/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ShardOrders } from '../orders/index.js';
import { createShardHolder, type ShardHolder } from '../permits/index.js';
import type { RolePlanning } from '../planner/index.js';
import type { Vm } from '../ports/index.js';
import type { Backends } from '../router/index.js';
import {
  watchEngine,
  watchService,
  type HeldShard,
  type ServerWatch,
  type ServerWatchListener,
  type Shard,
} from '../shards/index.js';
import type { Decisions } from '../settings/index.js';
import { wait, type Clock } from '../task/index.js';
import type { OrdersFactory } from './orders.js';
import { createShardPlanning } from './planning.js';

/** Permits are granted after this time even if the order journal could not be read. */
const MAX_JOURNAL_READ_MS = 1_000;

/** What holding shards needs. */
export interface HeldShardsParts {
  node: string;
  clock: Clock;
  metrics: Metrics;
  backends: Backends;
  replica: Pick<ConfigurationReplica, 'current'>;
  maxQueue: number;
  /** Time between two looks at a server, in milliseconds. */
  watchEveryMs: number;
  decisions: Decisions;
  createId: () => string;
  isLeaseValid: () => boolean;
  createOrders: OrdersFactory;
  /** A shard's permits can be asked for from now on. */
  opened: (shard: string) => void;
}

/** The shards held here. */
export interface HeldShards {
  /**
   * Begins to hold a shard. Its permits can be asked for once its engines' order journals were read,
   * so that no work goes to an engine which an earlier holder's order may still reach.
   */
  begin(held: HeldShard, shard: Shard): void;
  end(name: string): void;
  /** Takes in a fresh list of servers. */
  update(shards: readonly Shard[]): void;
  find(name: string): ShardHolder | undefined;
  /** The orders to the engines of a shard held here; `undefined` for a plain service's. */
  orders(name: string): ShardOrders | undefined;
  /** Gives no further orders, before the shards are given back. */
  stopOrders(): void;
  summaries(): ShardSummary[];
  forgetNode(node: string): void;
}

interface Holding {
  holder: ShardHolder;
  orders: ShardOrders | undefined;
  planning: RolePlanning | undefined;
  kind: Shard['kind'];
  watches: Map<string, ServerWatch>;
}

/**
 * Creates an empty set of held shards.
 *
 * @param parts what their holders depend on
 */
export function createHeldShards(parts: HeldShardsParts): HeldShards {
  const holdings = new Map<string, Holding>();
  const opening = new Map<string, Holding>();

  function createHolder(held: HeldShard, kind: Shard['kind']): ShardHolder {
    return createShardHolder({
      shard: held.name,
      node: parts.node,
      fence: held.fence,
      kind,
      clock: parts.clock,
      metrics: parts.metrics,
      decisions: parts.decisions,
      maxQueue: parts.maxQueue,
      createId: parts.createId,
      isLeaseValid: parts.isLeaseValid,
      isMember: (group, vm) => {
        const snapshot = parts.replica.current();
        const found = snapshot.groups.get(group);
        return found !== undefined && isMember(snapshot, found, vm);
      },
      isWithdrawn: (vm) => explainNoNewWork(parts.replica.current(), vm) !== undefined,
    });
  }

  function updateHolding(holding: Holding, vms: readonly Vm[]): void {
    holding.holder.setVms(vms);
    holding.orders?.setVms(vms);
    const listed = new Set<string>();
    for (const vm of vms) {
      const key = `${vm.id}@${vm.address}`;
      listed.add(key);
      if (!holding.watches.has(key)) holding.watches.set(key, startWatch(holding, vm));
    }
    for (const [key, watch] of holding.watches) {
      if (listed.has(key)) continue;
      watch.stop();
      holding.watches.delete(key);
    }
  }

  function startWatch(holding: Holding, vm: Vm): ServerWatch {
    const listener = createWatchListener(holding);
    const watchParts = { clock: parts.clock, intervalMs: parts.watchEveryMs, listener };
    if (holding.kind === 'model-engine') {
      return watchEngine(parts.backends.engine(vm.id, vm.address), watchParts);
    }
    return watchService(parts.backends.service(vm.id, vm.address), watchParts);
  }

  async function open(name: string, holding: Holding): Promise<void> {
    const { orders } = holding;
    if (orders !== undefined) {
      await Promise.race([orders.start(), wait(parts.clock, MAX_JOURNAL_READ_MS)]);
    }
    if (opening.get(name) !== holding) return;
    opening.delete(name);
    holdings.set(name, holding);
    holding.planning?.start();
    parts.opened(name);
  }

  return {
    begin(held, shard) {
      const holder = createHolder(held, shard.kind);
      const orders = shard.kind === 'model-engine' ? parts.createOrders(held, holder) : undefined;
      const planning = orders && createShardPlanning(parts, holder, orders);
      const { kind } = shard;
      const holding: Holding = { holder, orders, planning, kind, watches: new Map() };
      opening.set(held.name, holding);
      updateHolding(holding, shard.vms);
      void open(held.name, holding);
    },
    end(name) {
      const holding = holdings.get(name) ?? opening.get(name);
      if (holding === undefined) return;
      holdings.delete(name);
      opening.delete(name);
      holding.planning?.stop();
      holding.orders?.stop();
      holding.holder.stop();
      for (const watch of holding.watches.values()) {
        watch.stop();
      }
    },
    update(shards) {
      const listed = new Map<string, readonly Vm[]>();
      for (const { name, vms } of shards) {
        listed.set(name, vms);
      }
      for (const [name, holding] of [...holdings, ...opening]) {
        // A shard that is no longer listed has no servers left.
        updateHolding(holding, listed.get(name) ?? []);
      }
    },
    find: (name) => holdings.get(name)?.holder,
    orders: (name) => holdings.get(name)?.orders,
    stopOrders() {
      for (const { orders, planning } of [...holdings.values(), ...opening.values()]) {
        planning?.stop();
        orders?.stop();
      }
    },
    summaries() {
      const summaries: ShardSummary[] = [];
      for (const { holder } of holdings.values()) {
        summaries.push(holder.summary());
      }
      return summaries;
    },
    forgetNode(node) {
      for (const { holder } of holdings.values()) {
        holder.forgetNode(node);
      }
    },
  };
}

function createWatchListener({ holder, orders }: Holding): ServerWatchListener {
  return {
    engineStateReceived(state) {
      holder.updateEngine(state);
      orders?.updateEngine(state);
    },
    serviceStateReceived(state) {
      holder.updateService(state);
    },
    cacheEventsReceived(server, events) {
      holder.applyCacheEvents(server, events);
    },
    answerMissed(server) {
      holder.recordMissedAnswer(server);
    },
  };
}
