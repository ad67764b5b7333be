/**
 * Finds the route of a request: by host, then by the longest path prefix.
 */
import type { Route, RoutingTable } from './route.js';

/** Looks routes up in one version of the table. */
export interface RouteIndex {
  readonly table: RoutingTable;
  /**
   * Finds the route of a request.
   *
   * @param host the host that the caller asked for, without a port
   * @param path path and query, starting with `/`
   */
  find(host: string, path: string): Route | undefined;
}

/**
 * Indexes a table by host, longest prefix first.
 *
 * @param table the table to look up
 */
export function createRouteIndex(table: RoutingTable): RouteIndex {
  const byHost = new Map<string, Route[]>();
  for (const route of table.routes) {
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
 * Chooses a target by weight.
 *
 * @param route the route of the request
 * @param chance evenly spread over [0, 1)
 */
export function chooseTarget(route: Route, chance: number): string | undefined {
  let total = 0;
  for (const target of route.targets) {
    total += target.weight;
  }
  let left = chance * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
