/**
 * Loopback addresses of one run, so that runs on a machine at the same time do not meet at fixed ports.
 */

/** Networks in each of the two parts of an address that tell runs apart; `127.0.*` is left to other listeners. */
const NETWORKS = 250;

/**
 * The first three parts of a run's loopback addresses.
 *
 * @param processId of the process that plays the run
 */
export function resolveLoopbackNetwork(processId: number): string {
  return `127.${1 + (processId % NETWORKS)}.${Math.floor(processId / NETWORKS) % NETWORKS}`;
}
