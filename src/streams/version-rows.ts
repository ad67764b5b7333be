/**
 * Stores the software versions that may have begun streams, a small row for each service, so that gateways that all
 * start again at once know whether there was more than one. A row changes when a version comes, and when it has been
 * gone for as long as its streams may be continued. Where there is no row, no gateway has begun a stream before; the one
 * that is written then has all versions since.
 */
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/table-service.js';
import { wait, type Clock } from '../task/index.js';
import type { VersionHistory } from './version-history.js';

const PREFIX = 'software-versions/';
/** Most services to read. */
const MAX_ROWS = 1_000;
/** Delays between the first two and between later attempts to read the rows, in ms. */
const RETRY_MS = 1_000;
const MAX_RETRY_MS = 30_000;
/** Interval between two comparisons of the rows with what is known, in ms. */
const CHECK_MS = 500;

const rowSchema = z.object({ versions: z.array(z.string()) });

/** Dependencies of the rows. */
export interface VersionRowsParts {
  table: TableService;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  history: VersionHistory;
  /** Services whose streams may be continued. */
  services(): Iterable<string>;
  /** Whether this gateway keeps a service's row up to date. */
  isOwn(service: string): boolean;
}

/** Rows of software versions. */
export interface VersionRows {
  /** Reads the rows until each is there, and keeps the own ones up to date. */
  start(): Promise<void>;
  /** Writes all rows again after the store has lost them. */
  rewrite(): void;
}

/**
 * Creates the rows of a gateway.
 *
 * @param parts the platform's table and the history
 */
export function createVersionRows(parts: VersionRowsParts): VersionRows {
  const { table, clock, log, signal, history } = parts;
  /** What is stored, by service; of those whose rows this gateway keeps, as another may write the rest. */
  const stored = new Map<string, string>();
  /** Whether the platform has said which rows there are. */
  let isRead = false;
  let nextLoadAt = Number.NEGATIVE_INFINITY;
  let retryMs = RETRY_MS;

  /** Whether a service's row was not read yet, though there is one or will be. */
  function isMissing(service: string): boolean {
    return !history.isLoaded(service) && history.versions(service).versions.length > 0;
  }

  async function load(): Promise<void> {
    const rows = await table.range({ prefix: PREFIX, limit: MAX_ROWS });
    if (rows.isErr()) {
      log.write('versionRowFailed', { reason: rows.error.message });
      return;
    }
    isRead = true;
    for (const { key, value } of rows.value) {
      const service = key.slice(PREFIX.length);
      const parsed = rowSchema.safeParse(value);
      if (!parsed.success) {
        log.write('versionRowFailed', { service, reason: z.prettifyError(parsed.error) });
        continue;
      }
      const { versions } = parsed.data;
      history.loaded(service, versions);
      stored.set(service, versions.join());
      log.write('versionsLoaded', { service, versions });
    }
  }

  async function update(service: string): Promise<void> {
    const { versions } = history.versions(service);
    if (versions.length === 0 || stored.get(service) === versions.join()) return;
    const puts = [{ key: `${PREFIX}${service}`, value: { versions } }];
    const outcome = await table.transact({ conditions: [], puts, deletes: [] });
    if (outcome.kind === 'committed') stored.set(service, versions.join());
    log.write(outcome.kind === 'committed' ? 'versionsStored' : 'versionRowFailed', {
      service,
      versions,
      outcome: outcome.kind,
    });
  }

  async function check(): Promise<void> {
    const services = [...parts.services()];
    if (clock.now() >= nextLoadAt && (!isRead || services.some(isMissing))) {
      nextLoadAt = clock.now() + retryMs;
      retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
      await load();
    }
    // a row that was not read yet may have versions that are gone
    if (!isRead) return;
    for (const service of services) {
      if (parts.isOwn(service)) await update(service);
      else stored.delete(service);
    }
  }

  return {
    async start() {
      while (!signal.aborted) {
        await check();
        await wait(clock, CHECK_MS);
      }
    },
    rewrite() {
      stored.clear();
      isRead = false;
      nextLoadAt = Number.NEGATIVE_INFINITY;
      retryMs = RETRY_MS;
      history.storedLost();
    },
  };
}
