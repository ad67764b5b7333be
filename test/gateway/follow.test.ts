import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import { follow } from '../../src/gateway/follow.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import type { RowFeed } from '../../src/ports/row-feed.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

/** Time from the end of an outage until a change must be in force, in ms. The three seconds to reconnect are not
 * added to it. */
const IN_FORCE_MS = 2_000;
/** Call timeout beyond the long poll, in ms (platform/store.ts). */
const SLACK_MS = 1_500;

describe('following the store', () => {
  it('detects a lost call within the time for a change', async () => {
    const { clock, advance } = createFakeClock();
    const shutdown = new AbortController();
    const received: number[] = [];
    let calls = 0;
    const feed: RowFeed<number> = {
      readAll: () => Promise.resolve(Ok({ items: [1], revision: 1 })),
      next(_after, waitMs) {
        calls += 1;
        if (calls > 1) return Promise.resolve(Ok({ items: [2], revision: 2 }));
        // the first call is lost in a short outage
        return new Promise((resolve) => {
          clock.after(waitMs + SLACK_MS, () => {
            resolve(Err({ kind: 'unavailable', reason: 'no answer' }));
          });
        });
      },
    };
    const log = createSilentLog();
    void follow({
      name: 'routes',
      feed,
      clock,
      random: { next: () => 0.5 },
      log,
      storeHealth: createStoreHealth(clock, log, {
        lost: () => undefined,
        returned: () => undefined,
      }),
      signal: shutdown.signal,
      mayPause: () => false,
      replaced: ({ items }) => received.push(...items),
      changed({ items }) {
        received.push(...items);
        shutdown.abort();
      },
    });
    await advance(IN_FORCE_MS);
    expect(received).to.deep.equal([1, 2]);
  });
});
