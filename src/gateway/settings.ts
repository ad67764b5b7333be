/**
 * What a gateway process is told at its start, decoded from wherever it was written.
 */

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Bounds that the operators set on the fleet's behaviour. */
export interface FleetBounds {
  /** Time from the request to stop until the process is killed, in milliseconds. */
  graceMs: number;
  /** Time within which an accepted change must be in force, in milliseconds, where operators set one. */
  changeMs: number | undefined;
  /** Time for which a holder of orders is alone, in milliseconds. */
  leaseMs: number;
  /** Sends beyond the first for each request. */
  retryRatio: number;
  /** Further sends in a window, for all gateways together. */
  retryAllowance: number;
  retryWindowMs: number;
  /** Longest time for which callers may keep an answer of the directory, in milliseconds. */
  directoryTtlMs: number;
}

/** The settings of a gateway process. */
export interface GatewaySettings {
  /** Hash of the file that the settings were read from: tells which file a gateway runs with. */
  fingerprint: string;
  node: string;
  zone: string;
  /** Cores that the process may use. */
  cores: number;
  callers: ListenAddress;
  readiness: ListenAddress;
  directory: ListenAddress | undefined;
  peers: ListenAddress;
  metrics: ListenAddress;
  /** Addresses of some peers; they may be out of date. */
  seeds: readonly string[];
  /** `host:port` of the store. */
  store: string;
  bounds: FleetBounds;
}
