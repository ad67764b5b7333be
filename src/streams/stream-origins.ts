/**
 * Where streams began. Servers of different software versions write events that do not fit together, so a stream may
 * only be continued at the version that began it; a caller may continue it at any gateway. The gateway whose answer
 * begins a stream therefore records the version and sends the record to replicas before the first event, without
 * waiting for them. A gateway that is to continue a stream looks the record up, at last on the platform. Without a
 * record, the version is known only if no other can have begun the stream.
 */
import { randomUUID } from 'node:crypto';
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { setPeerTimeout, type Clock } from '../task/index.js';
import type { OriginMessage, StreamOrigin } from './messages.js';
import type { OriginRecords } from './origin-records.js';
import type { Replicas } from './replicas.js';
import type { StoredOrigins } from './stored-origins.js';
import { resolveOnlyVersion, type KnownVersions, type VersionHistory } from './version-history.js';

/** Timeout of a query, in ms: many times the way there and back, well below what callers wait. */
const QUERY_TIMEOUT_MS = 250;
/** Timeout of a read of the platform, in ms: a peer that asked still hears the answer. */
const LOAD_TIMEOUT_MS = 150;

/** A stream that a caller wants to be continued. */
export interface ContinuedStream {
  /** The caller's id for this attempt, for logs. */
  requestId: string | undefined;
  /** The attempt that began the stream, if the caller names it. */
  attempt: string | undefined;
  /** Services that its route may use. */
  services: readonly string[];
}

/** Where a stream began, and how that is known. */
export type OriginLookup =
  | { kind: 'known'; origin: StreamOrigin; source: 'own' | 'peer' | 'stored' | 'only-version' }
  /** `no-answer`: no peer or not the platform answered, asking again may help; `not-recorded`: it will not. */
  | { kind: 'unknown'; reason: 'no-answer' | 'not-recorded' };

/** Dependencies of the origins. */
export interface StreamOriginsParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'streamsContinued'>;
  replicas: Replicas;
  records: OriginRecords;
  stored: Pick<StoredOrigins, 'recorded' | 'load'>;
  history: Pick<VersionHistory, 'versions'>;
  /** Whether this gateway's own view of the servers is up to date though there is no peer to confirm it. */
  isCurrentAlone(): boolean;
  /** Sends to a peer; false if that is impossible. */
  send(node: string, message: OriginMessage): boolean;
}

/** Where streams began. */
export interface StreamOrigins {
  /**
   * Records where a stream began or is continued.
   *
   * @param attempt the attempt that began it
   * @param keepMs how long it may be continued, in milliseconds
   */
  record(attempt: string, origin: StreamOrigin, keepMs: number): void;
  find(stream: ContinuedStream): Promise<OriginLookup>;
  received(node: string, message: OriginMessage): void;
}

/** What a peer without a record knows. */
interface PeerView extends KnownVersions {
  isStoredRead: boolean;
}

interface Query {
  /** Peers that have not answered yet. */
  awaited: Set<string>;
  views: PeerView[];
  resolve(answer: QueryAnswer): void;
}

/** What peers know of a stream: where it began, or what those that answered know otherwise. */
interface QueryAnswer {
  origin: StreamOrigin | undefined;
  views: readonly PeerView[];
}

const noVersions: KnownVersions = { versions: [], isComplete: false };

/**
 * Creates the origins of a gateway.
 *
 * @param parts the peers and the versions of the servers
 */
