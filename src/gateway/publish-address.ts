/**
 * Publishes a gateway's address in the store and learns those of the others. Each writes its own
 * row first and reads all rows after that, so of any two gateways that start together at least one
 * finds the other; from there on gateways tell each other.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/table-service.js';
import { wait, type Clock } from '../task/index.js';

const PREFIX = 'gateways/';
/** Rows that are read at most: more gateways than any fleet has. */
const MAX_ROWS = 1_000;
/** Pause between two tries, in ms. */
const RETRY_MS = 700;

const rowSchema = z.object({ address: z.string() });

/** What publishing needs. */
export interface PublishParts {
  table: TableService;
  clock: Clock;
  log: Log;
  address: { node: string; address: string };
  signal: AbortSignal;
  /** Hears of each address that is found. */
  found(address: string): void;
}

/** An address that is being published. */
export interface Publishing {
  /** Fulfilled once the row is written and the others were read. */
  done: Promise<void>;
  /** Writes the row again: the store has lost it. */
  rewrite(): Promise<void>;
  /** Takes the row back. */
  withdraw(): Promise<void>;
}

/**
 * Publishes the address.
 *
 * @param parts the store and the address
 */
export function publishAddress(parts: PublishParts): Publishing {
  const { table, clock, log, address, signal } = parts;
  const key = `${PREFIX}${address.node}`;
  let withdrawn = false;

  async function put(): Promise<boolean> {
    const outcome = await table.transact({
      conditions: [],
      puts: [{ key, value: { address: address.address } }],
      deletes: [],
    });
    if (outcome.kind === 'committed') return true;
    log.write('gatewayRowFailed', { outcome: outcome.kind });
    return false;
  }

  async function readOthers(): Promise<boolean> {
    const rows = await table.range({ prefix: PREFIX, limit: MAX_ROWS });
    if (rows.isErr()) {
      log.write('gatewayRowFailed', { reason: rows.error.message });
      return false;
    }
    for (const { value } of rows.value) {
      const parsed = rowSchema.safeParse(value);
      if (parsed.success) parts.found(parsed.data.address);
    }
    return true;
  }

  async function run(): Promise<void> {
    for (const step of [put, readOthers]) {
      await repeat(step);
    }
  }

  /** Takes a step until the store has answered it. */
  async function repeat(step: () => Promise<boolean>): Promise<void> {
    while (!signal.aborted && !withdrawn && !(await step())) {
      await wait(clock, RETRY_MS);
    }
  }

  return {
    done: run(),
    rewrite: () => repeat(put),
    async withdraw() {
      withdrawn = true;
      const outcome = await table.transact({ conditions: [], puts: [], deletes: [key] });
      if (outcome.kind !== 'committed') log.write('gatewayRowFailed', { outcome: outcome.kind });
    },
  };
}
