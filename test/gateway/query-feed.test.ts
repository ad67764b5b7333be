import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import { queryFeed } from '../../src/gateway/query-feed.js';
import { createStoreHealth } from '../../src/gateway/store-health.js';
import type { FeedBatch, FeedFailure } from '../../src/ports/row-feed.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';

type Answer = Result<FeedBatch<number>, FeedFailure>;

interface SentCall {
  waitMs: number;
  signal: AbortSignal;
  begin: () => void;
  answer: (result: Answer) => void;
}

const lost: Answer = Err({ kind: 'unavailable', reason: 'no answer' });

function setUp() {
  const { clock, advance } = createFakeClock();
  const calls: SentCall[] = [];
  const log = createSilentLog();
  const storeHealth = createStoreHealth(clock, log, {
    lost: () => undefined,
    returned: () => undefined,
  });
  const ending = new AbortController();
  const pending = queryFeed<number>(
    {
      name: 'routes',
      clock,
      log,
      storeHealth,
      signal: ending.signal,
      feed: {
        readAll: () => Promise.resolve(lost),
        next: (_after, waitMs, signal, begin = () => undefined) =>
          new Promise((answer) => {
            calls.push({ waitMs, signal, begin, answer });
          }),
      },
    },
    { after: 7, longPollMs: 1_500, overdueMs: 400 },
  );
  return { advance, calls, storeHealth, ending, pending };
}

describe('asking the store', () => {
  it('asks again while an answer is overdue, and takes the first that comes', async () => {
    const { advance, calls, pending } = setUp();
    await advance(1_899);
    expect(calls.map(({ waitMs }) => waitMs)).to.deep.equal([1_500]);
    await advance(401);
    expect(calls.map(({ waitMs }) => waitMs)).to.deep.equal([1_500, 0, 0]);
    calls[0]?.answer(Ok({ items: [1], revision: 8 }));
    expect((await pending).unwrap().revision).to.equal(8);
    expect(calls[1]?.signal.aborted).to.equal(true);
    await advance(5_000);
    expect(calls).to.have.length(3);
  });

  it('does not ask for a long answer twice while it comes', async () => {
    const { advance, calls } = setUp();
    calls[0]?.begin();
    await advance(3_000);
    expect(calls).to.have.length(1);
    calls[0]?.answer(lost);
    await settle();
    await advance(400);
    expect(calls).to.have.length(1);
  });

  it('gives up when the last call that is out has failed', async () => {
    const { advance, calls, pending } = setUp();
    await advance(1_900);
    calls[0]?.answer(lost);
    await settle();
    calls[1]?.answer(lost);
    expect((await pending).isErr()).to.equal(true);
  });

  it('asks at once when another feed finds the store again', async () => {
    const { advance, calls, storeHealth } = setUp();
    await advance(100);
    storeHealth.failed({ feed: 'registry', sentAt: 50, reason: 'no answer' });
    storeHealth.succeeded('registry');
    expect(calls.map(({ waitMs }) => waitMs)).to.deep.equal([1_500, 0]);
  });

  it('ends with the gateway', async () => {
    const { calls, ending, pending } = setUp();
    ending.abort();
    expect((await pending).isErr()).to.equal(true);
    expect(calls[0]?.signal.aborted).to.equal(true);
  });
});
