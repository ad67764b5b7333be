/**
 * Makes the planning of a held shard from what a node has: its configuration and the shard's orders.
 */
import { isMember, type ConfigurationReplica } from '../configuration/index.js';
import type { ShardOrders } from '../orders/index.js';
import type { ShardHolder } from '../permits/index.js';
import { createRolePlanning, type RolePlanning } from '../planner/index.js';
import type { Decisions } from '../settings/index.js';
import type { Clock } from '../task/index.js';

/** What the planning of a node's shards depends on. */
export interface PlanningParts {
  clock: Clock;
  replica: Pick<ConfigurationReplica, 'current'>;
  decisions: Decisions;
}

/**
 * Creates the planning of a held shard; `undefined` when the settings switch it off.
 *
 * @param parts the node's clock, configuration and settings
 * @param holder the shard's holder
 * @param orders the shard's orders
 */
export function createShardPlanning(
  { clock, replica, decisions }: PlanningParts,
  holder: ShardHolder,
  orders: ShardOrders,
): RolePlanning | undefined {
  if (!decisions.planner) return undefined;
  return createRolePlanning({
    clock,
    holder,
    groups: () => replica.current().groups.values(),
    isMember: (group, vm) => isMember(replica.current(), group, vm),
    isEager: decisions.eagerPlanner,
    change: (server, wanted) => orders.change(server, wanted),
  });
}
