/**
 * Settings of a gateway process, independent of the format that they are read from.
 */

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Renders an address as `host:port`. */
export function formatAddress({ host, port }: ListenAddress): string {
  return `${host}:${port}`;
}

/** Bounds set by operators. */
export interface FleetBounds {
  /** Time from the stop signal until the process is killed, in milliseconds. */
  graceMs: number;
  /** Time within which a change must be in force, in milliseconds; `undefined` if not set. */
  changeMs: number | undefined;
  /** Duration of the lease on sending orders, in milliseconds. */
  leaseMs: number;
  /** Retries allowed, as a share of requests. */
  retryRatio: number;
  /** Additional retries per window, for all gateways together. */
  retryAllowance: number;
  retryWindowMs: number;
  /** Longest time for which callers may cache a directory response, in milliseconds. */
  directoryTtlMs: number;
}

/** The settings of a gateway process. */
export interface GatewaySettings {
  /** Hash of the file that the settings were read from. */
  fingerprint: string;
  node: string;
  zone: string;
  /** CPU cores that the process may use. */
  cores: number;
  /** Limit of the process's resident memory, in MB; `undefined` if it is not set. */
  memoryMb?: number | undefined;
  callers: ListenAddress;
  readiness: ListenAddress;
  directory: ListenAddress | undefined;
  peers: ListenAddress;
  metrics: ListenAddress;
  /** Addresses of some peers, possibly outdated. */
  seeds: readonly string[];
  /** `host:port` of the store. */
  store: string;
  bounds: FleetBounds;
}
