/**
 * The orders of all engines of one held shard. Carries out the changes that the planner and the
 * engine groups want; group changes are limited to as many engines at once as a group allows.
 */
import { Err, type Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/index.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { EngineState, ModelEngine, TableService, Vm, WeightStore } from '../ports/index.js';
import type { HeldShard } from '../shards/index.js';
import type { Clock } from '../task/index.js';
import { createEngineOrders, type EngineOrders, type OrderTerms } from './engine-orders.js';
import type { FormerHolders } from './former-holders.js';
import { resolveGroupSetup } from './group-setup.js';
import { createDrain, type OrderTally } from './drain.js';
import { createOrderJournal } from './journal.js';
import { createLoadPacer } from './load-pacer.js';
import type { EngineSetup } from './rows.js';

/** Number of report periods of the routers after which a new holder relies on its tally. */
const ADOPTION_PERIODS = 2;

/** Dependencies of a shard's orders. */
export interface ShardOrdersParts {
  node: string;
  held: HeldShard;
  table: TableService;
  /** Loads are not paced without one. */
  weightStore: WeightStore | undefined;
  formers: Pick<FormerHolders, 'isCleared' | 'trackSend'>;
  tally: OrderTally;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  terms: OrderTerms;
  /** Interval at which routers report their places in use to holders, in milliseconds. */
  adoptEveryMs: number;
  createId: () => string;
  isLeaseValid: () => boolean;
  engine(vm: Vm): ModelEngine;
  /** The engine groups that a VM belongs to, by the current configuration. */
  groupsOf(vm: Vm): EngineGroup[];
  /** Called with the engine's state after it has carried out an order. */
  learned: (state: EngineState) => void;
}

/** The orders of one shard. */
export interface ShardOrders {
  /** Reads every engine's journal. */
  start(): Promise<void>;
  /** Replaces the list of the shard's servers. */
  setVms(vms: readonly Vm[]): void;
  /** Handles a state that an engine has reported. */
  updateEngine(state: EngineState): void;
  /**
   * Changes an engine's setup: drain, journal, send, settle. Resolves when the change took effect,
   * or with the failure for which it was given up.
   */
  change(server: string, wanted: EngineSetup): Promise<Result<void, Failure>>;
  /** Engines with a change pending or in progress. */
  changing(): string[];
  /** Sends no further orders. */
  stop(): void;
}

interface EngineEntry {
  vm: Vm;
  orders: EngineOrders;
}

/**
 * Creates the orders of a held shard, without any engine yet.
 *
 * @param parts the shard and what its orders depend on
 */
export function createShardOrders(parts: ShardOrdersParts): ShardOrders {
  const { clock, held } = parts;
  const journal = createOrderJournal(parts.table, held);
  const tallyCompleteAt = clock.now() + ADOPTION_PERIODS * parts.adoptEveryMs;
  const engines = new Map<string, EngineEntry>();
  const reconciled = new Set<string>();

  function add(vm: Vm): EngineEntry {
    const engine = parts.engine(vm);
    const added: EngineEntry = {
      vm,
      orders: createEngineOrders({
        engine,
        node: parts.node,
        held,
        journal,
        formers: parts.formers,
        drain: createDrain({ clock, engine, tally: parts.tally, tallyCompleteAt }),
        pace: createLoadPacer(parts.weightStore),
        clock,
        log: parts.log,
        metrics: parts.metrics,
        terms: parts.terms,
        createId: parts.createId,
        checksFence: () => added.vm.checksFence,
        isLeaseValid: parts.isLeaseValid,
        completeByGroups: (wanted) => {
          return resolveGroupSetup(parts.groupsOf(added.vm), wanted) ?? wanted;
        },
        wantedByGroups: (present) => wantedByGroups(added.vm, present),
        learned: parts.learned,
        rested: () => {
          reconciled.delete(vm.id);
        },
      }),
    };
    engines.set(vm.id, added);
    return added;
  }

  function wantedByGroups(vm: Vm, present: EngineSetup): EngineSetup | undefined {
    const groups = parts.groupsOf(vm);
    const wanted = resolveGroupSetup(groups, present);
    if (wanted === undefined) return undefined;
    if (!reconciled.has(vm.id) && countChanging() >= resolveMaxAtOnce(groups)) return undefined;
    reconciled.add(vm.id);
    return wanted;
  }

  /** Counts the engines that are changing for their groups or for the planner. */
  function countChanging(): number {
    const changing = new Set(reconciled);
    for (const [id, { orders }] of engines) {
      if (orders.isChanging()) changing.add(id);
    }
    return changing.size;
  }

  function remove(id: string, { orders }: EngineEntry): void {
    orders.stop();
    engines.delete(id);
    reconciled.delete(id);
  }

  return {
    async start() {
      const started: Promise<void>[] = [];
      for (const { orders } of engines.values()) {
        started.push(orders.start());
      }
      await Promise.all(started);
    },
    setVms(vms) {
      const listed = new Map<string, Vm>();
      for (const vm of vms) {
        listed.set(vm.id, vm);
      }
      for (const [id, known] of engines) {
        const vm = listed.get(id);
        if (vm?.address === known.vm.address) known.vm = vm;
        else remove(id, known);
      }
      for (const vm of listed.values()) {
        if (!engines.has(vm.id)) add(vm);
      }
    },
    updateEngine(state) {
      engines.get(state.id)?.orders.updateState(state);
    },
    change(server, wanted) {
      const found = engines.get(server);
      if (found === undefined) return Promise.resolve(Err(refuseUnknown(server)));
      return found.orders.change(wanted);
    },
    changing() {
      const changing: string[] = [];
      for (const [id, { orders }] of engines) {
        if (orders.isChanging()) changing.push(id);
      }
      return changing;
    },
    stop() {
      for (const { orders } of engines.values()) {
        orders.stop();
      }
    },
  };
}

function resolveMaxAtOnce(groups: readonly EngineGroup[]): number {
  let maxAtOnce = 1;
  for (const group of groups) {
    maxAtOnce = Math.max(maxAtOnce, group.roles?.maxAtOnce ?? 1);
  }
  return maxAtOnce;
}

function refuseUnknown(server: string): Failure {
  return createRefusal({
    code: 'no-backend-server',
    message: `the shard has no engine "${server}"`,
    step: 'order.journal',
    peer: server,
  });
}
