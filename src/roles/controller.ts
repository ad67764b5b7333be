/**
 * Keeps the split of a service's engines between prefill and decode as planned. An engine is
 * unavailable while its role changes, so only a lasting deviation is corrected.
 */
import { match } from 'ts-pattern';
import type { Log } from '../events/index.js';
import type { EngineRole, RegisteredServer } from '../fleet/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { OrderLease, OrderGrant } from './order-lease.js';
import type { EngineState, RoleOrders } from './orders.js';
import { resolveChanges, type RoleChange } from './plan.js';

/** Interval between two checks of the split, in ms. */
const CHECK_INTERVAL_MS = 400;
/** The same while no engine is known yet, so that a gateway that has just started soon knows which ones change. */
const FIRST_CHECK_INTERVAL_MS = 50;
/** How long a deviation must last before it is corrected, in ms: longer than an entry takes to come back after a
 * restart. */
const MIN_DEVIATION_MS = 1_200;
/** Delay within which an engine's new role appears in the registry, in ms; then the engine is asked. */
const REGISTRY_DELAY_MS = 3_000;

/** Dependencies of the role controller. */
export interface RoleControllerParts {
  node: string;
  clock: Clock;
  log: Log;
  lease: OrderLease;
  orders: RoleOrders;
  /** Services with engines that this gateway schedules. */
  services(): readonly string[];
  engines(service: string): readonly RegisteredServer[];
  /** Decode work, as the number of engines that it would keep busy; `undefined` if unknown. */
  decodeLoad(service: string): number | undefined;
  /** How long an engine is unavailable while its role changes, in milliseconds. */
  roleChangeMs(service: string): number;
}

/** Controls the roles of engines. */
export interface RoleController {
  start(): void;
  /** Whether an engine was ordered to change its role and its new role is not registered yet. */
  isChanging(id: string): boolean;
  stop(): void;
}

interface PendingChange {
  role: EngineRole;
  until: number;
}

/**
 * Creates the role controller of a gateway.
 *
 * @param parts the engines, the order lease and the client for role orders
 */
export function createRoleController(parts: RoleControllerParts): RoleController {
  const { clock, log } = parts;
  const pending = new Map<string, PendingChange>();
  const deviatesSince = new Map<string, number>();
  /** Engines whose state was asked for since they became known. */
  const asked = new Set<string>();
  let timer: Timer | undefined;
  let stopped = false;

  /** Engines with their current or pending roles. */
  function listEngines(service: string): RegisteredServer[] {
    const found: RegisteredServer[] = [];
    for (const engine of parts.engines(service)) {
      const change = pending.get(engine.id);
      found.push(change === undefined ? engine : { ...engine, role: change.role });
    }
    return found;
  }

  /** Removes pending changes that are registered; engines whose change is overdue are asked again. */
  function removeFinished(): void {
    const now = clock.now();
    for (const service of parts.services()) {
      for (const { id, role } of parts.engines(service)) {
        if (pending.get(id)?.role === role) pending.delete(id);
      }
    }
    const present = listPresent();
    for (const [id, { until }] of pending) {
      if (until >= now) continue;
      // an engine finishes its running work first, however long that takes
      if (present.has(id)) asked.delete(id);
      else pending.delete(id);
    }
    for (const id of asked) {
      if (!present.has(id)) asked.delete(id);
    }
  }

  /** Ids of the engines that this gateway schedules. */
  function listPresent(): Set<string> {
    const present = new Set<string>();
    for (const service of parts.services()) {
      for (const { id } of parts.engines(service)) present.add(id);
    }
    return present;
  }

  function setPending(id: string, service: string, role: EngineRole): void {
    const until = clock.now() + parts.roleChangeMs(service) + REGISTRY_DELAY_MS;
    pending.set(id, { role, until });
  }

  /**
   * Asks engines that are new to this controller whether they change their role: another controller, which is gone, may
   * have ordered it, and the registry still has the role before.
   */
  async function askNewEngines(service: string): Promise<void> {
    const added = parts.engines(service).filter(({ id }) => !asked.has(id));
    for (const { id } of added) asked.add(id);
    await Promise.all(added.map((engine) => askRole(service, engine)));
  }

  async function askRole(service: string, engine: RegisteredServer): Promise<void> {
    if (engine.role === undefined) return;
    const state = await parts.orders.state(engine);
    if (state.isErr()) {
      // not known: it is asked again at the next check
      asked.delete(engine.id);
      return;
    }
    const target = resolveTarget(state.value, engine.role);
    if (target === engine.role) {
      pending.delete(engine.id);
      return;
    }
    log.write('roleChangeFound', { server: engine.id, registered: engine.role, role: target });
    setPending(engine.id, service, target);
  }

  async function check(): Promise<void> {
    removeFinished();
    for (const service of parts.services()) {
      await askNewEngines(service);
      const changes = resolveChanges(listEngines(service), parts.decodeLoad(service));
      if (changes.length === 0) {
        deviatesSince.delete(service);
        continue;
      }
      const since = deviatesSince.get(service) ?? clock.now();
      deviatesSince.set(service, since);
      if (clock.now() - since < MIN_DEVIATION_MS) continue;
      const grant = await parts.lease.acquire();
      if (grant !== undefined) await sendOrders(service, changes, grant);
    }
  }

  async function sendOrders(
    service: string,
    changes: readonly RoleChange[],
    grant: OrderGrant,
  ): Promise<void> {
    await Promise.all(changes.map((change) => sendOrder(service, change, grant)));
  }

  async function sendOrder(service: string, change: RoleChange, grant: OrderGrant): Promise<void> {
    const { server, role } = change;
    const state = await parts.orders.state(server);
    if (state.isErr()) {
      log.write('roleOrderEnded', { server: server.id, outcome: 'no-state', reason: state.error });
      return;
    }
    if (state.value.isChanging)
      setPending(server.id, service, resolveTarget(state.value, server.role ?? role));
    if (state.value.isChanging || state.value.role === role) return;
    // the grant may have ended while the state was read
    if (stopped || !grant.isValid()) return;
    const { fence } = grant;
    log.write('roleOrdered', { server: server.id, role, fence, ordersBefore: state.value.orders });
    setPending(server.id, service, role);
    const ordersBefore = state.value.orders;
    const answer = await parts.orders.order(server, {
      role,
      holder: parts.node,
      fence,
      ordersBefore,
    });
    match(answer.kind)
      .with('refused', () => pending.delete(server.id))
      .with('accepted', 'unknown', () => undefined)
      .exhaustive();
    log.write('roleOrderEnded', { server: server.id, outcome: answer.kind, status: answer.status });
  }

  function schedule(): void {
    const isFirst = asked.size === 0 && parts.services().length > 0;
    const delayMs = isFirst ? FIRST_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS;
    timer = clock.after(delayMs, () => {
      void check().finally(() => {
        if (!stopped) schedule();
      });
    });
  }

  return {
    start: schedule,
    isChanging: (id) => pending.has(id),
    stop() {
      stopped = true;
      timer?.cancel();
    },
  };
}

/** The role that an engine will have once its change is complete; the registered one if it does not change. An engine
 * that has completed its change registers it by itself, so that a state which contradicts the registry for good leaves
 * the engine in use. */
function resolveTarget({ role, isChanging }: EngineState, registered: EngineRole): EngineRole {
  if (!isChanging) return registered;
  if (role !== registered) return role;
  return role === 'prefill' ? 'decode' : 'prefill';
}
