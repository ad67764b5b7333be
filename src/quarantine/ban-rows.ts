/**
 * Stores each ban as a small row on the platform, so that bans survive a restart of all gateways. Without the rows, a
 * banned request would crash three more servers after such a restart.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/table-service.js';
import { wait, type Clock } from '../task/index.js';
import type { CrashRow } from './messages.js';
import { MAX_RECORDS } from './records.js';

const PREFIX = 'bans/';
const RETRY_MS = 1_000;

const rowSchema = z.object({
  cleared: z.number(),
  crashes: z.number(),
  discounted: z.number(),
  /** Wall-clock time of the last crash, in ms. Used only for the ban's expiry, where clock skew of seconds is harmless. */
  atMs: z.number(),
});

/** Dependencies of the ban rows. */
export interface BanRowsParts {
  table: TableService;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  /** The time of day, in ms since the epoch. */
  timeOfDay(): number;
  /** The row to store for a banned request; `undefined` if the request is not banned. */
  banRowOf: (fingerprint: string) => CrashRow | undefined;
  mergeRows: (rows: readonly CrashRow[]) => void;
}

/** Bans stored on the platform. */
export interface BanRows {
  /** Loads all stored bans; retries until the platform answers. */
  load: () => Promise<void>;
  /** Stores or deletes the row of a ban that changed at this gateway; retries until the platform commits it. */
  changed: (fingerprint: string) => void;
}

/**
 * Creates the ban rows of a gateway.
 *
 * @param parts the platform's table and the local crash records
 */
export function createBanRows(parts: BanRowsParts): BanRows {
  const { table, clock, log, signal } = parts;
  const changing = new Set<string>();

  async function retryUntilDone(attempt: () => Promise<boolean>): Promise<void> {
    while (!signal.aborted && !(await attempt())) {
      await wait(clock, RETRY_MS);
    }
  }

  async function write(fingerprint: string): Promise<boolean> {
    const key = `${PREFIX}${fingerprint}`;
    const row = parts.banRowOf(fingerprint);
    const outcome = await table.transact(
      row === undefined
        ? { conditions: [], puts: [], deletes: [key] }
        : { conditions: [], puts: [{ key, value: createValue(row) }], deletes: [] },
    );
    if (outcome.kind !== 'committed') {
      log.write('banRowFailed', { fingerprint, outcome: outcome.kind });
      return false;
    }
    // the ban may have been set or lifted again during the write
    return (parts.banRowOf(fingerprint) === undefined) === (row === undefined);
  }

  function createValue({
    cleared,
    crashes,
    discounted,
    ageMs,
  }: CrashRow): z.infer<typeof rowSchema> {
    return { cleared, crashes, discounted, atMs: Math.round(parts.timeOfDay() - ageMs) };
  }

  async function loadRows(): Promise<boolean> {
    const stored = await table.range({ prefix: PREFIX, limit: MAX_RECORDS });
    if (stored.isErr()) {
      log.write('banRowFailed', { reason: stored.error.message });
      return false;
    }
    const rows: CrashRow[] = [];
    for (const { key, value } of stored.value) {
      const parsed = rowSchema.safeParse(value);
      if (!parsed.success) {
        log.write('banRowFailed', { row: key, reason: z.prettifyError(parsed.error) });
        continue;
      }
      const { atMs, ...counts } = parsed.data;
      const ageMs = Math.max(0, parts.timeOfDay() - atMs);
      rows.push({ fingerprint: key.slice(PREFIX.length), ...counts, ageMs });
    }
    parts.mergeRows(rows);
    deleteExpired(rows);
    return true;
  }

  function deleteExpired(rows: readonly CrashRow[]): void {
    for (const { fingerprint } of rows) {
      if (parts.banRowOf(fingerprint) === undefined) changed(fingerprint);
    }
  }

  function changed(fingerprint: string): void {
    if (changing.has(fingerprint)) return;
    changing.add(fingerprint);
    void retryUntilDone(() => write(fingerprint)).finally(() => {
      changing.delete(fingerprint);
    });
  }

  return { load: () => retryUntilDone(loadRows), changed };
}
