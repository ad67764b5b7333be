/**
 * Keeps the split of a service's engines between reading and generating as planned. Orders are dear
 * and an engine is away while it changes, so a deviation must last before anything is ordered.
 */
import { match } from 'ts-pattern';
import type { Log } from '../events/index.js';
import type { EngineRole, RegisteredServer } from '../fleet/index.js';
import type { Clock, Timer } from '../task/index.js';
import type { OrderLease, OrderGrant } from './order-lease.js';
import type { RoleOrders } from './orders.js';
import { resolveChanges, type RoleChange } from './plan.js';

/** Time between two looks at the split, in ms. */
const LOOK_MS = 400;
/** A deviation must last so long, in ms: longer than an entry takes to come back after a restart. */
const LASTING_MS = 1_200;
/** After its change an engine's new role shows in the registry within this, in ms. */
const SHOWN_MS = 3_000;

/** What the keeper needs. */
export interface RoleControllerParts {
  node: string;
  clock: Clock;
  log: Log;
  lease: OrderLease;
  orders: RoleOrders;
  /** Services with engines that this gateway schedules. */
  services(): readonly string[];
  engines(service: string): readonly RegisteredServer[];
  /** Work of generating, in engines that it would keep busy; `undefined` where it is not known. */
  decodeLoad(service: string): number | undefined;
  /** How long an engine is away while its role changes, in milliseconds. */
  roleChangeMs(service: string): number;
}

/** Keeps roles as planned. */
export interface RoleController {
  start(): void;
  /** Whether an engine was ordered to change and has not shown its new role yet. */
  isChanging(id: string): boolean;
  stop(): void;
}

interface Pending {
  role: EngineRole;
  until: number;
}

/**
 * Creates the keeper of one gateway.
 *
 * @param parts the engines, the lease and the way to give orders
 */
export function createRoleController(parts: RoleControllerParts): RoleController {
  const { clock, log } = parts;
  const pending = new Map<string, Pending>();
  const deviatesSince = new Map<string, number>();
  let timer: Timer | undefined;
  let stopped = false;

  /** Engines with the roles that they have or are about to have. */
  function expected(service: string): RegisteredServer[] {
    const found: RegisteredServer[] = [];
    for (const engine of parts.engines(service)) {
      const change = pending.get(engine.id);
      found.push(change === undefined ? engine : { ...engine, role: change.role });
    }
    return found;
  }

  function settle(): void {
    const now = clock.now();
    for (const service of parts.services()) {
      for (const { id, role } of parts.engines(service)) {
        if (pending.get(id)?.role === role) pending.delete(id);
      }
    }
    for (const [id, { until }] of pending) {
      if (until < now) pending.delete(id);
    }
  }

  async function look(): Promise<void> {
    settle();
    for (const service of parts.services()) {
      const changes = resolveChanges(expected(service), parts.decodeLoad(service));
      if (changes.length === 0) {
        deviatesSince.delete(service);
        continue;
      }
      const since = deviatesSince.get(service) ?? clock.now();
      deviatesSince.set(service, since);
      if (clock.now() - since < LASTING_MS) continue;
      const turn = await parts.lease.acquire();
      if (turn !== undefined) await giveOrders(service, changes, turn);
    }
  }

  async function giveOrders(
    service: string,
    changes: readonly RoleChange[],
    turn: OrderGrant,
  ): Promise<void> {
    await Promise.all(changes.map((change) => giveOrder(service, change, turn)));
  }

  async function giveOrder(service: string, change: RoleChange, turn: OrderGrant): Promise<void> {
    const { server, role } = change;
    const state = await parts.orders.state(server);
    if (state.isErr()) {
      log.write('roleOrderEnded', { server: server.id, outcome: 'no-state', reason: state.error });
      return;
    }
    if (state.value.isChanging || state.value.role === role) return;
    if (stopped || !turn.isValid()) return;
    const { fence } = turn;
    log.write('roleOrdered', { server: server.id, role, fence, ordersBefore: state.value.orders });
    pending.set(server.id, { role, until: clock.now() + parts.roleChangeMs(service) + SHOWN_MS });
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
    timer = clock.after(LOOK_MS, () => {
      void look().finally(() => {
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
