/** Network paths from a gateway to backend servers, and tunnels where a path is lost. */
export * from './connection-end.js';
export * from './dial.js';
export * from './paths.js';
export type { WatchedExchange } from './silence-watch.js';
export * from './tunnel-dialer.js';
export * from './tunnel-host.js';
export { TunnelStream } from './tunnel-stream.js';
