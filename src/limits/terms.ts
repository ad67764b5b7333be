/**
 * Timing of the distributed limits of teams, and the resulting bounds.
 *
 * The home node of a team is the live node selected by rendezvous hashing of the team's name. It
 * keeps the team's token buckets and hands out allowances in batches of a fraction of a second. The
 * nodes spend their allowances locally; nothing is written to the table.
 *
 * Bounds over any `t` seconds for a rate of `r` per second (tokens per minute: `r = limit / 60`):
 * - rates: at most `r * (t + allowance TTL) + burst`, where the burst is `r * burst time`. Each
 *   change of the home node adds at most one burst, since the new one starts with full buckets;
 * - tokens: charged as estimated and corrected when a request ends, so off by at most the error of
 *   the estimate;
 * - concurrency: within the limit while the home node stays the same; after a change at most twice
 *   the limit until every node has renewed its places, which takes one renewal interval;
 * - a node that cannot reach the home node uses the limit divided by the number of live nodes that
 *   it sees; after a network partition, each side enforces the full limit on its own.
 */

/** How long an unspent allowance stays valid, in milliseconds. */
export const ALLOWANCE_TTL_MS = 1_000;
/** A batch covers the requests of a node during this time, in milliseconds. */
export const BATCH_MS = 200;
/** Capacity of a bucket of requests, in milliseconds of its rate. */
export const REQUEST_BURST_MS = 1_000;
/** Capacity of a bucket of tokens, in milliseconds of its rate. */
export const TOKEN_BURST_MS = 10_000;
/** Interval at which a node renews the places that it holds, in milliseconds. */
export const RENEWAL_INTERVAL_MS = 1_000;
/** Time after which places without a renewal are released, in milliseconds. */
export const PLACES_TTL_MS = 3_000;
