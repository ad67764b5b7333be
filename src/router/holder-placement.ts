/**
 * Placement by permits, which the holder of a shard grants by its exact count of places in use.
 */
import { match } from 'ts-pattern';
import { Err, Ok, type Result } from 'ts-results-es';
import type { EngineGroup } from '../configuration/objects.js';
import { createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Answer, Links, PermitProgress, PermitQuery, PermitRelease } from '../links/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ShardHolder } from '../permits/index.js';
import type { KnownHolder, Shard } from '../shards/index.js';
import type { Clock } from '../task/index.js';
import { resolvePlaceInUse, type PlacesInUse } from './in-use.js';
import type { Place, PlaceEnd, Placement, PlaceProgress, PlacementRequest } from './placement.js';

/** Waits for a holder's answer until this long after the first token was due. */
const ANSWER_SLACK_MS = 500;
const RETRY_AFTER_MS = 1_000;

export interface HolderPlacementParts {
  node: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  links: Pick<Links, 'query' | 'notify'>;
  inUse: PlacesInUse;
  configurationVersion(): number;
  /** Shards that have servers of a group. */
  shardsOf(group: EngineGroup): Shard[];
  /** The holder of a shard that this node holds. */
  localHolder(shard: string): ShardHolder | undefined;
  /** Another node that holds a shard, as last reported. */
  remoteHolder(shard: string): KnownHolder | undefined;
  /** Places repeatable requests while a holder cannot be reached. */
  fallback: Placement;
}

/** A shard that could place a request. */
interface Option {
  shard: string;
  group: string;
  free: number;
  waiting: number;
}

/**
 * Creates placement by permits.
 *
 * @param parts holders and the links to them
 */
