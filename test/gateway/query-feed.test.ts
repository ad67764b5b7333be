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
  const shutdown = new AbortController();
  const pending = queryFeed<number>(
    {
      name: 'routes',
      clock,
      log,
      storeHealth,
      signal: shutdown.signal,
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
  return { advance, calls, storeHealth, shutdown, pending };
}

describe('a feed query', () => {
  it('sends further calls while a response is overdue, and uses the first response', async () => {
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

  it('sends no further call while a response is arriving', async () => {
    const { advance, calls } = setUp();
    calls[0]?.begin();
    await advance(3_000);
    expect(calls).to.have.length(1);
    calls[0]?.answer(lost);
    await settle();
    await advance(400);
    expect(calls).to.have.length(1);
  });

  it('fails when the last call in flight has failed', async () => {
    const { advance, calls, pending } = setUp();
    await advance(1_900);
    calls[0]?.answer(lost);
    await settle();
    calls[1]?.answer(lost);
    expect((await pending).isErr()).to.equal(true);
  });

  it('sends another call at once when another feed reaches the store again', async () => {
    const { advance, calls, storeHealth } = setUp();
    await advance(100);
    storeHealth.failed({ feed: 'registry', sentAt: 50, reason: 'no answer' });
    storeHealth.succeeded('registry');
    expect(calls.map(({ waitMs }) => waitMs)).to.deep.equal([1_500, 0]);
  });

  it('is cancelled with the gateway', async () => {
    const { calls, shutdown, pending } = setUp();
    shutdown.abort();
    expect((await pending).isErr()).to.equal(true);
    expect(calls[0]?.signal.aborted).to.equal(true);
  });
});
