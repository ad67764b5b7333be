/**
 * Counts why the engines of a service cannot be given a request, for the log line and the counter of a
 * request that got none. Each engine counts once, under the first reason that holds.
 */
import type { SendLimits } from '../backpressure/index.js';
import type { EventFields } from '../events/index.js';
import type { EngineRole, RegisteredServer } from '../fleet/index.js';
import type { DecodeEngines } from './decode-engines.js';
import type { EngineMonitor } from './engine-monitor.js';
import { resolvePlaceRank, type Job } from './job.js';

/** Why an engine of the request's version cannot be given it; `free` if there is no reason. */
export type EngineRefusal =
  'excluded' | 'paused' | 'rate-limited' | 'full' | 'unhealthy' | 'avoided' | 'free';

/** Engines of one role by why they cannot be given a request. */
export type RefusalCounts = Partial<Record<EngineRefusal, number>>;

/** Engines by why they cannot be given a request. */
export interface EngineCensus {
  /** Engines of the service. */
  engines: number;
  /** Those that have the software version of the request's stream; all if any version will do. */
  ofVersion: number;
  prefill: RefusalCounts;
  decode: RefusalCounts;
}

/** What the census asks of the scheduler. */
export interface EngineCensusParts {
  engines(): readonly RegisteredServer[];
  monitor: Pick<EngineMonitor, 'isAvailable'>;
  limits: SendLimits;
  decodeEngines: Pick<DecodeEngines, 'isFull'>;
  /** Requests that run on an engine or wait for it. */
  requestCount: (id: string) => number;
}

/**
 * Counts the engines for a request.
 *
 * @param parts the engines with their health, limits and places
 * @param job the request
 */
export function takeEngineCensus(parts: EngineCensusParts, job: Job): EngineCensus {
  const census: EngineCensus = { engines: 0, ofVersion: 0, prefill: {}, decode: {} };
  for (const engine of parts.engines()) {
    census.engines += 1;
    if (job.version !== undefined && engine.version !== job.version) continue;
    census.ofVersion += 1;
    if (engine.role === undefined) continue;
    const counts = census[engine.role];
    const refusal = resolveRefusal(parts, engine, job);
    counts[refusal] = (counts[refusal] ?? 0) + 1;
  }
  return census;
}

function resolveRefusal(
  { monitor, limits, decodeEngines, requestCount }: EngineCensusParts,
  engine: RegisteredServer,
  job: Job,
): EngineRefusal {
  const { id, role } = engine;
  const placeRank = resolvePlaceRank(job);
  if (job.excluded.includes(id)) return 'excluded';
  if (job.paused.includes(id)) return 'paused';
  if (limits.msUntilRoom(id, placeRank === 0 ? 0 : 1) > 0) return 'rate-limited';
  if (role === 'decode' && decodeEngines.isFull(engine, placeRank)) return 'full';
  if (!monitor.isAvailable(id, requestCount(id))) return 'unhealthy';
  return job.avoided.includes(id) ? 'avoided' : 'free';
}

/** Why a request got no engine: what most engines of the role that it lacks say. */
export function resolveMainRefusal({ ofVersion, prefill, decode }: EngineCensus): string {
  if (ofVersion === 0) return 'no-engine-of-version';
  const lacking = isUsable(decode) ? prefill : decode;
  const role: EngineRole = lacking === decode ? 'decode' : 'prefill';
  let main = 'none';
  let most = 0;
  for (const [refusal, count] of Object.entries(lacking)) {
    if (count <= most) continue;
    main = refusal;
    most = count;
  }
  return `${role}-${main}`;
}

/** Unhealthy and avoided engines are used if there is no other. */
function isUsable({ free = 0, unhealthy = 0, avoided = 0 }: RefusalCounts): boolean {
  return free + unhealthy + avoided > 0;
}

/** What a log line says of a census. */
export function describeCensus(census: EngineCensus, { version }: Job): EventFields {
  const { engines, ofVersion, prefill, decode } = census;
  return {
    version,
    engines,
    ofVersion,
    prefill,
    decode,
    because: resolveMainRefusal(census),
  };
}
