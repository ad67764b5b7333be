/**
 * Follows the two parts of the store that a gateway lives by, routes and registry, and passes on
 * what it reads there.
 */
import type { Fleet, RegistryChange } from '../fleet/index.js';
import type { RowFeed } from '../ports/row-feed.js';
import type { RoutingDocument, RoutingReplica } from '../routing/index.js';
import { follow, type FollowParts } from './follow.js';
import type { Peering } from './peering.js';

/** What following needs. */
export interface FollowingParts extends Pick<
  FollowParts<never>,
  'clock' | 'random' | 'log' | 'storeHealth' | 'signal' | 'mayPause' | 'readerCount' | 'changeMs'
> {
  routesFeed: RowFeed<RoutingDocument>;
  registryFeed: RowFeed<RegistryChange>;
  routes: RoutingReplica;
  fleet: Fleet;
  peering: Peering;
}

/**
 * Starts to follow; the signal ends it.
 *
 * @param parts the feeds and what they change
 */
export function startFollowing(parts: FollowingParts): void {
  const { routes, fleet, peering } = parts;

  function takeRoutes(documents: readonly RoutingDocument[]): void {
    for (const document of documents) {
      routes.offer(document, 'store');
    }
    peering.announce();
  }

  void follow({
    ...parts,
    name: 'routes',
    feed: parts.routesFeed,
    replaced: ({ items }) => {
      takeRoutes(items);
    },
    changed: ({ items }) => {
      takeRoutes(items);
    },
  });
  void follow({
    ...parts,
    name: 'registry',
    feed: parts.registryFeed,
    replaced: ({ items, revision }) => {
      fleet.replace(items, revision);
      peering.announce();
    },
    changed: ({ items }) => {
      for (const change of items) {
        fleet.learn(change, 'store');
      }
      if (items.length > 0) peering.announce();
    },
  });
}
