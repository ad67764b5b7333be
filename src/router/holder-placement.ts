/**
 * Placement by permits: the holder of the shard decides, by its exact tally.
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
import type { PlacesInUse } from './in-use.js';
import type { Place, PlaceEnd, Placement, PlaceProgress, PlacementRequest } from './placement.js';

/** A holder that has not answered this long after the first token was due will not. */
const ANSWER_SLACK_MS = 500;
const RETRY_AFTER_MS = 1_000;

/** What placement by permits needs. */
export interface HolderPlacementParts {
  node: string;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  links: Pick<Links, 'query' | 'notify'>;
  inUse: PlacesInUse;
  configurationVersion(): number;
  /** Shards with servers of a group. */
  shardsOf(group: EngineGroup): Shard[];
  /** The holder of a shard that is held here. */
  localHolder(shard: string): ShardHolder | undefined;
  /** Another node that holds a shard, as last heard. */
  remoteHolder(shard: string): KnownHolder | undefined;
  /** Where repeatable requests are placed while a holder cannot be reached. */
  fallback: Placement;
}

/** One shard that could take a request. */
interface Option {
  shard: string;
  group: string;
  free: number;
  waiting: number;
}

/**
 * Creates placement by permits.
 *
 * @param parts how to find and reach holders
 */
export function createHolderPlacement(parts: HolderPlacementParts): Placement {
  const { node, clock, log, metrics, links, inUse } = parts;

  async function place(
    wish: PlacementRequest,
    signal: AbortSignal,
  ): Promise<Result<Place, Failure>> {
    let last: Failure | undefined;
    for (const option of listOptions(wish)) {
      if (signal.aborted) break;
      const asked = await askHolder(wish, option, signal);
      if (asked.isOk()) return asked;
      last = asked.error;
      if (last.code === 'peer-unreachable' || last.code === 'lease-lost') {
        const placed = await placeWithoutHolder(wish, option, signal);
        if (placed.isOk()) return placed;
        last = placed.error;
      }
      if (last.code !== 'no-backend-server') break;
    }
    return Err(last ?? refuseWithoutShard(node));
  }

  /** Shards with free places first, then the shorter queue. */
  function listOptions(wish: PlacementRequest): Option[] {
    const options: Option[] = [];
    for (const group of wish.groups) {
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
    wish: PlacementRequest,
    option: Option,
    signal: AbortSignal,
  ): Promise<Result<Place, Failure>> {
    const query = createQuery(wish, option);
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
    return readAnswer(wish, answer.value, holder ?? '');
  }

  function createQuery(wish: PlacementRequest, option: Option): PermitQuery {
    const now = clock.now();
    return {
      kind: 'permit.request',
      shard: option.shard,
      requestId: wish.requestId,
      attempt: wish.attempt,
      configurationVersion: parts.configurationVersion(),
      group: option.group,
      team: wish.team,
      class: wish.class,
      weight: wish.weight,
      priority: wish.priority,
      firstTokenInMs: wish.firstTokenBy - now,
      deadlineInMs: wish.deadlineAt - now,
      promptTokens: wish.promptTokens,
      expectedOutputTokens: wish.expectedOutputTokens,
      maxOutputTokens: wish.maxOutputTokens,
      betweenTokensMs: wish.betweenTokensMs,
      prefixes: [...wish.prefixes],
      ...(wish.model === undefined ? {} : { model: wish.model }),
      ...(wish.adapter === undefined ? {} : { adapter: wish.adapter }),
      repeatable: wish.repeatable,
      avoid: [...wish.avoid],
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
    wish: PlacementRequest,
    answer: Answer,
    holder: string,
  ): Result<Place, Failure> {
    return match(answer)
      .with({ kind: 'permit.granted' }, ({ permit }): Result<Place, Failure> => {
        inUse.add({
          permitId: permit.permitId,
          requestId: wish.requestId,
          shard: permit.shard,
          server: permit.server,
          team: wish.team,
          class: wish.class,
          promptTokens: wish.promptTokens,
          expectedOutputTokens: wish.expectedOutputTokens,
          weight: wish.weight,
        });
        metrics.permitWait.observe({ class: wish.class }, permit.waitedMs / 1_000);
        return Ok(permit);
      })
      .with({ kind: 'permit.refused' }, ({ failure }) => Err(failure))
      .otherwise(() => Err(refuseWithoutHolder('', holder)));
  }

  async function placeWithoutHolder(
    wish: PlacementRequest,
    option: Option,
    signal: AbortSignal,
  ): Promise<Result<Place, Failure>> {
    const peer = parts.remoteHolder(option.shard)?.node ?? option.shard;
    log.write('holderUnreachable', { shard: option.shard, peer, requestId: wish.requestId });
    if (!wish.repeatable) return Err(refuseWithoutHolder(option.shard, peer));
    metrics.retries.inc({ reason: 'holder-unreachable' });
    return parts.fallback.place(wish, signal);
  }

  function progress(used: Place, made: PlaceProgress): void {
    const { shard, permitId, server } = used;
    const notice: PermitProgress = { kind: 'permit.progress', shard, permitId, server, ...made };
    const local = parts.localHolder(shard);
    if (local !== undefined) {
      local.progress(notice);
      return;
    }
    const holder = parts.remoteHolder(shard)?.node;
    if (holder !== undefined) links.notify(holder, notice);
  }

  function release(wish: PlacementRequest, used: Place, end: PlaceEnd): void {
    inUse.remove(used.permitId);
    const notice: PermitRelease = {
      kind: 'permit.release',
      shard: used.shard,
      permitId: used.permitId,
      requestId: wish.requestId,
      server: used.server,
      team: wish.team,
      class: wish.class,
      ...end,
    };
    const local = parts.localHolder(used.shard);
    if (local !== undefined) {
      local.release(notice);
      return;
    }
    const holder = parts.remoteHolder(used.shard)?.node;
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
