/**
 * Keeps what was learnt of engines beyond the process: peers hear it with each heartbeat, and the
 * store has it for the case that all gateways end at once.
 *
 * Answers: all processes killed under load. With nothing known, reads are cut or admitted by wrong
 * times just when the backlog of the outage arrives.
 */
import { z } from 'zod';
import type { Log } from '../events/index.js';
import type { TableService } from '../ports/table-service.js';
import { hasMoved, pacesSnapshotSchema, type PacesSnapshot } from '../scheduling/index.js';
import { wait, type Clock } from '../task/index.js';

const PREFIX = 'paces/';
/** Services whose rows are read at most. */
const MAX_ROWS = 100;
/** Time between two looks at whether there is anything new to keep, in ms: each write is a call to
 * the store, and paces move slowly. */
const LOOK_MS = 4_000;
/** Time between two tries to read what was kept, in ms. */
const RETRY_MS = 500;

const rowSchema = z.object({ service: z.string(), paces: pacesSnapshotSchema });

/** What keeping needs. */
export interface KeepPacesParts {
  table: TableService;
  clock: Clock;
  log: Log;
  signal: AbortSignal;
  /** What was learnt here, of the services that this gateway schedules. */
  learnt(): ReadonlyMap<string, PacesSnapshot>;
  /** Takes over what was kept. */
  adopt: (service: string, paces: PacesSnapshot) => void;
}

/**
 * Reads what was kept and goes on to keep what is learnt; the signal ends it.
 *
 * @param parts the store and what is learnt
 */
export async function keepPaces(parts: KeepPacesParts): Promise<void> {
  const { clock, signal } = parts;
  const kept = new Map<string, PacesSnapshot>();
  while (!signal.aborted && !(await read(parts))) {
    await wait(clock, RETRY_MS);
  }
  while (!signal.aborted) {
    await wait(clock, LOOK_MS);
    for (const [service, paces] of parts.learnt()) {
      if (!hasMoved(kept.get(service), paces)) continue;
      if (await write(parts, service, paces)) kept.set(service, paces);
    }
  }
}

async function read({ table, log, adopt }: KeepPacesParts): Promise<boolean> {
  const rows = await table.range({ prefix: PREFIX, limit: MAX_ROWS });
  if (rows.isErr()) {
    log.write('pacesNotKept', { step: 'read', reason: rows.error.message });
    return false;
  }
  for (const { key, value } of rows.value) {
    const parsed = rowSchema.safeParse(value);
    if (parsed.success) adopt(parsed.data.service, parsed.data.paces);
    else log.write('pacesNotKept', { step: 'read', key, reason: z.prettifyError(parsed.error) });
  }
  return true;
}

async function write(
  { table, log }: KeepPacesParts,
  service: string,
  paces: PacesSnapshot,
): Promise<boolean> {
  const outcome = await table.transact({
    conditions: [],
    puts: [{ key: `${PREFIX}${service}`, value: { service, paces } }],
    deletes: [],
  });
  if (outcome.kind !== 'committed') {
    log.write('pacesNotKept', { step: 'write', service, reason: outcome.kind });
    return false;
  }
  return true;
}
