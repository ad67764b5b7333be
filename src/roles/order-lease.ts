/**
 * The right to give orders: one gateway at a time, by a row in the store. It lasts for a short
 * window after it was taken. Another gateway takes it only once that window and the lease time on top
 * are over, so that the orders of two gateways never come close together. The row says when it was
 * taken by the store's steady clock, so a gateway that has just come need not watch first: where
 * gateways end one after another, nobody would ever have watched for long enough, and no engine would
 * change its role for 17 s (measured with three engines lost while gateways were stopped in turn).
 * A store that is restored from an older copy may name a holder that had passed the right on, or none. So a turn ends
 * with the era in which it was taken, and nobody takes one in a new era before the longest turn of the one before, and
 * the lease time on top, must be over.
 *
 * Where the store has no clock, a gateway has to see the row unchanged for that time.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { Row, TableService } from '../ports/table-service.js';
import type { Clock } from '../task/index.js';

/** The row that says who gives orders. */
const LEASE_KEY = 'role-orders';
/** A store that was never restored is in this era, or in none. */
const FIRST_ERA = 1;
/** What the way of an order to an engine may take, and a process may be late, in ms. */
const TRANSIT_MS = 1_000;

const leaseSchema = z.object({
  holder: z.string(),
  /** The store's steady clock shortly before the right was taken, in ms; absent where it has none. */
  takenAtMs: z.number().optional(),
  /** The store's era in which it was taken. */
  era: z.number().default(0),
});

/** The right to give orders, for a while. */
export interface OrderGrant {
  /** Grows with every turn. */
  fence: number;
  /** Whether an order may still be sent; read right before each. */
  isValid(): boolean;
}

/** A moment by both clocks. */
interface Moment {
  steadyMs: number;
  ofDayMs: number;
}

/** The right to give orders. */
export interface OrderLease {
  /** Tries to take or renew the right; `undefined` when it is not to be had now. */
  acquire(): Promise<OrderGrant | undefined>;
}

/** What the lease needs. */
export interface OrderLeaseParts {
  node: string;
  table: TableService;
  /** The newest era of the store that is known, from the store or from peers; 0 where it has none. */
  era?: () => number;
  clock: Clock;
  /** The time of day, in ms since the epoch. It goes on while the VM is suspended, which the steady clock does not see;
   * it jumps as well, so it may only end a turn early. */
  timeOfDay: () => number;
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
  let turn: OrderGrant | undefined;
  /** The newest era that was seen, since when; at first the one that was there at the start. */
  let known: { era: number; since: number; isFirst: boolean } | undefined;

  function now(): Moment {
    return { steadyMs: clock.now(), ofDayMs: parts.timeOfDay() };
  }

  /** By whichever clock more time has passed: a suspension is seen by the time of day alone, its jump back by none. */
  function elapsedSince({ steadyMs, ofDayMs }: Moment): number {
    return Math.max(clock.now() - steadyMs, parts.timeOfDay() - ofDayMs);
  }

  function eraNow(): number {
    return parts.era?.() ?? table.era?.() ?? 0;
  }

  /** Whether a holder of the era before may still give orders, as far as the row and this gateway know. */
  function mayBeHeldBefore(row: Row | undefined): boolean {
    const era = eraNow();
    if (known?.era !== era) known = { era, since: clock.now(), isFirst: known === undefined };
    const holder = leaseSchema.safeParse(row?.value);
    if (holder.success && holder.data.era === era) return false;
    // without a row there is no telling an era that has long been there from one that has just begun
    const isUnsure = row === undefined ? !known.isFirst || era > FIRST_ERA : true;
    return isUnsure && clock.now() - known.since <= quietMs;
  }

  /**
   * Takes the right.
   *
   * @param revision of the row as it was read; 0 for none
   * @param started when that read began; the turn counts from there
   * @param takenAtMs the store's clock as of that read
   */
  async function take(
    revision: number,
    started: Moment,
    takenAtMs?: number,
  ): Promise<OrderGrant | undefined> {
    const era = eraNow();
    const outcome = await table.transact({
      conditions: [{ key: LEASE_KEY, revision }],
      puts: [{ key: LEASE_KEY, value: { holder: node, takenAtMs, era } }],
      deletes: [],
    });
    if (outcome.kind !== 'committed') {
      log.write('roleLeaseDenied', { reason: outcome.kind, revision });
      return undefined;
    }
    const fence = outcome.revision;
    log.write('roleLeaseTaken', { fence, windowMs, era });
    turn = { fence, isValid: () => eraNow() === era && elapsedSince(started) < windowMs };
    return turn;
  }

  /** Writes the row, and once more with the time, which only a read of the row tells. */
  async function takeFirst(): Promise<OrderGrant | undefined> {
    const first = await take(0, now());
    if (first === undefined) return undefined;
    const started = now();
    const result = await table.get(LEASE_KEY);
    const row = result.isOk() ? result.value : undefined;
    if (row?.readAtMs === undefined) return first;
    return take(row.revision, started, row.readAtMs);
  }

  /** Whether the store's clock alone shows that the last turn and the lease time are over. */
  function isLongOver(takenAtMs: number | undefined, readAtMs: number | undefined): boolean {
    return takenAtMs !== undefined && readAtMs !== undefined && readAtMs - takenAtMs > quietMs;
  }

  return {
    async acquire() {
      if (turn?.isValid() === true) return turn;
      const started = now();
      const result = await table.get(LEASE_KEY);
      if (result.isErr()) {
        log.write('roleLeaseDenied', { reason: result.error.message });
        return undefined;
      }
      const row = result.value;
      if (mayBeHeldBefore(row)) {
        log.write('roleLeaseDenied', { reason: 'an earlier era', era: eraNow() });
        return undefined;
      }
      if (row === undefined) return takeFirst();
      const { revision, readAtMs } = row;
      const holder = leaseSchema.safeParse(row.value);
      if (holder.success && holder.data.holder === node) return take(revision, started, readAtMs);
      if (isLongOver(holder.data?.takenAtMs, readAtMs)) return take(revision, started, readAtMs);
      if (seen?.revision !== row.revision) {
        seen = { revision: row.revision, at: clock.now() };
        return undefined;
      }
      const isQuiet = clock.now() - seen.at > quietMs;
      return isQuiet ? take(revision, started, readAtMs) : undefined;
    },
  };
}
