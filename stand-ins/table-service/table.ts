/**
 * The table itself: rows in memory under sorted keys, written by atomic transactions.
 */
import type { Range, Row, Transaction } from '../../src/ports/index.js';

/** What a transaction did. */
export type TransactionResult =
  { kind: 'committed'; revision: number } | { kind: 'conflict'; conflicts: string[] };

/** Rows and transactions. */
export interface Table {
  get(key: string): Row | undefined;
  range(range: Range): Row[];
  /** Writes if every condition holds. */
  transact(transaction: Transaction): TransactionResult;
}

/** Creates an empty table. */
export function createTable(): Table {
  const rows = new Map<string, Row>();
  const keys: string[] = [];
  let revision = 0;

  function put(key: string, value: unknown): void {
    if (!rows.has(key)) keys.splice(findPosition(keys, key), 0, key);
    rows.set(key, { key, revision, value });
  }

  function remove(key: string): void {
    if (rows.delete(key)) keys.splice(findPosition(keys, key), 1);
  }

  function findConflicts(transaction: Transaction): string[] {
    const conflicts: string[] = [];
    for (const condition of transaction.conditions) {
      const found = rows.get(condition.key)?.revision ?? 0;
      if (found !== condition.revision) conflicts.push(condition.key);
    }
    return conflicts;
  }

  return {
    get: (key) => rows.get(key),
    range(range) {
      const found: Row[] = [];
      const start = range.after !== undefined && range.after > range.prefix;
      const first = start ? range.after : range.prefix;
      for (let at = findPosition(keys, first ?? ''); at < keys.length; at += 1) {
        const key = keys[at] ?? '';
        if (!key.startsWith(range.prefix) || found.length >= range.limit) break;
        const row = rows.get(key);
        if (row !== undefined && key !== range.after) found.push(row);
      }
      return found;
    },
    transact(transaction) {
      const conflicts = findConflicts(transaction);
      if (conflicts.length > 0) return { kind: 'conflict', conflicts };
      revision += 1;
      for (const written of transaction.puts) put(written.key, written.value);
      for (const key of transaction.deletes) remove(key);
      return { kind: 'committed', revision };
    },
  };
}

/** The first position whose key is not before the wanted one. */
function findPosition(keys: readonly string[], wanted: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((keys[middle] ?? '') < wanted) low = middle + 1;
    else high = middle;
  }
  return low;
}