export function createHolderPlacement(parts: HolderPlacementParts): Placement {
  const { node, clock, log, metrics, links, inUse } = parts;

  async function place(
    request: PlacementRequest,
    signal: AbortSignal,
  ): Promise<Result<Place, Failure>> {
    let last: Failure | undefined;
    for (const option of listOptions(request)) {
      if (signal.aborted) break;
      const granted = await askHolder(request, option, signal);
      if (granted.isOk()) return granted;
      last = granted.error;
      if (last.code === 'peer-unreachable' || last.code === 'lease-lost') {
        const placed = await placeWithoutHolder(request, option, signal);
        if (placed.isOk()) return placed;
        last = placed.error;
      }
      if (last.code !== 'no-backend-server') break;
    }
    return Err(last ?? refuseWithoutShard(node));
  }

  /** Shards with the most free places first, then those with the shorter queue. */
  function listOptions(request: PlacementRequest): Option[] {
    const options: Option[] = [];
    for (const group of request.groups) {
      for (const shard of parts.shardsOf(group)) {
        options.push(describeOption(shard.name, group.name));
      }
    }
    options.sort((left, right) => right.free - left.free || left.waiting - right.waiting);
    return options;
  }

  function describeOption(shard: string, group: string): Option {
    const summary = parts.localHolder(shard)?.summary() ?? parts.remoteHolder(shard)?.summary;
    let free = 0;
    for (const server of summary?.servers ?? []) {
      free += server.free;
    }
    return { shard, group, free, waiting: summary?.waiting ?? 0 };
  }

  async function askHolder(
    request: PlacementRequest,
    option: Option,
    signal: AbortSignal,
  ): Promise<Result<Place, Failure>> {
    const query = createQuery(request, option);
    const local = parts.localHolder(option.shard);
    const holder = local === undefined ? parts.remoteHolder(option.shard)?.node : node;
    const withdraw = () => {
      withdrawQuery(query, local, holder);
    };
    signal.addEventListener('abort', withdraw, { once: true });
    const answer =
      local === undefined ? await askRemote(query, holder) : Ok(await local.ask(node, query));
    signal.removeEventListener('abort', withdraw);
    if (answer.isErr()) return answer;
    return readAnswer(request, answer.value, holder ?? '');
  }

  function createQuery(request: PlacementRequest, option: Option): PermitQuery {
    const now = clock.now();
    return {
      kind: 'permit.request',
      shard: option.shard,
      requestId: request.requestId,
      attempt: request.attempt,
      configurationVersion: parts.configurationVersion(),
      group: option.group,
      team: request.team,
      class: request.class,
      weight: request.weight,
      priority: request.priority,
      firstTokenInMs: request.firstTokenBy - now,
      deadlineInMs: request.deadlineAt - now,
      promptTokens: request.promptTokens,
      expectedOutputTokens: request.expectedOutputTokens,
      maxOutputTokens: request.maxOutputTokens,
      betweenTokensMs: request.betweenTokensMs,
      prefixes: [...request.prefixes],
      ...(request.model === undefined ? {} : { model: request.model }),
      ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
      repeatable: request.repeatable,
      avoid: [...request.avoid],
    };
  }

  function askRemote(
    query: PermitQuery,
    holder: string | undefined,
  ): Promise<Result<Answer, Failure>> {
    if (holder === undefined) return Promise.resolve(Err(refuseWithoutHolder(query.shard, node)));
    return links.query(holder, query, Math.max(0, query.firstTokenInMs) + ANSWER_SLACK_MS);
  }

  function withdrawQuery(
    query: PermitQuery,
    local: ShardHolder | undefined,
    holder: string | undefined,
  ): void {
    const { shard, requestId, attempt } = query;
    if (local !== undefined) local.cancel(node, requestId, attempt);
    else if (holder !== undefined) {
      links.notify(holder, { kind: 'permit.cancel', shard, requestId, attempt });
    }
  }

  function readAnswer(
    request: PlacementRequest,
    answer: Answer,
    holder: string,
  ): Result<Place, Failure> {
    return match(answer)
      .with({ kind: 'permit.granted' }, ({ permit }): Result<Place, Failure> => {
        inUse.add({ ...resolvePlaceInUse(permit, request), weight: request.weight });
        metrics.permitWait.observe({ class: request.class }, permit.waitedMs / 1_000);
        return Ok(permit);
      })
      .with({ kind: 'permit.refused' }, ({ failure }) => Err(failure))
      .otherwise(() => Err(refuseWithoutHolder('', holder)));
  }

  async function placeWithoutHolder(
    request: PlacementRequest,
    option: Option,
    signal: AbortSignal,
  ): Promise<Result<Place, Failure>> {
    const peer = parts.remoteHolder(option.shard)?.node ?? option.shard;
    log.write('holderUnreachable', { shard: option.shard, peer, requestId: request.requestId });
    if (!request.repeatable) return Err(refuseWithoutHolder(option.shard, peer));
    metrics.retries.inc({ reason: 'holder-unreachable' });
    return parts.fallback.place(request, signal);
  }

  function progress(place: Place, timing: PlaceProgress): void {
    const { shard, permitId, server } = place;
    const notice: PermitProgress = { kind: 'permit.progress', shard, permitId, server, ...timing };
    const local = parts.localHolder(shard);
    if (local !== undefined) {
      local.progress(notice);
      return;
    }
    const holder = parts.remoteHolder(shard)?.node;
    if (holder !== undefined) links.notify(holder, notice);
  }

  function release(request: PlacementRequest, place: Place, end: PlaceEnd): void {
    inUse.remove(place.permitId);
    const notice: PermitRelease = {
      kind: 'permit.release',
      shard: place.shard,
      permitId: place.permitId,
      requestId: request.requestId,
      server: place.server,
      team: request.team,
      class: request.class,
      ...end,
    };
    const local = parts.localHolder(place.shard);
    if (local !== undefined) {
      local.release(notice);
      return;
    }
    const holder = parts.remoteHolder(place.shard)?.node;
    if (holder !== undefined) links.notify(holder, notice);
  }

  return { place, progress, release };
}

function refuseWithoutShard(node: string): Failure {
  return createRefusal({
    code: 'no-backend-server',
    message: 'no backend server is listed for the groups that the request may use',
    step: 'permit.ask',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function refuseWithoutHolder(shard: string, peer: string): Failure {
  return createRefusal({
    code: 'peer-unreachable',
    message: `the holder of shard "${shard}" cannot be reached; a successor takes over in seconds`,
    step: 'permit.ask',
    peer,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
