/**
 * The software version at which the stream of one request has to go on. A new stream may begin at any; from its first
 * event on, it goes on at the version of the server that made it, also when a caller continues it with another attempt.
 */
import type { Fleet, RegisteredServer } from '../fleet/index.js';
import type { Log } from '../events/index.js';
import type { Route } from '../routing/index.js';
import {
  resolveKeepMs,
  type OriginLookup,
  type StreamOrigin,
  type StreamOrigins,
} from '../streams/index.js';
import { isContinuable } from './next-step.js';
import type { CallerHead } from './protocol.js';

/** Retry-After for a stream that can hardly be continued, in ms: a server of its version may start again. */
const LOST_STREAM_RETRY_MS = 1_000;
/** Retry-After for a stream to be continued while no peer answers, in ms. */
const NO_ANSWER_RETRY_MS = 300;

/** Why a stream is not continued. */
export interface ContinuationRefusal {
  reason: 'stream-origin-unknown' | 'stream-service-changed' | 'stream-version-gone';
  retryAfterMs: number;
}

/** A version that servers have to have; `undefined` if that of the first event is unknown, so that none has it. */
export interface RequiredVersion {
  version: string | undefined;
}

/** The version of one request's stream. */
export interface StreamVersion {
  /** `undefined` while any version will do. */
  required: () => RequiredVersion | undefined;
  /** Whether a server may be given the request. */
  allows: (server: RegisteredServer) => boolean;
  /** The servers that may be given the request; all of them while any version will do. */
  listAllowed: (servers: readonly RegisteredServer[]) => readonly RegisteredServer[];
  /**
   * Why the stream cannot be continued, if that is known before any server is asked.
   *
   * @param servers the servers that take requests now
   */
  findRefusal(servers: readonly RegisteredServer[]): ContinuationRefusal | undefined;
  /** The request is sent to a server. */
  sentTo(server: RegisteredServer): SentStream;
}

/**
 * A stream as one send brings it. All its events come over one connection, so from one process; but a server that starts
 * again under its name takes requests for the one before until its entry is known.
 */
export interface SentStream {
  /** Whether the next event may be forwarded. */
  mayForwardEvent(): boolean;
  /** The first event of the caller's answer is about to reach the caller. */
  begun(): void;
  /** The send has ended; another may follow. */
  ended(): void;
}

/** Dependencies of a request's version. */
export interface StreamVersionParts {
  log: Log;
  origins: Pick<StreamOrigins, 'record'>;
  fleet: Pick<Fleet, 'successorOf' | 'registered' | 'revision' | 'ageMs'>;
  head: CallerHead;
  route: Route;
  service: string;
  /** Where the stream began, if this request continues one. */
  lookup: OriginLookup | undefined;
}

/** Whether a request continues a stream that an earlier attempt has begun. */
function isContinuation(route: Route, { resumes, lastEventId }: CallerHead): boolean {
  return isContinuable(route) && (resumes !== undefined || lastEventId !== undefined);
}

/**
 * Looks up where the stream began that a request continues; `undefined` for other requests.
 *
 * @param origins where streams began
 */
export async function findOrigin(
  origins: Pick<StreamOrigins, 'find'>,
  route: Route,
  head: CallerHead,
): Promise<OriginLookup | undefined> {
  if (!isContinuation(route, head)) return undefined;
  const services = route.targets.map(({ service }) => service);
  return origins.find({ requestId: head.requestId, attempt: head.resumes, services });
}

/** Where a stream began, as far as a lookup knows it. */
export function resolveOrigin(lookup: OriginLookup | undefined): StreamOrigin | undefined {
  return lookup?.kind === 'known' ? lookup.origin : undefined;
}

/**
 * Creates the version of one request.
 *
 * @param parts the request and where its stream began
 */
export function createStreamVersion(parts: StreamVersionParts): StreamVersion {
  const { log, origins, fleet, head, route, service, lookup } = parts;
  const origin = resolveOrigin(lookup);
  /** The attempt that began the stream. */
  const firstAttempt = origin === undefined ? head.requestId : head.resumes;
  let required: RequiredVersion | undefined = origin;

  function record(version: string | undefined): void {
    if (firstAttempt === undefined || version === undefined) return;
    origins.record(firstAttempt, { service, version }, resolveKeepMs(route.timeoutMs));
  }

  /** The stream began at one of two incarnations with different versions: it goes on where it is, and nowhere else. */
  function setUnknown(server: RegisteredServer, successor: RegisteredServer): void {
    if (required?.version === undefined || successor.version === required.version) return;
    required = { version: undefined };
    // two records that contradict each other say at every gateway that it is not known
    record(successor.version);
    log.write('streamVersionUnknown', {
      request: head.requestId,
      server: server.id,
      version: server.version,
      successor: successor.id,
      successorVersion: successor.version,
    });
  }

  function allows({ version }: RegisteredServer): boolean {
    if (required === undefined) return true;
    return required.version !== undefined && required.version === version;
  }

  /** Logs which versions were known when a stream was refused, and how old that knowledge was. */
  function refuse(reason: ContinuationRefusal['reason'], retryAfterMs: number) {
    const available = new Set<string | undefined>();
    const leaving = new Set<string | undefined>();
    for (const { version, isLeaving } of fleet.registered(service))
      (isLeaving ? leaving : available).add(version);
    log.write('streamNotContinued', {
      request: head.requestId,
      resumes: head.resumes,
      reason,
      version: origin?.version,
      available: [...available],
      leaving: [...leaving],
      revision: fleet.revision(),
      ageMs: Math.round(fleet.ageMs()),
    });
    return { reason, retryAfterMs };
  }

  return {
    required: () => required,
    allows,
    listAllowed: (servers) => (required === undefined ? servers : servers.filter(allows)),
    findRefusal(servers) {
      if (lookup === undefined) return undefined;
      if (lookup.kind === 'unknown') {
        const isFinal = lookup.reason === 'not-recorded';
        const retryAfterMs = isFinal ? LOST_STREAM_RETRY_MS : NO_ANSWER_RETRY_MS;
        return refuse('stream-origin-unknown', retryAfterMs);
      }
      if (!route.targets.some((target) => target.service === service))
        return refuse('stream-service-changed', LOST_STREAM_RETRY_MS);
      if (!servers.some(allows)) return refuse('stream-version-gone', LOST_STREAM_RETRY_MS);
      return undefined;
    },
    sentTo(server) {
      let isFirst = false;

      function checkSuccessor(): void {
        const successor = fleet.successorOf(server);
        if (successor !== undefined) setUnknown(server, successor);
      }

      return {
        mayForwardEvent() {
          if (required === undefined) return true;
          if (!isFirst) return fleet.successorOf(server) === undefined;
          checkSuccessor();
          return true;
        },
        begun() {
          if (!isContinuable(route)) return;
          isFirst = required === undefined;
          required ??= { version: server.version };
          // gateways may have been lost since the stream began, so a continued one is recorded anew
          record(required.version);
          if (isFirst) checkSuccessor();
          const { id, version } = server;
          log.write('streamBegun', { request: head.requestId, server: id, version });
        },
        ended() {
          if (isFirst) checkSuccessor();
        },
      };
    },
  };
}
