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

/** Engines of a software version from which on one of them is to decode. */
const MIN_ENGINES_OF_VERSION = 2;

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
 * Lists the role changes that lead to the planned split, and before them those without which streams of a software
 * version could not be continued. Engines are taken from the availability zone with the most engines of the surplus
 * role first, so that both roles stay spread over the zones.
 *
 * @param engines engines of a service with their current or pending roles
 * @param decodeLoad decode work, as the number of engines that it would keep busy; `undefined` if
 * unknown
 */
export function resolveChanges(
  engines: readonly RegisteredServer[],
  decodeLoad?: number,
): RoleChange[] {
  const additions = resolveMissingDecode(engines);
  if (additions.length > 0) return additions;
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
  const planned = [...engines];
  const changes: RoleChange[] = [];
  for (let index = 0; index < Math.abs(surplus); index += 1) {
    const server = pickFromLargestZone(listChangeable(planned, role));
    if (server === undefined) break;
    planned.splice(planned.indexOf(server), 1, { ...server, role });
    changes.push({ server, role });
  }
  return changes;
}

/** Engines that may be given a role. A version keeps its last decode engine, which alone can continue its streams. */
function listChangeable(
  engines: readonly RegisteredServer[],
  role: EngineRole,
): readonly RegisteredServer[] {
  const changeable = engines.filter((engine) => engine.role !== undefined && engine.role !== role);
  if (role === 'decode') return changeable;
  const kept = findLastDecode(engines);
  return changeable.filter((engine) => !kept.has(engine));
}

/** Engines by software version. */
function groupByVersion(engines: readonly RegisteredServer[]): RegisteredServer[][] {
  const groups = new Map<string | undefined, RegisteredServer[]>();
  for (const engine of engines) {
    const group = groups.get(engine.version) ?? [];
    groups.set(engine.version, group);
    group.push(engine);
  }
  return [...groups.values()];
}

/**
 * The changes after which every software version with several engines can continue its streams, while there is more
 * than one version.
 */
function resolveMissingDecode(engines: readonly RegisteredServer[]): RoleChange[] {
  const groups = groupByVersion(engines);
  const changes: RoleChange[] = [];
  for (const group of groups.length > 1 ? groups : []) {
    if (group.length < MIN_ENGINES_OF_VERSION) continue;
    if (group.some(({ role }) => role !== 'prefill')) continue;
    const server = pickFromLargestZone(group);
    if (server !== undefined) changes.push({ server, role: 'decode' });
  }
  return changes;
}

/** Decode engines that are the only ones of a version with several engines. */
function findLastDecode(engines: readonly RegisteredServer[]): Set<RegisteredServer> {
  const last = new Set<RegisteredServer>();
  for (const group of groupByVersion(engines)) {
    const decode = group.filter(({ role }) => role === 'decode');
    const [only] = decode;
    if (group.length < MIN_ENGINES_OF_VERSION || decode.length > 1) continue;
    if (only !== undefined) last.add(only);
  }
  return last;
}

function pickFromLargestZone(pool: readonly RegisteredServer[]): RegisteredServer | undefined {
  const counts = new Map<string, number>();
  for (const { zone } of pool) {
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  let best: RegisteredServer | undefined;
  for (const server of pool) {
    const isLarger = (counts.get(server.zone) ?? 0) > (counts.get(best?.zone ?? '') ?? 0);
    if (best === undefined || isLarger) best = server;
  }
  return best;
}
