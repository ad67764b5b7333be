/**
 * Keeps bans on the platform, a small row each, so that gateways that all start anew know them: without them a request
 * that had ended three servers would end three more.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/table-service.js';
import { wait, type Clock } from '../task/index.js';
import type { CrashRow } from './messages.js';
import { MAX_RECORDS } from './records.js';

const PREFIX = 'bans/';
/** Pause between two tries, in ms. */
const RETRY_MS = 1_000;

const rowSchema = z.object({
  cleared: z.number(),
  crashes: z.number(),
  discounted: z.number(),
  /** Last crash by the time of day, in ms: only for how long a ban lasts, which seconds do not change. */
  atMs: z.number(),
});

/** What the rows need. */
export interface BanRowsParts {
  table: TableService;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  /** The time of day, in ms since the epoch. */
  timeOfDay(): number;
  /** What is to be kept of a ban; `undefined` where there is none now. */
  banRowOf: (fingerprint: string) => CrashRow | undefined;
  mergeRows: (rows: readonly CrashRow[]) => void;
}

/** Bans on the platform. */
export interface BanRows {
  /** Reads all; tries until the platform answers. */
  load: () => Promise<void>;
  /** A ban was laid or lifted here; tries until the platform has taken it in. */
  changed: (fingerprint: string) => void;
}

/**
 * Creates the rows.
 *
 * @param parts the platform, and what is known here
 */
export function createBanRows(parts: BanRowsParts): BanRows {
  const { table, clock, log, signal } = parts;
  const changing = new Set<string>();

  async function repeat(step: () => Promise<boolean>): Promise<void> {
    while (!signal.aborted && !(await step())) {
      await wait(clock, RETRY_MS);
    }
  }

  async function write(fingerprint: string): Promise<boolean> {
    const key = `${PREFIX}${fingerprint}`;
    const record = parts.banRowOf(fingerprint);
    const outcome = await table.transact(
      record === undefined
        ? { conditions: [], puts: [], deletes: [key] }
        : { conditions: [], puts: [{ key, value: createValue(record) }], deletes: [] },
    );
    if (outcome.kind !== 'committed') {
      log.write('banRowFailed', { fingerprint, outcome: outcome.kind });
      return false;
    }
    // it may have changed once more while it was written
    return (parts.banRowOf(fingerprint) === undefined) === (record === undefined);
  }

  function createValue({
    cleared,
    crashes,
    discounted,
    ageMs,
  }: CrashRow): z.infer<typeof rowSchema> {
    return { cleared, crashes, discounted, atMs: Math.round(parts.timeOfDay() - ageMs) };
  }

  async function read(): Promise<boolean> {
    const rows = await table.range({ prefix: PREFIX, limit: MAX_RECORDS });
    if (rows.isErr()) {
      log.write('banRowFailed', { reason: rows.error.message });
      return false;
    }
    const records: CrashRow[] = [];
    for (const { key, value } of rows.value) {
      const parsed = rowSchema.safeParse(value);
      if (!parsed.success) {
        log.write('banRowFailed', { row: key, reason: z.prettifyError(parsed.error) });
        continue;
      }
      const { atMs, ...counts } = parsed.data;
      const ageMs = Math.max(0, parts.timeOfDay() - atMs);
      records.push({ fingerprint: key.slice(PREFIX.length), ...counts, ageMs });
    }
    parts.mergeRows(records);
    removeFaded(records);
    return true;
  }

  function removeFaded(records: readonly CrashRow[]): void {
    for (const { fingerprint } of records) {
      if (parts.banRowOf(fingerprint) === undefined) changed(fingerprint);
    }
  }

  function changed(fingerprint: string): void {
    if (changing.has(fingerprint)) return;
    changing.add(fingerprint);
    void repeat(() => write(fingerprint)).finally(() => {
      changing.delete(fingerprint);
    });
  }

  return { load: () => repeat(read), changed };
}
