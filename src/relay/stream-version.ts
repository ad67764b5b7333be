/**
 * The software version at which the stream of one request has to go on. A new stream may begin at any; from its first
 * event on, it goes on at the version of the server that made it, also when a caller continues it with another attempt.
 */
import type { RegisteredServer } from '../fleet/index.js';
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
  /** The first event of this answer is about to reach the caller. */
  begun(server: RegisteredServer): void;
}

/** Dependencies of a request's version. */
export interface StreamVersionParts {
  log: Log;
  origins: Pick<StreamOrigins, 'record'>;
  head: CallerHead;
  route: Route;
  service: string;
  /** Where the stream began, if this request continues it. */
  origin: StreamOrigin | undefined;
}

/** Whether a request continues a stream that an earlier attempt has begun. */
export function isContinuation(route: Route, { resumes, lastEventId }: CallerHead): boolean {
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

/**
 * Creates the version of one request.
 *
 * @param parts the request and where its stream began
 */
export function createStreamVersion(parts: StreamVersionParts): StreamVersion {
  const { log, origins, head, route, service, origin } = parts;
  let required: RequiredVersion | undefined = origin;

  function record(attempt: string | undefined, version: string | undefined): void {
    if (attempt === undefined || version === undefined) return;
    origins.record(attempt, { service, version }, resolveKeepMs(route.timeoutMs));
  }

  return {
    required: () => required,
    allows({ version }) {
      if (required === undefined) return true;
      return required.version !== undefined && required.version === version;
    },
    begun({ id, version }) {
      if (!isContinuable(route)) return;
      required ??= { version };
      // gateways may have been lost since the stream began, so a continued one is recorded anew
      record(origin === undefined ? head.requestId : head.resumes, required.version);
      log.write('streamBegun', { request: head.requestId, server: id, version });
    },
  };
}
