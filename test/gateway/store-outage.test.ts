/**
 * The store answered again at 34.4 s, and a gateway refused requests at 37.4 s for a route that had been
 * added at 34.6 s. Its call for changes had been sent at 33.4 s into the silent store, which had to be given
 * up after 4.5 s before another one was sent; the pause between two calls came on top. The log said so:
 * `storeRegained` of one feed at 37.55 s, `storeLost` "no answer within 4500 ms" of the other at 37.87 s,
 * and versions 46 to 66 all at once at 38.47 s. The time to be in touch again and the time for a change had
 * been added up, although they run at once.
 */
import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import { follow } from '../../src/gateway/follow.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import type { FeedBatch, FeedFailure, RowFeed } from '../../src/ports/row-feed.js';
import type { Clock } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

/** Time from the store's return until everything that it holds must be known, in ms: a change has two
 * seconds. */
const KNOWN_MS = 2_000;
/** What a call may take beyond the time that the store holds it, in ms (platform/store.ts). */
const SLACK_MS = 1_500;
/** Time that an answer takes, in ms. */
const ANSWER_MS = 5;
/** Step in which the start of the outage is moved against the calls, in ms. */
const PHASE_STEP_MS = 250;
/** Phases that are tried: more than a call's longest time. */
const PHASES = 20;

type Answer = Result<FeedBatch<number>, FeedFailure>;

/** A store that swallows the calls of an outage: those that it holds, and those that come meanwhile. */
function createSilentStore(clock: Clock, lostAt: number, backAt: number) {
  let newest = 1;
  const held = new Set<() => void>();

  function isAway(): boolean {
    return clock.now() >= lostAt && clock.now() < backAt;
  }

  function call(timeoutMs: number, answer: (settle: (result: Answer) => void) => void) {
    return new Promise<Answer>((resolve) => {
      clock.after(timeoutMs, () => {
        resolve(Err({ kind: 'unavailable', reason: 'no answer' }));
      });
      if (!isAway()) answer(resolve);
    });
  }

  function batch(): Answer {
    return Ok({ items: [newest], revision: newest });
  }

  const feed: RowFeed<number> = {
    readAll: () =>
      call(SLACK_MS, (settle) => {
        clock.after(ANSWER_MS, () => {
          settle(batch());
        });
      }),
    next: (after, waitMs) =>
      call(waitMs + SLACK_MS, (settle) => {
        function reply(): void {
          held.delete(reply);
          if (!isAway()) settle(batch());
        }
        if (after < newest) clock.after(ANSWER_MS, reply);
        else {
          held.add(reply);
          clock.after(waitMs + ANSWER_MS, () => {
            if (held.has(reply)) reply();
          });
        }
      }),
  };
  clock.after(lostAt - clock.now(), () => {
    held.clear();
  });
  return {
    feed,
    /** Writes a new revision. */
    write(): number {
      newest += 1;
      for (const reply of [...held]) reply();
      return newest;
    },
  };
}

/** Plays an outage with a change at the moment of the store's return; gives when each feed knew it. */
async function measureReturn(phaseMs: number, outageMs: number): Promise<number[]> {
  const { clock, advance } = createFakeClock();
  const ending = new AbortController();
  const log = createSilentLog();
  const storeHealth = createStoreHealth(clock, log, {
    lost: () => undefined,
    returned: () => undefined,
  });
  const lostAt = 2_000 + phaseMs;
  const backAt = lostAt + outageMs;
  const knownAfterMs: number[] = [];
  for (const [index, name] of ['routes', 'registry'].entries()) {
    const store = createSilentStore(clock, lostAt, backAt);
    let written = Number.POSITIVE_INFINITY;
    clock.after(backAt - clock.now(), () => {
      written = store.write();
    });
    function hear({ items }: FeedBatch<number>): void {
      if (items.some((item) => item >= written)) knownAfterMs[index] ??= clock.now() - backAt;
    }
    void follow({
      name,
      feed: store.feed,
      clock,
      random: { next: () => 0.99 },
      log,
      storeHealth,
      signal: ending.signal,
      mayPause: () => false,
      replaced: hear,
      changed: hear,
    });
    // the second feed's calls lie between those of the first
    await advance(700);
  }
  await advance(backAt + 8_000);
  ending.abort();
  return knownAfterMs;
}

describe('the return of a store that was silent', () => {
  it('makes everything known within two seconds, however long it was away', async () => {
    for (const outageMs of [100, 1_000, 2_400, 4_000, 9_400]) {
      for (let phase = 0; phase < PHASES; phase += 1) {
        const phaseMs = phase * PHASE_STEP_MS;
        for (const knownMs of await measureReturn(phaseMs, outageMs)) {
          const what = `known after an outage of ${outageMs} ms at phase ${phaseMs} ms`;
          expect(knownMs, what).to.be.at.most(KNOWN_MS);
        }
      }
    }
  });
});