export function createStreamOrigins(parts: StreamOriginsParts): StreamOrigins {
  const { clock, log, replicas, history, records, stored } = parts;
  const queries = new Map<string, Query>();
  /** Of the queries of this process: a late response to one that ran before under the same name is not taken. */
  const idPrefix = randomUUID();
  let counter = 0;

  function versionsOf(service: string | undefined): KnownVersions {
    return service === undefined ? noVersions : history.versions(service);
  }

  function serviceOf({ services }: ContinuedStream): string | undefined {
    return services.length === 1 ? services[0] : undefined;
  }

  /** Whether the version of a stream does not follow from the versions that its service has had. */
  function needsRecord(service: string | undefined): boolean {
    return resolveOnlyVersion([versionsOf(service)]) === undefined;
  }

  function askPeers(stream: ContinuedStream): Promise<QueryAnswer> {
    const { attempt } = stream;
    const service = serviceOf(stream);
    counter += 1;
    const id = `${idPrefix}/${counter}`;
    const awaited = new Set<string>();
    for (const peer of replicas.toQuery(attempt ?? '')) {
      if (parts.send(peer, { kind: 'origin.query', id, attempt, service })) awaited.add(peer);
    }
    if (awaited.size === 0) return Promise.resolve({ origin: undefined, views: [] });
    return new Promise((resolve) => {
      const timer = setPeerTimeout(clock, QUERY_TIMEOUT_MS, () => {
        end(id, undefined);
      });
      queries.set(id, {
        awaited,
        views: [],
        resolve(answer) {
          timer.cancel();
          resolve(answer);
        },
      });
    });
  }

  function end(id: string, origin: StreamOrigin | undefined): void {
    const query = queries.get(id);
    if (query === undefined) return;
    queries.delete(id);
    query.resolve({ origin, views: query.views });
  }

  /** Infers where a stream without a record began from the versions that can have begun it. A gateway that nobody
   * answers may have missed the start of another version. */
  function infer(
    stream: ContinuedStream,
    views: readonly KnownVersions[],
    isStoredRead: boolean,
  ): OriginLookup {
    const service = serviceOf(stream);
    if (views.length === 0 && !parts.isCurrentAlone())
      return { kind: 'unknown', reason: 'no-answer' };
    const version = resolveOnlyVersion([versionsOf(service), ...views]);
    if (service !== undefined && version !== undefined)
      return { kind: 'known', origin: { service, version }, source: 'only-version' };
    return { kind: 'unknown', reason: isStoredRead ? 'not-recorded' : 'no-answer' };
  }

  function responseReceived(node: string, response: OriginMessage & { kind: 'origin.response' }) {
    const { id, origin, versions, isComplete, isStoredRead = false } = response;
    const query = queries.get(id);
    if (query?.awaited.delete(node) !== true) return;
    query.views.push({ versions, isComplete, isStoredRead });
    if (origin !== undefined || query.awaited.size === 0) end(id, origin);
  }

  /** Reads what the platform stores of an attempt's bucket; false if that fails or takes long. */
  function load(attempt: string): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const timer = setPeerTimeout(clock, LOAD_TIMEOUT_MS, () => {
        resolve(false);
      });
      stored
        .load(attempt)
        .finally(() => {
          timer.cancel();
        })
        .then(resolve, reject);
    });
  }

  function findOwn(attempt: string | undefined): StreamOrigin | undefined {
    return attempt === undefined ? undefined : records.find(attempt, clock.now());
  }

  async function lookUp(stream: ContinuedStream, startedAt: number): Promise<OriginLookup> {
    const { attempt } = stream;
    const own = findOwn(attempt);
    if (own !== undefined) return { kind: 'known', origin: own, source: 'own' };
    if (attempt !== undefined && records.isContradicted(attempt, startedAt))
      return { kind: 'unknown', reason: 'not-recorded' };
    const { origin, views } = await askPeers(stream);
    if (origin !== undefined) return { kind: 'known', origin, source: 'peer' };
    if (attempt === undefined || !needsRecord(serviceOf(stream))) return infer(stream, views, true);
    if (views.some((view) => view.isStoredRead)) return infer(stream, views, true);
    const isRead = await load(attempt);
    const found = findOwn(attempt);
    if (found !== undefined) return { kind: 'known', origin: found, source: 'stored' };
    return infer(stream, views, isRead);
  }

  async function answer(node: string, query: OriginMessage & { kind: 'origin.query' }) {
    const { id, attempt, service } = query;
    let origin = findOwn(attempt);
    let isStoredRead = false;
    if (attempt !== undefined && origin === undefined && needsRecord(service)) {
      isStoredRead = await load(attempt);
      origin = findOwn(attempt);
    }
    const { versions, isComplete } = versionsOf(service);
    parts.send(node, {
      kind: 'origin.response',
      id,
      origin,
      versions,
      isComplete,
      isStoredRead,
    });
  }

  function add(attempt: string, origin: StreamOrigin, keepMs: number): void {
    records.add(attempt, origin, keepMs, clock.now());
    stored.recorded(attempt, origin, keepMs);
  }

  return {
    record(attempt, origin, keepMs) {
      add(attempt, origin, keepMs);
      for (const peer of replicas.toRecord(attempt)) {
        parts.send(peer, { kind: 'origin.record', attempt, origin, keepMs });
      }
    },
    async find(stream) {
      const startedAt = clock.now();
      const lookup = await lookUp(stream, startedAt);
      const how = lookup.kind === 'known' ? lookup.source : lookup.reason;
      parts.metrics.streamsContinued.inc({ origin: how });
      log.write('streamOriginResolved', {
        request: stream.requestId,
        resumes: stream.attempt,
        how,
        ...(lookup.kind === 'known' ? lookup.origin : versionsOf(serviceOf(stream))),
        ms: Math.round(clock.now() - startedAt),
      });
      return lookup;
    },
    received(node, message) {
      if (message.kind === 'origin.record') {
        add(message.attempt, message.origin, message.keepMs);
        return;
      }
      if (message.kind === 'origin.response') {
        responseReceived(node, message);
        return;
      }
      void answer(node, message);
    },
  };
}
