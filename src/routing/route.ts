/**
 * What a gateway routes by: routes of hosts and path prefixes to services, whole and with a version.
 * The table is given from outside, as one value; nothing here changes it.
 */

/** How often a request of a route may run. */
export type Repetition = 'any' | 'once';

/** One service that a route sends to, with its share of the requests. */
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
  /** `any`: may run again after a failure. `once`: at most once for each request. */
  repetition: Repetition;
  /** The answer is a series of numbered events. */
  isStream: boolean;
  /** A broken stream may be continued after its last event by another backend server. */
  isResumable: boolean;
  /** Longest time until the last byte of the answer, in milliseconds. */
  timeoutMs: number;
  /** Time until the answer, or the first event of a stream, within which it is on time, in ms. */
  latencyObjectiveMs: number;
  /** Longest pause between two events of a stream within which it is on time, in milliseconds. */
  maxEventGapMs: number;
  /** Rank among routes; 0 is served first. */
  rank: number;
  targets: readonly Target[];
  /** Most backend servers that one request may be sent to. */
  maxAttempts: number;
  /** Requests carry the parts of a prompt and are served by model engines. */
  hasPrompt: boolean;
}

/** What is known of the model engines of a service. */
export interface EngineProperties {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Tokens that the KV cache of one engine holds. */
  cacheTokens: number;
  /** How long an engine keeps a prompt that was read for another engine, in milliseconds. */
  handoverTtlMs: number;
  /** How long an engine is away while its role changes, in milliseconds. */
  roleChangeMs: number;
}

/** One service of backend servers. */
export interface Service {
  name: string;
  /** Most connections that one backend server takes from all gateways together. */
  maxConnections: number;
  /** Present where the backend servers are model engines. */
  engine: EngineProperties | undefined;
}

/** Limits on what a caller may send and how long it may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  /** Longest time for the head of a request, in milliseconds. */
  headerTimeoutMs: number;
  /** Longest time that a connection may be idle, in milliseconds. */
  idleTimeoutMs: number;
}

/** One version of the whole configuration of routes. */
export interface RoutingTable {
  /** Grows with every change; steps may be larger than one. */
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  limits: CallerLimits;
}
