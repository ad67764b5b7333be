/**
 * How many engines of a service read prompts for the others, and which of them change their role to
 * get there. The share was weighed on the standard days; docs/PLATFORM-MEASUREMENTS.md has the
 * figures.
 */
import type { EngineRole, RegisteredServer } from '../fleet/index.js';

/** Share of the engines that read prompts while nothing is known of the demand, and the least share:
 * generating may turn out to need the rest. */
const READING_SHARE = 0.62;
/** Load up to which engines that generate are to be used: bursts of long answers and transfers that
 * come together are several times the mean. */
const GENERATING_LOAD = 0.25;
/** Engines that generate at least, where there are enough: with a single one, all ends when it does. */
const LEAST_GENERATING = 2;
/** Part of the engines by which the split must be off before it is changed for the demand: an engine is
 * away for seconds while it changes. */
const WORTH_CHANGING_SHARE = 0.1;

/** One change of a role. */
export interface RoleChange {
  server: RegisteredServer;
  role: EngineRole;
}

/**
 * Number of engines that are to read prompts. Where few engines would do for generating, the others
 * read as well: reading is what bursts ask for, and every engine that reads adds its cache.
 *
 * @param engines how many there are
 * @param generatingLoad work of generating, in engines that it would keep busy; `undefined` where it
 * is not known
 */
export function resolvePrefillCount(engines: number, generatingLoad?: number): number {
  if (engines < 2) return 0;
  const readers = Math.min(engines - 1, Math.max(1, Math.round(engines * READING_SHARE)));
  if (generatingLoad === undefined) return readers;
  const generating = Math.max(LEAST_GENERATING, Math.ceil(generatingLoad / GENERATING_LOAD));
  return Math.max(readers, engines - generating);
}

/**
 * Lists the changes that lead to the planned split. The availability zone with the most engines of
 * the role in excess gives one up first, so that both roles stay spread over the zones.
 *
 * @param engines engines of a service with the role that each has or is about to have
 * @param generatingLoad work of generating, in engines that it would keep busy; `undefined` where it
 * is not known
 */
export function resolveChanges(
  engines: readonly RegisteredServer[],
  generatingLoad?: number,
): RoleChange[] {
  const readers = engines.filter(({ role }) => role === 'prefill');
  const surplus = readers.length - resolvePrefillCount(engines.length, generatingLoad);
  const isUsual = readers.length >= resolvePrefillCount(engines.length);
  const generating = engines.length - readers.length;
  if (isUsual && generating >= Math.min(LEAST_GENERATING, engines.length - 1)) {
    // a gateway that has just begun to schedule leaves the split as another one chose it
    if (generatingLoad === undefined) return [];
    if (Math.abs(surplus) < WORTH_CHANGING_SHARE * engines.length) return [];
  }
  const role: EngineRole = surplus > 0 ? 'decode' : 'prefill';
  const pool = engines.filter((engine) => engine.role !== undefined && engine.role !== role);
  const changes: RoleChange[] = [];
  for (let index = 0; index < Math.abs(surplus); index += 1) {
    const server = takeFromFullestZone(pool);
    if (server === undefined) break;
    changes.push({ server, role });
  }
  return changes;
}

function takeFromFullestZone(pool: RegisteredServer[]): RegisteredServer | undefined {
  const counts = new Map<string, number>();
  for (const { zone } of pool) {
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  let best: RegisteredServer | undefined;
  for (const server of pool) {
    const isFuller = (counts.get(server.zone) ?? 0) > (counts.get(best?.zone ?? '') ?? 0);
    if (best === undefined || isFuller) best = server;
  }
  if (best !== undefined) pool.splice(pool.indexOf(best), 1);
  return best;
}
