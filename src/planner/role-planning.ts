/**
 * Periodic task that plans the roles of a held shard's engines, group by group. The shard's orders
 * carry out the changes.
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

/** Dependencies of role planning. */
export interface RolePlanningParts {
  clock: Clock;
  holder: Pick<ShardHolder, 'servers' | 'demand'>;
  /** The groups of the current configuration. */
  groups(): Iterable<EngineGroup>;
  isMember(group: EngineGroup, vm: Vm): boolean;
  /** Whether to use `EagerPlanner`, for measurements only. */
  isEager: boolean;
  /** Changes an engine's setup; resolves when the change took effect or was given up. */
  change(server: string, wanted: Order['wanted']): Promise<Result<void, Failure>>;
}

/** Role planning of one shard. */
export interface RolePlanning {
  start(): void;
  stop(): void;
}

const PLAN_INTERVAL_MS = 1_000;
/** Horizon over which the eager planner averages demand. */
const EAGER_HORIZON_MS = 2_000;
/** Assumed downtime of a role change, until one has been measured. */
const INITIAL_DOWNTIME_MS = 3_000;
/** Weight of the newest downtime in the moving average. */
const NEWEST_WEIGHT = 0.3;
const MS_PER_SECOND = 1_000;

/**
 * Creates the role planning of a shard.
 *
 * @param parts the shard's holder and orders
 */
export function createRolePlanning(parts: RolePlanningParts): RolePlanning {
  const { clock, holder } = parts;
  const changing = new Set<string>();
  const plannedAt = new Map<string, number>();
  const createdAt = clock.now();
  let downtimeMs = INITIAL_DOWNTIME_MS;
  let timer: Timer | undefined;

  function step(): void {
    for (const group of parts.groups()) {
      if (group.roles !== undefined) planGroup(group, group.roles);
    }
    timer = clock.after(PLAN_INTERVAL_MS, step);
  }

  function planGroup(group: EngineGroup, terms: PlannerTerms): void {
    const now = clock.now();
    const periodMs = parts.isEager ? PLAN_INTERVAL_MS : terms.horizonMs / 2;
    // Plans again only after half of the horizon, when much of the averaged demand is new.
    if (now - (plannedAt.get(group.name) ?? createdAt) < periodMs) return;
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
 * Mean rates of an engine that does only prefill or only decode. Measured rates are used only for
 * engines in that role, and the reported rates for the others, whose other work lowers the measured
 * rates.
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
  const reported = batch * server.decodeTokensPerSecond;
  if (server.role !== 'decode') return reported;
  return Math.min(reported, (batch * MS_PER_SECOND) / server.rates.stepMs(batch, now));
}
