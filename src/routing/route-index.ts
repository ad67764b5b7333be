/**
 * Finds the route of a request: by host, then by the longest path prefix.
 */
import type { Route, RoutingTable } from './route.js';

/** Looks up routes in one version of the table. */
export interface RouteIndex {
  readonly table: RoutingTable;
  /** Shortest latency objective of the routes, in ms; `undefined` if there are none. */
  readonly leastObjectiveMs: number | undefined;
  /**
   * Finds the route of a request.
   *
   * @param host the requested host, without a port
   * @param path path and query, starting with `/`
   */
  find(host: string, path: string): Route | undefined;
}

/**
 * Indexes a table by host, longest prefix first.
 */
export function createRouteIndex(table: RoutingTable): RouteIndex {
  const byHost = new Map<string, Route[]>();
  let leastObjectiveMs: number | undefined;
  for (const route of table.routes) {
    leastObjectiveMs = Math.min(
      leastObjectiveMs ?? Number.POSITIVE_INFINITY,
      route.latencyObjectiveMs,
    );
    const host = route.host.toLowerCase();
    const routes = byHost.get(host);
    if (routes === undefined) byHost.set(host, [route]);
    else routes.push(route);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return {
    table,
    leastObjectiveMs,
    find(host, path) {
      const pathname = path.split('?', 1)[0] ?? path;
      for (const route of byHost.get(host.toLowerCase()) ?? []) {
        if (pathname.startsWith(route.pathPrefix)) return route;
      }
      return undefined;
    },
  };
}

/**
 * Chooses one of a route's services at random, by weight.
 *
 * @param route the route of the request
 * @param chance a uniform random number in [0, 1)
 * @returns the service's name; `undefined` if the route has no targets
 */
export function chooseTarget(route: Route, chance: number): string | undefined {
  let total = 0;
  for (const target of route.targets) {
    total += target.weight;
  }
  let remaining = chance * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
