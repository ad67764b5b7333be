/**
 * How gateways ask each other for tunnels: an upgrade to a WebSocket at a path that names the server's incarnation.
 */
import type { DialFailure } from './dial.js';

/** Path of a tunnel, followed by the server's id. */
export const TUNNEL_PATH = '/tunnels/';

/** Header of the answer that opens a tunnel. A gateway of an earlier version, which takes any path for a link between
 * peers, does not send it. */
export const TUNNEL_HEADER = 'X-Reedtally-Tunnel';

/** Status of the answer that refuses a tunnel, by how the host failed to connect. */
export const tunnelStatuses: Readonly<Record<DialFailure['kind'], number>> = {
  refused: 502,
  unavailable: 503,
  silent: 504,
};

/** How the host failed to connect, by the status of its answer. */
export function resolveTunnelFailure(status: number | undefined): DialFailure['kind'] {
  if (status === tunnelStatuses.refused) return 'refused';
  return status === tunnelStatuses.silent ? 'silent' : 'unavailable';
}
