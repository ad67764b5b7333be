/**
 * The journal of orders. Every write is one transaction, conditional on the revision at which the
 * engine's row was read and on that at which the shard was taken, so that a node cannot write to the
 * journal after another one has taken the shard.
 */
import { match } from 'ts-pattern';
import { Err, Ok, type Result } from 'ts-results-es';
import { createRefusal, type Failure } from '../errors/index.js';
import type { TableService } from '../ports/index.js';
import { shardRowKey, type HeldShard } from '../shards/index.js';
import { emptyEngineRow, engineRowKey, engineRowSchema, type EngineRow } from './rows.js';

/** An engine's row with the revision at which it was read or written. */
export interface JournalEntry {
  row: EngineRow;
  revision: number;
}

/**
 * Outcome of a write. `superseded`: another node took the shard. `stale`: the engine's row has
 * changed since it was read. `unavailable` and `unknown` are the table's outcomes: the row is read
 * again. That read is safe, because a write that lands after it fails its conditions or is found by
 * the next read.
 */
export type JournalOutcome =
  | { kind: 'written'; entry: JournalEntry }
  | { kind: 'superseded' | 'stale' }
  | { kind: 'unavailable' | 'unknown'; failure: Failure };

/** The journal of the engines of one shard, as its holder uses it. */
export interface OrderJournal {
  /** Reads an engine's row; an absent one is empty with revision 0. */
  read(engine: string): Promise<Result<JournalEntry, Failure>>;
  /** Replaces an engine's row if neither it nor the shard's row has changed. */
  write(engine: string, known: JournalEntry, next: EngineRow): Promise<JournalOutcome>;
}

/**
 * Creates the journal under a held shard.
 *
 * @param table the table service
 * @param held the held shard
 */
export function createOrderJournal(table: TableService, held: HeldShard): OrderJournal {
  const shardKey = shardRowKey(held.name);

  return {
    async read(engine) {
      const read = await table.get(engineRowKey(engine));
      if (read.isErr()) return read;
      if (read.value === undefined) return Ok({ row: emptyEngineRow, revision: 0 });
      const parsed = engineRowSchema.safeParse(read.value.value);
      if (!parsed.success) return Err(describeUnreadable(engine));
      return Ok({ row: parsed.data, revision: read.value.revision });
    },
    async write(engine, known, next) {
      const key = engineRowKey(engine);
      const outcome = await table.transact({
        conditions: [
          { key, revision: known.revision },
          { key: shardKey, revision: held.revision },
        ],
        puts: [{ key, value: next }],
        deletes: [],
      });
      return match(outcome)
        .with({ kind: 'committed' }, ({ revision }): JournalOutcome => {
          return { kind: 'written', entry: { row: next, revision } };
        })
        .with({ kind: 'conflict' }, ({ conflicts }): JournalOutcome => {
          return { kind: conflicts.includes(shardKey) ? 'superseded' : 'stale' };
        })
        .with({ kind: 'unavailable' }, { kind: 'unknown' }, (failed) => failed)
        .exhaustive();
    },
  };
}

/** An unreadable row is never overwritten: it may hold an outstanding order. */
function describeUnreadable(engine: string): Failure {
  return createRefusal({
    code: 'internal',
    message: `the row ${engineRowKey(engine)} is not an order journal`,
    step: 'order.journal',
    peer: engine,
  });
}
