/**
 * Where streams began. Servers of different software versions write events that do not fit together, so a stream may
 * only be continued at the version that began it; a caller may continue it at any gateway. The gateway whose answer
 * begins a stream therefore records the version and sends the record to replicas before the first event, without
 * waiting for them. A gateway that is to continue a stream looks the record up. Without a record, the version is known
 * only if no other can have begun the stream.
 */
import { randomUUID } from 'node:crypto';
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { setPeerTimeout, type Clock } from '../task/index.js';
import type { OriginMessage, StreamOrigin } from './messages.js';
import { createOriginRecords } from './origin-records.js';
import type { Replicas } from './replicas.js';
import { resolveOnlyVersion, type KnownVersions, type VersionHistory } from './version-history.js';

/** Timeout of a query, in ms: many times the way there and back, well below what callers wait. */
const QUERY_TIMEOUT_MS = 250;

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
  | { kind: 'known'; origin: StreamOrigin; source: 'own' | 'peer' | 'only-version' }
  /** `no-answer`: no peer answered, asking again may help; `not-recorded`: it will not. */
  | { kind: 'unknown'; reason: 'no-answer' | 'not-recorded' };

/** Dependencies of the origins. */
export interface StreamOriginsParts {
  clock: Clock;
  log: Log;
  metrics: Pick<GatewayMetrics, 'streamsContinued'>;
  replicas: Replicas;
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

interface Query {
  stream: ContinuedStream;
  /** Peers that have not answered yet. */
  awaited: Set<string>;
  /** What peers without a record know. */
  views: KnownVersions[];
  resolve(lookup: OriginLookup): void;
}

const noVersions: KnownVersions = { versions: [], isComplete: false };

/**
 * Creates the origins of a gateway.
 *
 * @param parts the peers and the versions of the servers
 */
export function createStreamOrigins(parts: StreamOriginsParts): StreamOrigins {
  const { clock, log, replicas, history } = parts;
  const records = createOriginRecords();
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

  function ask(stream: ContinuedStream): Promise<OriginLookup> {
    const { attempt } = stream;
    const service = serviceOf(stream);
    counter += 1;
    const id = `${idPrefix}/${counter}`;
    const awaited = new Set<string>();
    for (const peer of replicas.toQuery(attempt ?? '')) {
      if (parts.send(peer, { kind: 'origin.query', id, attempt, service })) awaited.add(peer);
    }
    if (awaited.size === 0) return Promise.resolve(infer(stream, []));
    return new Promise((resolve) => {
      const timer = setPeerTimeout(clock, QUERY_TIMEOUT_MS, () => {
        end(id);
      });
      queries.set(id, {
        stream,
        awaited,
        views: [],
        resolve(lookup) {
          timer.cancel();
          resolve(lookup);
        },
      });
    });
  }

  /** Ends a query that found no record. */
  function end(id: string): void {
    const query = queries.get(id);
    if (query === undefined) return;
    queries.delete(id);
    query.resolve(infer(query.stream, query.views));
  }

  /** Infers where a stream began from the versions that can have begun it. A gateway that nobody answers may have
   * missed the start of another version. */
  function infer(stream: ContinuedStream, views: readonly KnownVersions[]): OriginLookup {
    const service = serviceOf(stream);
    if (views.length === 0 && !parts.isCurrentAlone())
      return { kind: 'unknown', reason: 'no-answer' };
    const version = resolveOnlyVersion([versionsOf(service), ...views]);
    if (service === undefined || version === undefined)
      return { kind: 'unknown', reason: 'not-recorded' };
    return { kind: 'known', origin: { service, version }, source: 'only-version' };
  }

  function responseReceived(node: string, response: OriginMessage & { kind: 'origin.response' }) {
    const { id, origin, versions, isComplete } = response;
    const query = queries.get(id);
    if (query?.awaited.delete(node) !== true) return;
    if (origin !== undefined) {
      queries.delete(id);
      query.resolve({ kind: 'known', origin, source: 'peer' });
      return;
    }
    query.views.push({ versions, isComplete });
    if (query.awaited.size === 0) end(id);
  }

  async function lookUp(stream: ContinuedStream): Promise<OriginLookup> {
    const { attempt } = stream;
    const own = attempt === undefined ? undefined : records.find(attempt, clock.now());
    return own === undefined ? ask(stream) : { kind: 'known', origin: own, source: 'own' };
  }

  return {
    record(attempt, origin, keepMs) {
      records.add(attempt, origin, keepMs, clock.now());
      for (const peer of replicas.toRecord(attempt)) {
        parts.send(peer, { kind: 'origin.record', attempt, origin, keepMs });
      }
    },
    async find(stream) {
      const startedAt = clock.now();
      const lookup = await lookUp(stream);
      const how = lookup.kind === 'known' ? lookup.source : lookup.reason;
      parts.metrics.streamsContinued.inc({ origin: how });
      log.write('streamOriginResolved', {
        request: stream.requestId,
        resumes: stream.attempt,
        how,
        ...(lookup.kind === 'known' ? lookup.origin : {}),
        ms: Math.round(clock.now() - startedAt),
      });
      return lookup;
    },
    received(node, message) {
      if (message.kind === 'origin.record') {
        records.add(message.attempt, message.origin, message.keepMs, clock.now());
        return;
      }
      if (message.kind === 'origin.response') {
        responseReceived(node, message);
        return;
      }
      const { id, attempt, service } = message;
      const origin = attempt === undefined ? undefined : records.find(attempt, clock.now());
      const { versions, isComplete } = versionsOf(service);
      parts.send(node, {
        kind: 'origin.response',
        id,
        origin,
        versions,
        isComplete,
      });
    },
  };
}
