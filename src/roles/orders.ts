/**
 * Orders that change an engine's role.
 */
import type { Result } from 'ts-results-es';
import type { EngineRole, RegisteredServer } from '../fleet/index.js';

/** State that an engine reports. */
export interface EngineState {
  role: EngineRole;
  /** Whether a role change is in progress. */
  isChanging: boolean;
  /** Number of orders that the engine has accepted since its start. */
  orders: number;
}

/** An order to change an engine's role. */
export interface RoleOrder {
  role: EngineRole;
  /** The gateway that sends the order. */
  holder: string;
  /** Fencing token of the sender's grant; increases with every grant. */
  fence: number;
  /** Number of orders that the engine must have accepted so far; otherwise it refuses this one as late. */
  ordersBefore: number;
}

/** Outcome of an order. `unknown`: the engine may carry it out, now or later. */
export interface OrderAnswer {
  kind: 'accepted' | 'refused' | 'unknown';
  /** HTTP status; 0 if there was no response. */
  status: number;
}

/** Client for the role endpoints of engines. */
export interface RoleOrders {
  state(server: RegisteredServer): Promise<Result<EngineState, string>>;
  order(server: RegisteredServer, order: RoleOrder): Promise<OrderAnswer>;
}
