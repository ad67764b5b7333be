/**
 * The task that plans the roles of one held shard's engines, group by group, and has the changes
 * carried out by the shard's orders.
 */
import type { Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/index.js';
import type { Failure } from '../errors/index.js';
import { resolveTypicalBatch, type Server, type ShardHolder } from '../permits/index.js';
import type { Order, Vm } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { ClassDemand } from './demand.js';
import type { Demand, PlannedEngine, PlanInput, RoleChange, RoleRates } from './plan.js';
import { CostedPlanner, EagerPlanner, type PlannerTerms, type RolePlanner } from './planners.js';

/** What planning needs. */
export interface RolePlanningParts {
  clock: Clock;
  holder: Pick<ShardHolder, 'servers' | 'demand'>;
  /** The groups of the configuration in force. */
  groups(): Iterable<EngineGroup>;
  isMember(group: EngineGroup, vm: Vm): boolean;
  /** Whether planners follow the mix at once, for measurements only. */
  isEager: boolean;
  /** Brings an engine into a state; settles when it took effect or was given up. */
  change(server: string, wanted: Order['wanted']): Promise<Result<void, Failure>>;
}

/** The planning of one shard. */
export interface RolePlanning {
  start(): void;
  stop(): void;
}

/** Time between two looks at the groups. */
const PLAN_EVERY_MS = 1_000;
/** Demand that an eager planner looks at. */
const EAGER_HORIZON_MS = 2_000;
/** Time that a role change takes until one was seen. */
const INITIAL_DOWNTIME_MS = 3_000;
const NEWEST_WEIGHT = 0.3;
const MS_PER_SECOND = 1_000;

/**
 * Creates the planning of a shard.
 *
 * @param parts the shard's holder and orders
 */
export function createRolePlanning(parts: RolePlanningParts): RolePlanning {
  const { clock, holder } = parts;
  const changing = new Set<string>();
  const plannedAt = new Map<string, number>();
  const beganAt = clock.now();
  let downtimeMs = INITIAL_DOWNTIME_MS;
  let timer: Timer | undefined;

  function step(): void {
    for (const group of parts.groups()) {
      if (group.roles !== undefined) planGroup(group, group.roles);
    }
    timer = clock.after(PLAN_EVERY_MS, step);
  }

  function planGroup(group: EngineGroup, terms: PlannerTerms): void {
    const now = clock.now();
    const periodMs = parts.isEager ? PLAN_EVERY_MS : terms.horizonMs / 2;
    // A plan is made from a whole horizon of demand, and not again until much of it is new.
    if (now - (plannedAt.get(group.name) ?? beganAt) < periodMs) return;
    const members = listMembers(group);
    if (members.length === 0) return;
    const changes = createPlanner(terms, parts.isEager).plan(createInput(group, members, terms));
    plannedAt.set(group.name, now);
    for (const change of changes) void carryOut(members, change);
  }

  function listMembers(group: EngineGroup): Server[] {
    const members: Server[] = [];
    for (const server of holder.servers()) {
      if (server.incarnation === '' || server.leaving) continue;
      if (parts.isMember(group, server.vm)) members.push(server);
    }
    return members;
  }

  function createInput(
    group: EngineGroup,
    members: readonly Server[],
    terms: PlannerTerms,
  ): PlanInput {
    const horizonMs = parts.isEager ? EAGER_HORIZON_MS : terms.horizonMs;
    const engines: PlannedEngine[] = [];
    for (const { vm, role, busy, heldForOrder, permits } of members) {
      const isChanging = busy || heldForOrder || changing.has(vm.id);
      engines.push({ id: vm.id, role, isChanging, permitsOut: permits.size });
    }
    return {
      engines,
      demand: sumDemand(holder.demand(group.name, horizonMs)),
      rates: resolveRates(members, clock.now()),
      downtimeMs,
    };
  }

  async function carryOut(members: readonly Server[], change: RoleChange): Promise<void> {
    const server = members.find(({ vm }) => vm.id === change.engine);
    if (server === undefined) return;
    const startedAt = clock.now();
    changing.add(change.engine);
    const changed = await parts.change(change.engine, {
      role: change.role,
      models: [...server.models],
      adapters: [...server.adapters],
    });
    changing.delete(change.engine);
    if (changed.isOk()) downtimeMs += (clock.now() - startedAt - downtimeMs) * NEWEST_WEIGHT;
  }

  return {
    start: step,
    stop() {
      timer?.cancel();
    },
  };
}

function createPlanner(terms: PlannerTerms, isEager: boolean): RolePlanner {
  return isEager ? new EagerPlanner(terms.maxAtOnce) : new CostedPlanner(terms);
}

function sumDemand(classes: readonly ClassDemand[]): Demand {
  const demand = { promptTokensPerSecond: 0, outputTokensPerSecond: 0 };
  for (const { promptTokensPerSecond, outputTokensPerSecond } of classes) {
    demand.promptTokensPerSecond += promptTokensPerSecond;
    demand.outputTokensPerSecond += outputTokensPerSecond;
  }
  return demand;
}

const unbounded = {
  fairness: false,
  shortReserve: false,
  ejection: false,
  ejectionExempt: new Set<Server>(),
};

/**
 * Mean rates of engines that do one thing only. An engine with that role is measured; of the others
 * the engine's own word is taken, for what they measure is slowed by the other half of their work.
 */
function resolveRates(members: readonly Server[], now: number): RoleRates {
  let prompt = 0;
  let output = 0;
  for (const server of members) {
    prompt += resolvePromptRate(server, now);
    output += resolveOutputRate(server, now);
  }
  return {
    promptTokensPerSecond: prompt / members.length,
    outputTokensPerSecond: output / members.length,
    mixedEfficiency: 1,
  };
}

function resolvePromptRate(server: Server, now: number): number {
  if (server.role !== 'prefill') return server.prefillTokensPerSecond;
  return Math.min(
    server.prefillTokensPerSecond,
    server.rates.tokensPrefilledIn(MS_PER_SECOND, now),
  );
}

function resolveOutputRate(server: Server, now: number): number {
  const batch = resolveTypicalBatch(server, now, unbounded);
  const nominal = batch * server.decodeTokensPerSecond;
  if (server.role !== 'decode') return nominal;
  return Math.min(nominal, (batch * MS_PER_SECOND) / server.rates.stepMs(batch, now));
}
