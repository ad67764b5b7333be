/**
 * Lease on the right to send orders, held by one gateway at a time as a row in the store. A grant is
 * valid for a short window. Another gateway takes the lease only after that window plus the lease time,
 * so that orders of two gateways are never close together. The row records the store's steady clock at
 * the time it was taken, so that a gateway that has just started need not observe the row first: where
 * gateways end one after another, none would have observed it for long enough to order anything. If the
 * store has no clock, a gateway must observe the row unchanged for that time.
 *
 * A store that is restored from a backup may name an earlier holder, or none. So a grant ends with the
 * store era in which it was taken, and in a new era nobody takes the lease until the longest grant of
 * the previous era and the lease time must be over.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { Row, TableService } from '../ports/table-service.js';
import type { Clock } from '../task/index.js';

/** Key of the row that names the holder. */
const LEASE_KEY = 'role-orders';
/** Era of a store that was never restored; a store without eras has era 0. */
const FIRST_ERA = 1;
/** Allowance for the transit of an order and for scheduling delays of the process, in ms. */
const TRANSIT_MS = 1_000;

const leaseSchema = z.object({
  holder: z.string(),
  /** The store's steady clock shortly before the lease was taken, in ms; absent if the store has no clock. */
  takenAtMs: z.number().optional(),
  /** The store's era in which the lease was taken. */
  era: z.number().default(0),
});

/** The right to send orders for a limited time. */
export interface OrderGrant {
  /** Fencing token; increases with every grant. */
  fence: number;
  /** Whether an order may still be sent; check right before each order. */
  isValid(): boolean;
}

/** A reading of both clocks. */
interface ClockReading {
  steadyMs: number;
  wallClockMs: number;
}

/** Lease on the right to send orders. */
export interface OrderLease {
  /** Returns the current grant, or tries to take the lease; `undefined` if it cannot be taken now. */
  acquire(): Promise<OrderGrant | undefined>;
}

/** Dependencies of the order lease. */
export interface OrderLeaseParts {
  node: string;
  table: TableService;
  /** The newest known era of the store, from the store or from peers; 0 if it has none. */
  era?: () => number;
  clock: Clock;
  /** The time of day, in ms since the epoch. Unlike the steady clock it advances while the VM is suspended. Since it may
   * also jump, it may only end a grant early, never extend it. */
  timeOfDay: () => number;
  log: Log;
  /** Minimum time between the orders of two holders, in milliseconds. */
  leaseMs: number;
}

/**
 * Creates the order lease of a gateway.
 *
 * @param parts the gateway's name, the store and the lease time
 */
export function createOrderLease(parts: OrderLeaseParts): OrderLease {
  const { node, table, clock, log, leaseMs } = parts;
  const windowMs = Math.max(leaseMs - TRANSIT_MS, leaseMs / 2);
  const takeoverMs = windowMs + leaseMs + TRANSIT_MS;
  let observed: { revision: number; at: number } | undefined;
  let grant: OrderGrant | undefined;
  /** The newest observed era and when it was first observed. `isFirst` if the gateway started in it. */
  let observedEra: { era: number; since: number; isFirst: boolean } | undefined;

  function now(): ClockReading {
    return { steadyMs: clock.now(), wallClockMs: parts.timeOfDay() };
  }

  /** Uses the clock by which more time has passed: only the time of day shows a suspension, and it may jump back. */
  function elapsedSince({ steadyMs, wallClockMs }: ClockReading): number {
    return Math.max(clock.now() - steadyMs, parts.timeOfDay() - wallClockMs);
  }

  function currentEra(): number {
    return parts.era?.() ?? table.era?.() ?? 0;
  }

  /** Whether a holder from an earlier era may still send orders. */
  function mayBeHeldInEarlierEra(row: Row | undefined): boolean {
    const era = currentEra();
    if (observedEra?.era !== era)
      observedEra = { era, since: clock.now(), isFirst: observedEra === undefined };
    const lease = leaseSchema.safeParse(row?.value);
    if (lease.success && lease.data.era === era) return false;
    // without a row, any era but the first may have just begun
    const mayHaveJustBegun = row === undefined ? !observedEra.isFirst || era > FIRST_ERA : true;
    return mayHaveJustBegun && clock.now() - observedEra.since <= takeoverMs;
  }

  /**
   * Tries to take the lease.
   *
   * @param revision the revision of the row as read; 0 if it is absent
   * @param started when that read started; the grant's window starts then
   * @param takenAtMs the store's clock as of that read
   */
  async function tryTake(
    revision: number,
    started: ClockReading,
    takenAtMs?: number,
  ): Promise<OrderGrant | undefined> {
    const era = currentEra();
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
    grant = { fence, isValid: () => currentEra() === era && elapsedSince(started) < windowMs };
    return grant;
  }

  /** Creates the row, and writes it again with the store's clock, which only a read of an existing row returns. */
  async function createRow(): Promise<OrderGrant | undefined> {
    const first = await tryTake(0, now());
    if (first === undefined) return undefined;
    const started = now();
    const result = await table.get(LEASE_KEY);
    const row = result.isOk() ? result.value : undefined;
    if (row?.readAtMs === undefined) return first;
    return tryTake(row.revision, started, row.readAtMs);
  }

  /** Whether the store's clock shows that the last grant and the lease time are over. */
  function isOverByStoreClock(
    takenAtMs: number | undefined,
    readAtMs: number | undefined,
  ): boolean {
    return takenAtMs !== undefined && readAtMs !== undefined && readAtMs - takenAtMs > takeoverMs;
  }

  return {
    async acquire() {
      if (grant?.isValid() === true) return grant;
      const started = now();
      const result = await table.get(LEASE_KEY);
      if (result.isErr()) {
        log.write('roleLeaseDenied', { reason: result.error.message });
        return undefined;
      }
      const row = result.value;
      if (mayBeHeldInEarlierEra(row)) {
        log.write('roleLeaseDenied', { reason: 'an earlier era', era: currentEra() });
        return undefined;
      }
      if (row === undefined) return createRow();
      const { revision, readAtMs } = row;
      const lease = leaseSchema.safeParse(row.value);
      if (lease.success && lease.data.holder === node) return tryTake(revision, started, readAtMs);
      if (isOverByStoreClock(lease.data?.takenAtMs, readAtMs))
        return tryTake(revision, started, readAtMs);
      if (observed?.revision !== row.revision) {
        observed = { revision: row.revision, at: clock.now() };
        return undefined;
      }
      const isUnchanged = clock.now() - observed.at > takeoverMs;
      return isUnchanged ? tryTake(revision, started, readAtMs) : undefined;
    },
  };
}
