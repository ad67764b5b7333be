/**
 * The right to give orders: one gateway at a time, by a row in the store. It lasts for a short
 * window after it was taken. Another gateway takes it only once that window and the lease time on top
 * are over, so that the orders of two gateways never come close together. The row says when it was
 * taken by the store's steady clock, so a gateway that has just come need not watch first: where
 * gateways end one after another, nobody would ever have watched for long enough, and no engine would
 * change its role for 17 s (measured with three engines lost while gateways were stopped in turn).
 * Where the store has no clock, a gateway has to see the row unchanged for that time.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/table-service.js';
import type { Clock } from '../task/index.js';

/** The row that says who gives orders. */
const LEASE_KEY = 'role-orders';
/** What the way of an order to an engine may take, and a process may be late, in ms. */
const TRANSIT_MS = 1_000;

const leaseSchema = z.object({
  holder: z.string(),
  /** The store's steady clock shortly before the right was taken, in ms; absent where it has none. */
  takenAtMs: z.number().optional(),
});

/** The right to give orders, for a while. */
export interface OrderTurn {
  /** Grows with every turn. */
  fence: number;
  /** Whether an order may still be sent; read right before each. */
  isValid(): boolean;
}

/** The right to give orders. */
export interface OrderLease {
  /** Tries to take or renew the right; `undefined` when it is not to be had now. */
  acquire(): Promise<OrderTurn | undefined>;
}

/** What the lease needs. */
export interface OrderLeaseParts {
  node: string;
  table: TableService;
  clock: Clock;
  log: Log;
  /** Time for which a holder of orders must be alone, in milliseconds. */
  leaseMs: number;
}

/**
 * Creates the lease of one gateway.
 *
 * @param parts the gateway's name, the store and the lease time
 */
export function createOrderLease(parts: OrderLeaseParts): OrderLease {
  const { node, table, clock, log, leaseMs } = parts;
  const windowMs = Math.max(leaseMs - TRANSIT_MS, leaseMs / 2);
  const quietMs = windowMs + leaseMs + TRANSIT_MS;
  let seen: { revision: number; at: number } | undefined;
  let turn: OrderTurn | undefined;

  /**
   * Takes the right.
   *
   * @param revision of the row as it was read; 0 for none
   * @param startedAt when that read began; the turn counts from there
   * @param takenAtMs the store's clock as of that read
   */
  async function take(
    revision: number,
    startedAt: number,
    takenAtMs?: number,
  ): Promise<OrderTurn | undefined> {
    const outcome = await table.transact({
      conditions: [{ key: LEASE_KEY, revision }],
      puts: [{ key: LEASE_KEY, value: { holder: node, takenAtMs } }],
      deletes: [],
    });
    if (outcome.kind !== 'committed') {
      log.write('roleLeaseDenied', { reason: outcome.kind, revision });
      return undefined;
    }
    const fence = outcome.revision;
    log.write('roleLeaseTaken', { fence, windowMs });
    turn = { fence, isValid: () => clock.now() - startedAt < windowMs };
    return turn;
  }

  /** Writes the row, and once more with the time, which only a read of the row tells. */
  async function takeFirst(): Promise<OrderTurn | undefined> {
    const first = await take(0, clock.now());
    if (first === undefined) return undefined;
    const startedAt = clock.now();
    const result = await table.get(LEASE_KEY);
    const row = result.isOk() ? result.value : undefined;
    if (row?.readAtMs === undefined) return first;
    return take(row.revision, startedAt, row.readAtMs);
  }

  /** Whether the store's clock alone shows that the last turn and the lease time are over. */
  function isLongOver(takenAtMs: number | undefined, readAtMs: number | undefined): boolean {
    return takenAtMs !== undefined && readAtMs !== undefined && readAtMs - takenAtMs > quietMs;
  }

  return {
    async acquire() {
      if (turn?.isValid() === true) return turn;
      const startedAt = clock.now();
      const result = await table.get(LEASE_KEY);
      if (result.isErr()) {
        log.write('roleLeaseDenied', { reason: result.error.message });
        return undefined;
      }
      const row = result.value;
      if (row === undefined) return takeFirst();
      const { revision, readAtMs } = row;
      const holder = leaseSchema.safeParse(row.value);
      if (holder.success && holder.data.holder === node) return take(revision, startedAt, readAtMs);
      if (isLongOver(holder.data?.takenAtMs, readAtMs)) return take(revision, startedAt, readAtMs);
      if (seen?.revision !== row.revision) {
        seen = { revision: row.revision, at: clock.now() };
        return undefined;
      }
      const isQuiet = clock.now() - seen.at > quietMs;
      return isQuiet ? take(revision, startedAt, readAtMs) : undefined;
    },
  };
}
