/**
 * Conditional writes of single rows, gathered into few transactions. Claims of one node share the
 * table's several hundred writes a second this way. A write that conflicts is taken out and the
 * others are sent again, so that no request suffers from its neighbour.
 */
import { match } from 'ts-pattern';
import type { Failure } from '../errors/index.js';
import type { TableService, TransactionOutcome } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';

/** One conditional write. */
export interface RowWrite {
  key: string;
  /** The revision that the row must have; 0 when it must be absent. */
  revision: number;
  /** `null` removes the row. */
  value: unknown;
}

/** What became of one write. */
export type RowWriteOutcome =
  | { kind: 'committed'; revision: number }
  | { kind: 'conflict' }
  | { kind: 'unavailable'; failure: Failure }
  | { kind: 'unknown'; failure: Failure };

/** Gathers writes. */
export interface BatchWriter {
  write(write: RowWrite): Promise<RowWriteOutcome>;
}

/** What gathering needs. */
export interface BatchWriterParts {
  table: TableService;
  clock: Clock;
  /** How long a write waits for others, in milliseconds. */
  gatherMs: number;
  maxPerTransaction: number;
}

interface Entry {
  write: RowWrite;
  settle(outcome: RowWriteOutcome): void;
}

/**
 * Creates a writer with nothing gathered.
 *
 * @param parts the table and the limits of a batch
 */
export function createBatchWriter(parts: BatchWriterParts): BatchWriter {
  const { table, clock, gatherMs, maxPerTransaction } = parts;
  let gathered: Entry[] = [];
  let timer: Timer | undefined;

  function flush(): void {
    timer?.cancel();
    timer = undefined;
    const batch = gathered;
    gathered = [];
    if (batch.length > 0) void send(batch);
  }

  async function send(batch: readonly Entry[]): Promise<void> {
    const outcome = await table.transact(createTransaction(batch));
    if (outcome.kind === 'conflict') {
      await separate(batch, outcome.conflicts);
      return;
    }
    for (const entry of batch) {
      entry.settle(outcomeOf(outcome));
    }
  }

  async function separate(batch: readonly Entry[], conflicts: readonly string[]): Promise<void> {
    const others: Entry[] = [];
    for (const entry of batch) {
      if (conflicts.includes(entry.write.key)) entry.settle({ kind: 'conflict' });
      else others.push(entry);
    }
    if (others.length === batch.length) {
      // The conflict names none of them: sending the same again would never end.
      for (const entry of batch) entry.settle({ kind: 'conflict' });
      return;
    }
    if (others.length > 0) await send(others);
  }

  return {
    write(write) {
      return new Promise((resolve) => {
        // Two writes of one row cannot share a transaction.
        if (gathered.some((entry) => entry.write.key === write.key)) flush();
        gathered.push({ write, settle: resolve });
        if (gathered.length >= maxPerTransaction) {
          flush();
          return;
        }
        timer ??= clock.after(gatherMs, flush);
      });
    },
  };
}

function createTransaction(batch: readonly Entry[]) {
  const conditions = [];
  const puts = [];
  const deletes = [];
  for (const { write } of batch) {
    conditions.push({ key: write.key, revision: write.revision });
    if (write.value === null) deletes.push(write.key);
    else puts.push({ key: write.key, value: write.value });
  }
  return { conditions, puts, deletes };
}

function outcomeOf(outcome: Exclude<TransactionOutcome, { kind: 'conflict' }>): RowWriteOutcome {
  return match(outcome)
    .with({ kind: 'committed' }, ({ revision }) => ({ kind: 'committed' as const, revision }))
    .with({ kind: 'unavailable' }, ({ failure }) => ({ kind: 'unavailable' as const, failure }))
    .with({ kind: 'unknown' }, ({ failure }) => ({ kind: 'unknown' as const, failure }))
    .exhaustive();
}
