/**
 * Chooses the gateway that schedules a service: among the ready gateways with the most cores, by
 * rendezvous hashing on the service's name, so that services spread over gateways.
 */
import { createHash } from 'node:crypto';
import type { SchedulingGateway } from './job-submitter.js';

/**
 * Returns the name of the gateway that schedules a service.
 *
 * @param service the service
 * @param gateways the ready gateways; not empty
 */
export function resolveSchedulingGateway(
  service: string,
  gateways: readonly SchedulingGateway[],
): string {
  let best = '';
  let bestCores = Number.NEGATIVE_INFINITY;
  let bestHash = '';
  for (const { node, cores } of gateways) {
    if (cores < bestCores) continue;
    const hash = hashOf(`${service}/${node}`);
    if (cores === bestCores && hash <= bestHash) continue;
    best = node;
    bestCores = cores;
    bestHash = hash;
  }
  return best;
}

/** Cached hashes by service and gateway; never evicted. */
const hashes = new Map<string, string>();

function hashOf(name: string): string {
  const known = hashes.get(name);
  if (known !== undefined) return known;
  const created = createHash('sha1').update(name).digest('hex');
  hashes.set(name, created);
  return created;
}
