import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import { follow } from '../../src/gateway/follow.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import type { RowFeed } from '../../src/ports/row-feed.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

/** Time from the end of an outage until a change must be in force, in ms. The three seconds to be in touch
 * run meanwhile. */
const IN_FORCE_MS = 2_000;
/** What a call may take beyond the time that the store holds it, in ms (platform/store.ts). */
const SLACK_MS = 1_500;

describe('following the store', () => {
  it('finds out in time that a call was swallowed', async () => {
    const { clock, advance } = createFakeClock();
    const ending = new AbortController();
    const heard: number[] = [];
    let calls = 0;
    const feed: RowFeed<number> = {
      readAll: () => Promise.resolve(Ok({ items: [1], revision: 1 })),
      next(_after, waitMs) {
        calls += 1;
        if (calls > 1) return Promise.resolve(Ok({ items: [2], revision: 2 }));
        // the first call goes into an outage that ends at once
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
      signal: ending.signal,
      mayPause: () => false,
      replaced: ({ items }) => heard.push(...items),
      changed({ items }) {
        heard.push(...items);
        ending.abort();
      },
    });
    await advance(IN_FORCE_MS);
    expect(heard).to.deep.equal([1, 2]);
  });
});
