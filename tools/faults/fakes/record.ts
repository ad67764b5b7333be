/**
 * The record that the fakes keep of what they received and did. Proofs are judged from it, never
 * from what the system says of itself.
 */
import type { Order } from '../../../src/ports/index.js';

/** Work that an engine or a service began for a request. */
export interface Execution {
  at: number;
  server: string;
  /** The process that sent it. */
  node: string;
  requestId: string;
  /** What a caller put into the body to tell its requests apart. */
  key: string;
  /** What a service answered. */
  answer: string;
}

/** An order that reached an engine. */
export interface ReceivedOrder {
  at: number;
  engine: string;
  node: string;
  order: Order;
  /** `taken`: it takes effect from now on; `repeated`: already taken; `stale`: refused by its fence. */
  result: 'taken' | 'repeated' | 'stale';
  /** Whether an earlier order was still taking effect. */
  wasBusy: boolean;
  /** Streams that it cut. */
  cut: string[];
}

/** A request that reached a server. */
export interface Arrival {
  at: number;
  server: string;
  node: string;
  /** The last time at which a pause or a cut kept word of a leaving server from travelling. */
  informedAt: number;
}

/** Everything that the fakes of one run received. */
export interface FakeRecord {
  executions: Execution[];
  orders: ReceivedOrder[];
  arrivals: Arrival[];
}

/** Creates an empty record. */
export function createFakeRecord(): FakeRecord {
  return { executions: [], orders: [], arrivals: [] };
}
