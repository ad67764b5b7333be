/**
 * How the limits of teams are held over all nodes, and how closely.
 *
 * Each team has a home: the live node that rendezvous hashing of its name gives. The home keeps the
 * team's buckets and hands out allowances in batches of a fraction of a second; a node spends its
 * allowance without asking anybody. A team without limits costs nothing, a limited one a message
 * each time a batch is spent, and nothing is written to the table.
 *
 * Weighed against enforcing at the holder of each shard: a holder sees every permit of its own
 * shard exactly, but a team's requests are spread over all shards of its models and zones, so the
 * holders would have to share the limit among themselves in the same way, with more of them.
 *
 * The bound, with rate `r` a second (tokens a minute count as `r = limit / 60`), over any `t`
 * seconds:
 * - rates: at most `r * (t + allowance life) + burst`, where the burst is `r * burst time`. Each
 *   change of the home adds one burst at most, since the new home begins with full buckets;
 * - tokens are charged as expected and corrected when a request ends, by at most what its estimate
 *   was wrong;
 * - concurrency: never above the limit while the home stays; after a change of the home at most
 *   twice the limit until every node has renewed its places, one renewal at the longest;
 * - a node that cannot reach the home holds to its own share, the limit divided by the nodes it
 *   sees; parts of a network that cannot see each other hold the limit each for itself.
 */

/** How long an allowance that is not spent may be used, in milliseconds. */
export const ALLOWANCE_TTL_MS = 1_000;
/** A batch is what the node spent in this time, in milliseconds. */
export const BATCH_MS = 200;
/** What a bucket of requests holds, in milliseconds of its rate. */
export const REQUEST_BURST_MS = 1_000;
/** What a bucket of tokens holds, in milliseconds of its rate. */
export const TOKEN_BURST_MS = 10_000;
/** Time between two renewals of the places that a node holds. */
export const RENEWAL_INTERVAL_MS = 1_000;
/** Places of a node that did not renew them for this long are free again. */
export const PLACES_TTL_MS = 3_000;
