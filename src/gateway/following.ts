/**
 * Follows the store's routes and registry, applies what is read and announces it to peers.
 */
import type { Fleet, RegistryChange } from '../fleet/index.js';
import type { RowFeed } from '../ports/row-feed.js';
import type { RoutingDocument, RoutingReplica } from '../routing/index.js';
import { follow, type FollowParts } from './follow.js';
import type { Peering } from './peering.js';

/** Dependencies of {@link startFollowing}. */
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
 * Starts to follow both feeds until the signal aborts.
 *
 * @param parts the feeds and what they update
 */
export function startFollowing(parts: FollowingParts): void {
  const { routes, fleet, peering } = parts;

  function applyRoutes(documents: readonly RoutingDocument[]): void {
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
      applyRoutes(items);
    },
    changed: ({ items }) => {
      applyRoutes(items);
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
