/**
 * Journal rows of the orders to engines, one row per engine: the last order, the lease under which
 * it was sent, and the earlier holders that may still have an order in flight.
 */
import * as z from 'zod';
import { leaseHolderSchema } from '../lease/index.js';
import { orderSchema, type EngineState, type Order } from '../ports/index.js';

/** The role, models and adapters of an engine. */
export type EngineSetup = Order['wanted'];

export const journalledOrderSchema = z.object({
  id: z.string(),
  fence: z.number().int().positive(),
  wanted: orderSchema.shape.wanted,
  /**
   * The lease under which the order may have been sent last; `null` once its holder provably can
   * no longer send.
   */
  by: leaseHolderSchema.nullable(),
  /** `outstanding` from before the order is sent until the engine is observed to have carried it out. */
  state: z.enum(['outstanding', 'settled']),
  /** The incarnation of the engine that carried the order out; `null` while it is outstanding. */
  incarnation: z.string().nullable(),
});

/** The last order of an engine. */
export type JournalledOrder = z.infer<typeof journalledOrderSchema>;

export const formerHolderSchema = z.object({
  holder: leaseHolderSchema,
  /** Fencing number of the last order that the holder may have sent. */
  fence: z.number().int().positive(),
});

/** A former holder that may still send orders to the engine. */
export type FormerHolder = z.infer<typeof formerHolderSchema>;

export const engineRowSchema = z.object({
  /** The highest fencing number of any order to this engine. */
  fence: z.number().int().nonnegative(),
  order: journalledOrderSchema.nullable(),
  /** Holders before `order.by` that may still send orders. */
  formers: z.array(formerHolderSchema),
});

/** The journal of one engine. */
export type EngineRow = z.infer<typeof engineRowSchema>;

/** The journal of an engine without any order. */
export const emptyEngineRow: EngineRow = { fence: 0, order: null, formers: [] };

/**
 * Key of an engine's row.
 *
 * @param engine id of the engine's VM
 */
export function engineRowKey(engine: string): string {
  return `engines/${engine}`;
}

/**
 * Whether two setups are equal, regardless of the order and repetition of models and adapters.
 *
 * @param one a setup
 * @param other another setup
 */
export function isSameSetup(one: EngineSetup, other: EngineSetup): boolean {
  return (
    one.role === other.role &&
    isSameSet(one.models, other.models) &&
    isSameSet(one.adapters, other.adapters)
  );
}

/**
 * Returns the part of an engine's state that orders change.
 *
 * @param state the state that the engine reports
 */
export function resolveSetup(state: EngineState): EngineSetup {
  return { role: state.role, models: state.models, adapters: state.adapters };
}

function isSameSet(one: readonly string[], other: readonly string[]): boolean {
  const left = new Set(one);
  const right = new Set(other);
  if (left.size !== right.size) return false;
  for (const name of left) {
    if (!right.has(name)) return false;
  }
  return true;
}
