/**
 * Plans the split of a service's engines between prefill and decode. docs/PLATFORM-MEASUREMENTS.md
 * has the measurements behind the shares.
 */
import type { EngineRole, RegisteredServer } from '../fleet/index.js';

/** Share of the engines that prefill while the decode load is unknown; also the minimum share. */
const PREFILL_SHARE = 0.62;
/** Target load of a decode engine; leaves headroom for bursts of long answers and transfers, which
 * reach several times the mean. */
const TARGET_DECODE_LOAD = 0.25;
/** Minimum number of decode engines for redundancy, if there are enough engines. */
const MIN_DECODE_ENGINES = 2;
/** Minimum deviation, as a share of the engines, that is corrected for the decode load: an engine is
 * unavailable for seconds while its role changes. */
const MIN_CHANGE_SHARE = 0.1;

/** A change of an engine's role. */
export interface RoleChange {
  server: RegisteredServer;
  role: EngineRole;
}

/**
 * Planned number of prefill engines. Engines that are not needed for decode prefill as well, because
 * bursts consist of prefill work and each prefill engine adds its cache.
 *
 * @param engines the number of engines
 * @param decodeLoad decode work, as the number of engines that it would keep busy; `undefined` if
 * unknown
 */
export function resolvePrefillCount(engines: number, decodeLoad?: number): number {
  if (engines < 2) return 0;
  const prefillCount = Math.min(engines - 1, Math.max(1, Math.round(engines * PREFILL_SHARE)));
  if (decodeLoad === undefined) return prefillCount;
  const decodeCount = Math.max(MIN_DECODE_ENGINES, Math.ceil(decodeLoad / TARGET_DECODE_LOAD));
  return Math.max(prefillCount, engines - decodeCount);
}

/**
 * Lists the role changes that lead to the planned split. Engines are taken from the availability zone
 * with the most engines of the surplus role first, so that both roles stay spread over the zones.
 *
 * @param engines engines of a service with their current or pending roles
 * @param decodeLoad decode work, as the number of engines that it would keep busy; `undefined` if
 * unknown
 */
export function resolveChanges(
  engines: readonly RegisteredServer[],
  decodeLoad?: number,
): RoleChange[] {
  const prefillEngines = engines.filter(({ role }) => role === 'prefill');
  const surplus = prefillEngines.length - resolvePrefillCount(engines.length, decodeLoad);
  const hasMinPrefill = prefillEngines.length >= resolvePrefillCount(engines.length);
  const decodeCount = engines.length - prefillEngines.length;
  if (hasMinPrefill && decodeCount >= Math.min(MIN_DECODE_ENGINES, engines.length - 1)) {
    // a gateway that has just started to schedule keeps the split of its predecessor
    if (decodeLoad === undefined) return [];
    if (Math.abs(surplus) < MIN_CHANGE_SHARE * engines.length) return [];
  }
  const role: EngineRole = surplus > 0 ? 'decode' : 'prefill';
  const pool = engines.filter((engine) => engine.role !== undefined && engine.role !== role);
  const changes: RoleChange[] = [];
  for (let index = 0; index < Math.abs(surplus); index += 1) {
    const server = takeFromLargestZone(pool);
    if (server === undefined) break;
    changes.push({ server, role });
  }
  return changes;
}

function takeFromLargestZone(pool: RegisteredServer[]): RegisteredServer | undefined {
  const counts = new Map<string, number>();
  for (const { zone } of pool) {
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  let best: RegisteredServer | undefined;
  for (const server of pool) {
    const isLarger = (counts.get(server.zone) ?? 0) > (counts.get(best?.zone ?? '') ?? 0);
    if (best === undefined || isLarger) best = server;
  }
  if (best !== undefined) pool.splice(pool.indexOf(best), 1);
  return best;
}
