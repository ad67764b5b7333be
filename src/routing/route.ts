/**
 * The routing table: routes from hosts and path prefixes to services, as one immutable, versioned value.
 */

/** How often a request of a route may run; see {@link Route.repetition}. */
export type Repetition = 'any' | 'once';

/** A service that a route sends to, with its weight. */
export interface Target {
  service: string;
  /** Share relative to the other targets of the route; positive. */
  weight: number;
}

/** One route. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  /** `any`: idempotent, may be retried. `once`: not retried once a server may have begun to run it. */
  repetition: Repetition;
  /** The response is a stream of numbered events. */
  isStream: boolean;
  /** Another backend server may continue a broken stream after its last event. */
  isResumable: boolean;
  /** Time limit for the whole response, in milliseconds. */
  timeoutMs: number;
  /** Latency objective of the response, or of the first event of a stream, in milliseconds. */
  latencyObjectiveMs: number;
  /** Latency objective between two events of a stream, in milliseconds. */
  maxEventGapMs: number;
  /** Priority; 0 is served first. */
  rank: number;
  targets: readonly Target[];
  /** Most backend servers that one request may be sent to. */
  maxAttempts: number;
  /** Requests carry prompts and are served by model engines. */
  hasPrompt: boolean;
}

/** Properties of the model engines of a service. */
export interface EngineProperties {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Tokens that the KV cache of one engine holds. */
  cacheTokens: number;
  /** How long an engine keeps a prefilled prompt for another engine, in milliseconds. */
  handoverTtlMs: number;
  /** How long an engine is unavailable during a role change, in milliseconds. */
  roleChangeMs: number;
}

/** One service of backend servers. */
export interface Service {
  name: string;
  /** Most connections that one backend server takes from all gateways together. */
  maxConnections: number;
  /** Present if the backend servers are model engines. */
  engine: EngineProperties | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  /** Time limit for receiving the head of a request, in milliseconds. */
  headerTimeoutMs: number;
  /** Longest time that a connection may be idle, in milliseconds. */
  idleTimeoutMs: number;
}

/** One version of all routes and services. */
export interface RoutingTable {
  /** Increases with every change, possibly by more than one. */
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  limits: CallerLimits;
}
