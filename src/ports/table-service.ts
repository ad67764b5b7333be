/**
 * The port to the platform's transactional table service. Rows are JSON values under string keys;
 * each carries the revision of the transaction that wrote it last.
 *
 * HTTP protocol (JSON), spoken by the adapter in `http/` and by the stand-in:
 * - `GET /v1/rows/{key}` answers 200 with a row or 404 (the key is percent-encoded);
 * - `GET /v1/rows?prefix=…&after=…&limit=…` answers 200 with `{ rows }`, ordered by key;
 * - `POST /v1/transactions` with a transaction answers 200 with `{ revision }` or 409 with
 *   `{ conflicts }`, the keys whose condition did not hold; then nothing was written;
 * - any of them answers 503 when the service declines, before doing anything.
 */
import type { Result } from 'ts-results-es';
import * as z from 'zod';
import type { Failure } from '../errors/index.js';
import { createListSchema } from './list-schema.js';

export const rowSchema = z.object({
  key: z.string(),
  /** Revision of the transaction that wrote the row; grows with every transaction. */
  revision: z.number().int().positive(),
  value: z.unknown(),
  /** The service's own steady clock as of the read, in ms; absent where it has none. */
  readAtMs: z.number().optional(),
});

/** One row of the table service. */
export type Row = z.infer<typeof rowSchema>;

export const transactionSchema = z.object({
  /** All must hold, or nothing is written. `revision: 0` demands that the key is absent. */
  conditions: z.array(z.object({ key: z.string(), revision: z.number().int().nonnegative() })),
  puts: z.array(z.object({ key: z.string(), value: z.unknown() })),
  deletes: z.array(z.string()),
});

/** An atomic, conditional write. */
export type Transaction = z.infer<typeof transactionSchema>;

export const committedSchema = z.object({ revision: z.number().int().positive() });
export const conflictSchema = z.object({ conflicts: createListSchema(z.string()) });
export const rowsSchema = z.object({ rows: createListSchema(rowSchema) });

/**
 * What became of a transaction. `unavailable`: provably nothing was written. `unknown`: the answer
 * was lost, and the write has taken effect, will do so later, or never will.
 */
export type TransactionOutcome =
  | { kind: 'committed'; revision: number }
  | { kind: 'conflict'; conflicts: string[] }
  | { kind: 'unavailable'; failure: Failure }
  | { kind: 'unknown'; failure: Failure };

/** Which rows a range read wants. */
export interface Range {
  prefix: string;
  /** Only keys after this one. */
  after?: string;
  /** At most this many rows. */
  limit: number;
}

/** The platform's table service. */
export interface TableService {
  /** Reads one row; `undefined` when the key is absent. */
  get(key: string): Promise<Result<Row | undefined, Failure>>;
  /** Reads rows in the order of their keys. */
  range(range: Range): Promise<Result<Row[], Failure>>;
  /** Writes atomically if every condition holds. Never retried by the adapter. */
  transact(transaction: Transaction): Promise<TransactionOutcome>;
  /** How often the service is known to have been restored from an older copy; absent where it never is. */
  era?: () => number;
}
