/**
 * A table service with faults: writes that take effect late or twice, rate limits, and the faults
 * that all stand-ins know.
 */
import { z } from 'zod';
import { transactionSchema, type Transaction } from '../../src/ports/index.js';
import { createSystemClock, type Clock } from '../../src/task/index.js';
import {
  commonFaults,
  commonSettings,
  createFaultSchema,
  createHistory,
  createOwnClock,
  createJsonReply,
  createRate,
  findFault,
  parseBody,
  startServer,
  type Received,
  type Reply,
  type StandIn,
} from '../common/index.js';
import { createTable, type TransactionResult } from './table.js';

export const tableStandInSettingsSchema = z.strictObject({
  kind: z.literal('table-service').default('table-service'),
  ...commonSettings,
  /** Transactions a second beyond which the service declines; no limit when absent. */
  writesPerSecond: z.number().positive().optional(),
  /** Reads a second beyond which the service declines; no limit when absent. */
  readsPerSecond: z.number().positive().optional(),
  /** Time that every call takes, in milliseconds. */
  callMs: z.number().nonnegative().default(0),
});

/** Settings as a person writes them. */
export type TableStandInSettings = z.input<typeof tableStandInSettingsSchema>;

export const tableFaultSchema = z.discriminatedUnion('kind', [
  ...commonFaults,
  /** Breaks the connection now and carries out the transaction after `ms`. */
  createFaultSchema('late-effect', { ms: z.number().nonnegative() }),
  /** Carries out and answers the transaction, and carries it out once more after `ms`. */
  createFaultSchema('late-duplicate', { ms: z.number().nonnegative() }),
]);

/** A fault of the table service. */
export type TableFault = z.infer<typeof tableFaultSchema>;

/** What the table service records. */
export type TableEntry =
  | { event: 'read'; path: string }
  | { event: 'declined'; path: string }
  | {
      event: 'transaction';
      /** How it came about. */
      cause: 'request' | 'late' | 'duplicate';
      transaction: Transaction;
      result: TransactionResult;
    };

/** A running table service. */
export interface TableStandIn extends StandIn<TableFault, TableEntry> {
  /** Reads served so far. */
  reads(): number;
  /** Transactions carried out so far, whether they wrote or not. */
  writes(): number;
}

const MAX_ROWS = 10_000;

/**
 * Starts a table service.
 *
 * @param input settings; all have defaults
 * @param time what delays and limits go by
 */
export async function createTableStandIn(
  input: TableStandInSettings = {},
  time: Clock = createSystemClock(),
): Promise<TableStandIn> {
  const settings = tableStandInSettingsSchema.parse(input);
  const clock = createOwnClock(time);
  const table = createTable();
  const history = createHistory<TableEntry>({ clock, limit: settings.recordLimit });
  const writeRate = createRate(clock, settings.writesPerSecond);
  const readRate = createRate(clock, settings.readsPerSecond);
  let reads = 0;
  let writes = 0;

  function apply(transaction: Transaction, cause: 'request' | 'late' | 'duplicate'): Reply {
    writes += 1;
    const result = table.transact(transaction);
    history.add({ event: 'transaction', cause, transaction, result });
    if (result.kind === 'conflict') return createJsonReply(409, { conflicts: result.conflicts });
    return createJsonReply(200, { revision: result.revision });
  }

  function write(received: Received<TableFault>): Reply | undefined {
    const parsed = parseBody(transactionSchema, received.body);
    if (!parsed.success) return createJsonReply(400, { message: parsed.error.message });
    if (!writeRate.take()) return decline(received);
    const transaction = parsed.data;
    const late = findFault(received.faults, 'late-effect');
    if (late !== undefined) {
      received.response.destroy();
      clock.after(late.ms, () => void apply(transaction, 'late'));
      return undefined;
    }
    const duplicate = findFault(received.faults, 'late-duplicate');
    if (duplicate !== undefined) {
      clock.after(duplicate.ms, () => void apply(transaction, 'duplicate'));
    }
    return apply(transaction, 'request');
  }

  function read(received: Received<TableFault>): Reply {
    if (!readRate.take()) return decline(received);
    reads += 1;
    const { pathname, searchParams } = received.url;
    history.add({ event: 'read', path: pathname + received.url.search });
    if (pathname === '/v1/rows') return createJsonReply(200, { rows: readRange(searchParams) });
    const row = table.get(decodeURIComponent(pathname.slice('/v1/rows/'.length)));
    return row === undefined ? createJsonReply(404, {}) : createJsonReply(200, row);
  }

  function readRange(query: URLSearchParams) {
    const after = query.get('after');
    const limit = Math.min(Number(query.get('limit') ?? MAX_ROWS), MAX_ROWS);
    const prefix = query.get('prefix') ?? '';
    return table.range({ prefix, limit, ...(after === null ? {} : { after }) });
  }

  function decline(received: Received<TableFault>): Reply {
    history.add({ event: 'declined', path: received.url.pathname });
    return createJsonReply(503, { message: 'declined' });
  }

  function handle(received: Received<TableFault>): Reply | undefined {
    const { method, url } = received;
    if (method === 'POST' && url.pathname === '/v1/transactions') return write(received);
    if (method === 'GET' && url.pathname.startsWith('/v1/rows')) return read(received);
    return createJsonReply(404, { message: 'no such path' });
  }

  async function handleAfterCallTime(received: Received<TableFault>): Promise<Reply | undefined> {
    await new Promise<void>((resolve) => {
      clock.after(settings.callMs, resolve);
    });
    return handle(received);
  }

  const server = await startServer<TableFault, TableEntry>({
    listen: settings.listen,
    clock,
    faultSchema: tableFaultSchema,
    history,
    handle: settings.callMs > 0 ? handleAfterCallTime : handle,
    decline,
  });
  return { ...server, reads: () => reads, writes: () => writes };
}
