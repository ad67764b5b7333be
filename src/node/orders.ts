/**
 * How a node gives orders to the engines of the shards that it holds: the journal, the proofs about
 * former holders and the weight store, joined with the tally of the shard.
 */
import {
  explainNoNewWork,
  isMember,
  type ConfigurationReplica,
  type EngineGroup,
} from '../configuration/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import { createShardOrders, type FormerHolders, type ShardOrders } from '../orders/index.js';
import type { ShardHolder } from '../permits/index.js';
import type { TableService, Vm, WeightStore } from '../ports/index.js';
import type { Backends } from '../router/index.js';
import type { Settings } from '../settings/index.js';
import type { HeldShard } from '../shards/index.js';
import type { Clock } from '../task/index.js';

/** What giving orders needs of the node. */
export interface OrdersParts {
  node: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  backends: Pick<Backends, 'engine'>;
  replica: Pick<ConfigurationReplica, 'current'>;
  table: TableService;
  weightStore: WeightStore | undefined;
  formers: FormerHolders;
  settings: Pick<Settings, 'lease' | 'orders'>;
  /** Time between two moments at which routers tell holders their places, in milliseconds. */
  adoptEveryMs: number;
  createId: () => string;
  isLeaseValid: () => boolean;
}

/** Makes the orders of a shard that was taken. */
export type OrdersFactory = (held: HeldShard, holder: ShardHolder) => ShardOrders;

/**
 * Creates the maker of shard orders of a node.
 *
 * @param parts the node's ports and settings
 */
export function createOrdersFactory(parts: OrdersParts): OrdersFactory {
  const { settings, replica } = parts;
  const terms = {
    drainMs: settings.orders.drainMs,
    tryAgainMs: settings.orders.tryAgainMs,
    sendMs: (settings.lease.takerMs - settings.lease.holderMs) / 2,
  };

  function groupsOf(vm: Vm): EngineGroup[] {
    const snapshot = replica.current();
    if (explainNoNewWork(snapshot, vm) !== undefined) return [];
    const groups: EngineGroup[] = [];
    for (const group of snapshot.groups.values()) {
      if (isMember(snapshot, group, vm)) groups.push(group);
    }
    return groups;
  }

  return (held, holder) =>
    createShardOrders({
      node: parts.node,
      held,
      table: parts.table,
      weightStore: parts.weightStore,
      formers: parts.formers,
      tally: {
        hold: (engine, isHeld) => {
          holder.holdForOrder(engine, isHeld);
        },
        permitsOut: (engine) => holder.permitsOn(engine),
      },
      clock: parts.clock,
      log: parts.log,
      metrics: parts.metrics,
      terms,
      adoptEveryMs: parts.adoptEveryMs,
      createId: parts.createId,
      isLeaseValid: parts.isLeaseValid,
      engine: (vm) => parts.backends.engine(vm.id, vm.address),
      groupsOf,
      learned: (state) => {
        holder.updateEngine(state);
      },
    });
}
