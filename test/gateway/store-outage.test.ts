/**
 * Guards against a gateway that waits for the timeout of a lost call, and then for its backoff, before it reads
 * changes made right after an outage: reconnecting and applying a change share one time limit.
 */
import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import { follow } from '../../src/gateway/follow.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import type { FeedBatch, FeedFailure, RowFeed } from '../../src/ports/row-feed.js';
import type { Clock } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

/** Time from the end of the outage until all contents must be known, in ms. */
const KNOWN_MS = 2_000;
/** Call timeout beyond the long poll, in ms (platform/store.ts). */
const SLACK_MS = 1_500;
/** Latency of a response, in ms. */
const ANSWER_MS = 5;
/** Step by which the start of the outage is shifted relative to the calls, in ms. */
const PHASE_STEP_MS = 250;
/** Number of phases; together longer than a call can take. */
const PHASES = 20;

type Answer = Result<FeedBatch<number>, FeedFailure>;

/** A store that does not answer calls held at the start of an outage or received during it. */
function createSilentStore(clock: Clock, lostAt: number, backAt: number) {
  let newest = 1;
  const held = new Set<() => void>();

  function isAway(): boolean {
    return clock.now() >= lostAt && clock.now() < backAt;
  }

  function call(timeoutMs: number, answer: (respond: (result: Answer) => void) => void) {
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
      call(SLACK_MS, (respond) => {
        clock.after(ANSWER_MS, () => {
          respond(batch());
        });
      }),
    next: (after, waitMs) =>
      call(waitMs + SLACK_MS, (respond) => {
        function reply(): void {
          held.delete(reply);
          if (!isAway()) respond(batch());
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
    /** Writes a new revision and answers the held calls. */
    write(): number {
      newest += 1;
      for (const reply of [...held]) reply();
      return newest;
    },
  };
}

/** Simulates an outage with a change at its end; returns how long after that each feed received it, in ms. */
async function measureRecovery(phaseMs: number, outageMs: number): Promise<number[]> {
  const { clock, advance } = createFakeClock();
  const shutdown = new AbortController();
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
    function receive({ items }: FeedBatch<number>): void {
      if (items.some((item) => item >= written)) knownAfterMs[index] ??= clock.now() - backAt;
    }
    void follow({
      name,
      feed: store.feed,
      clock,
      random: { next: () => 0.99 },
      log,
      storeHealth,
      signal: shutdown.signal,
      mayPause: () => false,
      replaced: receive,
      changed: receive,
    });
    // shifts the second feed's calls relative to the first
    await advance(700);
  }
  await advance(backAt + 8_000);
  shutdown.abort();
  return knownAfterMs;
}

describe('a store that answers again after an outage', () => {
  it('is read by all feeds within two seconds, whatever the length of the outage', async () => {
    for (const outageMs of [100, 1_000, 2_400, 4_000, 9_400]) {
      for (let phase = 0; phase < PHASES; phase += 1) {
        const phaseMs = phase * PHASE_STEP_MS;
        for (const knownMs of await measureRecovery(phaseMs, outageMs)) {
          const what = `known after an outage of ${outageMs} ms at phase ${phaseMs} ms`;
          expect(knownMs, what).to.be.at.most(KNOWN_MS);
        }
      }
    }
  });
});
