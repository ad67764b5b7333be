/**
 * Publishes a gateway's address in the store and reads those of the others. The own row is written before all
 * rows are read, so of two gateways that start at the same time at least one finds the other; the overlay does
 * the rest.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { TableService, Transaction, TransactionOutcome } from '../ports/table-service.js';
import { wait, type Clock } from '../task/index.js';

const PREFIX = 'gateways/';
/** Most rows to read; more than any fleet has gateways. */
const MAX_ROWS = 1_000;
/** Delay between two attempts, in ms. */
const RETRY_MS = 700;

const rowSchema = z.object({ address: z.string() });

/** Dependencies of publishing. */
export interface PublishParts {
  table: TableService;
  clock: Clock;
  log: Log;
  address: { node: string; address: string };
  signal: AbortSignal;
  /** Called with each address read. */
  found(address: string): void;
}

/** An address that is being published. */
export interface Publishing {
  /** Resolves once the row is written and the others were read. */
  done: Promise<void>;
  /** Writes the row again after the store has lost it. */
  rewrite(): Promise<void>;
  /** Deletes the row. */
  withdraw(): Promise<void>;
}

/**
 * Publishes an address.
 *
 * @param parts the store and the address
 */
export function publishAddress(parts: PublishParts): Publishing {
  const { table, clock, log, address, signal } = parts;
  const key = `${PREFIX}${address.node}`;
  let isWithdrawn = false;

  /** Writes the row for the first time; one that is there was left by a process that did not stop gracefully. */
  async function writeFirst(): Promise<void> {
    const outcome = await putRow([{ key, revision: 0 }]);
    if (outcome.kind === 'conflict') log.write('gatewayEndedUnstopped', { row: key });
    if (outcome.kind !== 'committed') await repeat(writeRow);
  }

  function putRow(conditions: Transaction['conditions']): Promise<TransactionOutcome> {
    return table.transact({
      conditions,
      puts: [{ key, value: { address: address.address } }],
      deletes: [],
    });
  }

  async function writeRow(): Promise<boolean> {
    const outcome = await putRow([]);
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

  async function publish(): Promise<void> {
    await writeFirst();
    await repeat(readOthers);
  }

  /** Repeats a step until it succeeds or publishing ends. */
  async function repeat(step: () => Promise<boolean>): Promise<void> {
    while (!signal.aborted && !isWithdrawn && !(await step())) {
      await wait(clock, RETRY_MS);
    }
  }

  return {
    done: publish(),
    rewrite: () => repeat(writeRow),
    async withdraw() {
      isWithdrawn = true;
      const outcome = await table.transact({ conditions: [], puts: [], deletes: [key] });
      if (outcome.kind !== 'committed') log.write('gatewayRowFailed', { outcome: outcome.kind });
    },
  };
}
