/**
 * Which gateway schedules a service: among those that are ready, one with the most processor, and
 * of equals one that is drawn by the service's name, so that services spread over gateways.
 */
import { createHash } from 'node:crypto';
import type { SchedulingGateway } from './job-submitter.js';

/**
 * Names the gateway that schedules a service.
 *
 * @param service the service
 * @param gateways those that are ready; not empty
 */
export function resolveSchedulingGateway(
  service: string,
  gateways: readonly SchedulingGateway[],
): string {
  let best = '';
  let bestCores = Number.NEGATIVE_INFINITY;
  let bestDraw = '';
  for (const { node, cores } of gateways) {
    if (cores < bestCores) continue;
    const draw = drawFor(`${service}/${node}`);
    if (cores === bestCores && draw <= bestDraw) continue;
    best = node;
    bestCores = cores;
    bestDraw = draw;
  }
  return best;
}

/** Draws so far; one for each service and gateway that were ever known. */
const draws = new Map<string, string>();

function drawFor(name: string): string {
  const known = draws.get(name);
  if (known !== undefined) return known;
  const created = createHash('sha1').update(name).digest('hex');
  draws.set(name, created);
  return created;
}
