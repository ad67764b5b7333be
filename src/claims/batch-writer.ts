/**
 * Batches conditional writes of single rows into transactions, because the table accepts only a few
 * hundred transactions a second. When a write conflicts, the rest of its batch is sent again without
 * it, so that writes fail independently.
 */
import { match } from 'ts-pattern';
import type { Failure } from '../errors/index.js';
import type { TableService, TransactionOutcome } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';

/** One conditional write. */
export interface RowWrite {
  key: string;
  /** The revision that the row must have; 0 if it must be absent. */
  revision: number;
  /** `null` removes the row. */
  value: unknown;
}

/** Outcome of one write. */
export type RowWriteOutcome =
  | { kind: 'committed'; revision: number }
  | { kind: 'conflict' }
  | { kind: 'unavailable'; failure: Failure }
  | { kind: 'unknown'; failure: Failure };

/** Writes rows in batches. */
export interface BatchWriter {
  write(write: RowWrite): Promise<RowWriteOutcome>;
}

/** Dependencies and limits of a batch writer. */
export interface BatchWriterParts {
  table: TableService;
  clock: Clock;
  /** How long a write waits for others to join its batch, in milliseconds. */
  gatherMs: number;
  maxPerTransaction: number;
}

interface QueuedWrite {
  write: RowWrite;
  resolve(outcome: RowWriteOutcome): void;
}

/**
 * Creates a batch writer.
 *
 * @param parts the table and the limits of a batch
 */
export function createBatchWriter(parts: BatchWriterParts): BatchWriter {
  const { table, clock, gatherMs, maxPerTransaction } = parts;
  let queued: QueuedWrite[] = [];
  let timer: Timer | undefined;

  function flush(): void {
    timer?.cancel();
    timer = undefined;
    const batch = queued;
    queued = [];
    if (batch.length > 0) void send(batch);
  }

  async function send(batch: readonly QueuedWrite[]): Promise<void> {
    const outcome = await table.transact(createTransaction(batch));
    if (outcome.kind === 'conflict') {
      await retryWithoutConflicts(batch, outcome.conflicts);
      return;
    }
    for (const entry of batch) {
      entry.resolve(outcomeOf(outcome));
    }
  }

  async function retryWithoutConflicts(
    batch: readonly QueuedWrite[],
    conflicts: readonly string[],
  ): Promise<void> {
    const remaining: QueuedWrite[] = [];
    for (const entry of batch) {
      if (conflicts.includes(entry.write.key)) entry.resolve({ kind: 'conflict' });
      else remaining.push(entry);
    }
    if (remaining.length === batch.length) {
      // The conflict names no write of this batch: sending it again would loop forever.
      for (const entry of batch) entry.resolve({ kind: 'conflict' });
      return;
    }
    if (remaining.length > 0) await send(remaining);
  }

  return {
    write(write) {
      return new Promise((resolve) => {
        // A transaction can write each row only once.
        if (queued.some((entry) => entry.write.key === write.key)) flush();
        queued.push({ write, resolve });
        if (queued.length >= maxPerTransaction) {
          flush();
          return;
        }
        timer ??= clock.after(gatherMs, flush);
      });
    },
  };
}

function createTransaction(batch: readonly QueuedWrite[]) {
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
