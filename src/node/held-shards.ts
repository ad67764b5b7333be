/**
 * The shards that this node holds at the moment: for each a holder with its tally, and a watch over
 * each of its servers.
 */
import { explainNoNewWork, isMember, type ConfigurationReplica } from '../configuration/index.js';
import type { ShardSummary } from '../links/index.js';
import type { Metrics } from '../metrics/index.js';
import { AffinityChoice, createShardHolder, type ShardHolder } from '../permits/index.js';
import type { Vm } from '../platform/index.js';
import type { Backends } from '../router/index.js';
import {
  watchEngine,
  watchService,
  type HeldShard,
  type ServerWatch,
  type ServerWatchOwner,
  type Shard,
} from '../shards/index.js';
import type { Clock } from '../task/index.js';

const WATCH_EVERY_MS = 500;

/** What holding shards needs. */
export interface HeldShardsParts {
  node: string;
  clock: Clock;
  metrics: Metrics;
  backends: Backends;
  replica: Pick<ConfigurationReplica, 'current'>;
  maxQueue: number;
  createId: () => string;
  isLeaseValid: () => boolean;
}

/** The shards held here. */
export interface HeldShards {
  begin(held: HeldShard, shard: Shard): void;
  end(name: string): void;
  /** Takes in a fresh list of servers. */
  update(shards: readonly Shard[]): void;
  find(name: string): ShardHolder | undefined;
  summaries(): ShardSummary[];
  forgetNode(node: string): void;
}

interface Holding {
  holder: ShardHolder;
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

  function createHolder(held: HeldShard, kind: Shard['kind']): ShardHolder {
    return createShardHolder({
      shard: held.name,
      node: parts.node,
      fence: held.fence,
      kind,
      clock: parts.clock,
      metrics: parts.metrics,
      choice: new AffinityChoice(),
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
    const owner = createWatchOwner(holding.holder);
    const watchParts = { clock: parts.clock, everyMs: WATCH_EVERY_MS, owner };
    if (holding.kind === 'model-engine') {
      return watchEngine(parts.backends.engine(vm.id, vm.address), watchParts);
    }
    return watchService(parts.backends.service(vm.id, vm.address), watchParts);
  }

  return {
    begin(held, shard) {
      const holder = createHolder(held, shard.kind);
      const holding: Holding = { holder, kind: shard.kind, watches: new Map() };
      holdings.set(held.name, holding);
      updateHolding(holding, shard.vms);
    },
    end(name) {
      const holding = holdings.get(name);
      if (holding === undefined) return;
      holdings.delete(name);
      holding.holder.stop();
      for (const watch of holding.watches.values()) {
        watch.stop();
      }
    },
    update(shards) {
      for (const shard of shards) {
        const holding = holdings.get(shard.name);
        if (holding !== undefined) updateHolding(holding, shard.vms);
      }
    },
    find: (name) => holdings.get(name)?.holder,
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

function createWatchOwner(holder: ShardHolder): ServerWatchOwner {
  return {
    engineState(state) {
      holder.learnEngine(state);
    },
    serviceState(state) {
      holder.learnService(state);
    },
    load(server, report) {
      holder.learnLoad(server, report);
    },
    silent(server) {
      holder.learnSilence(server);
    },
  };
}
